"""Names that the DNS front issued for writes, persisted so that a write is not run twice after a power loss.

A row of the kind `write` maps a request id to the name of the lookup and its outcome. It is persisted as in doubt
before the write can run, and with its outcome before the reply is sent. After a start, a repeat of a known lookup gets
the earlier reply, or fails if the write was in progress. For an unknown lookup the front can't rule out that the write
has run (an old disk may have been restored), and rejects it for as long as it may be a repeat.

If the disk refuses or hangs, the write continues and is counted in `not_durable`: a repeat of it after a power loss is
only rejected for that limited time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import dns.rcode
import msgspec

from rookbend.recovery import state_validity

KIND = "write"
IN_DOUBT_NOTE = "under way at a power loss: whether it ran can't be told"


class IssuedName(msgspec.Struct, array_like=True, frozen=True):
    """The outcome of a lookup: its name, the DNS response code, the member's number, the issued name and address, and
    a note. Persisted as an array: the order of the fields is the storage format."""

    lookup: str
    rcode: int
    member_number: int
    issued_name: str
    address: str
    note: str


_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(IssuedName)

PutRow = Callable[[str, bytes, int, Callable[[bool], None]], None]


class IssuedNames:
    """Persists issued names and finds those of earlier incarnations.

    `put(id, value, by_us, done)` persists a row and calls `done(durable)` exactly once, by `by_us` at the latest;
    `drop(id)` deletes it. `rows` are those found on disk: id -> (value, Unix microsecond). `not_durable` counts rows
    that could not be persisted in time, `unreadable` rows on disk that could not be decoded.
    """

    def __init__(self, now: int, put: PutRow, drop: Callable[[str], None], rows: Mapping[str, tuple[bytes, int]]):
        self._put = put
        self.drop = drop
        self.restored: dict[str, IssuedName] = {}
        self.not_durable = 0
        self.unreadable = 0
        for request_id, (value, stored_us) in rows.items():
            self._restore(now, request_id, value, stored_us)

    def _restore(self, now: int, request_id: str, value: bytes, stored_us: int) -> None:
        if not state_validity.is_valid(KIND, stored_us, now):
            self.drop(request_id)
            return
        try:
            self.restored[request_id] = _decoder.decode(value)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.unreadable += 1
            self.drop(request_id)

    def find(self, request_id: str) -> IssuedName | None:
        """The outcome that an earlier incarnation persisted for this request, or None."""
        return self.restored.get(request_id)

    def persist_in_doubt(self, request_id: str, lookup: str, by_us: int, done: Callable[[], None]) -> None:
        """Persists a write as in doubt, before it runs."""
        in_doubt = IssuedName(lookup, int(dns.rcode.SERVFAIL), 0, "", "", IN_DOUBT_NOTE)
        self.persist(request_id, in_doubt, by_us, done)

    def persist(self, request_id: str, issued: IssuedName, by_us: int, done: Callable[[], None]) -> None:
        """Persists an outcome; calls `done` once the row is durable, has failed to become so, or at `by_us`."""

        def ended(durable: bool) -> None:
            self.not_durable += not durable
            done()

        self._put(request_id, _encoder.encode(issued), by_us, ended)
