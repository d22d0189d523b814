"""Names that the DNS front issued for writes, persisted so that a write is not run twice after a power loss.

A row of the kind `write` maps a request id to the name of the lookup and its outcome. It is persisted as in doubt
before the write can run, and with its outcome before the reply is sent. After a start, a repeat of a known lookup gets
the earlier reply, or fails if the write was in progress. An unknown lookup may also be a repeat of a write that has run
(an old disk may have been restored). Therefore, for a limited time after a start, the front rejects unknown lookups for
writes.

If the disk reports an error or hangs, the write is processed nevertheless and counted in `not_durable`. After a power
loss, a repeat of a write that has no row is rejected only during the limited time after the start.
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

    `put(id, value, deadline_us, done)` persists a row and calls `done(durable)` exactly once, at `deadline_us` at the
    latest; `drop(id)` deletes it. `rows` maps the request id of each row on disk to its value and the time at which it
    was stored, in Unix microseconds. `not_durable` counts rows that could not be persisted in time, `unreadable` rows
    on disk that could not be decoded.
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

    def persist_in_doubt(self, request_id: str, lookup: str, deadline_us: int, done: Callable[[], None]) -> None:
        """Persists a write as in doubt, before it runs."""
        in_doubt = IssuedName(lookup, int(dns.rcode.SERVFAIL), 0, "", "", IN_DOUBT_NOTE)
        self.persist(request_id, in_doubt, deadline_us, done)

    def persist(self, request_id: str, issued: IssuedName, deadline_us: int, done: Callable[[], None]) -> None:
        """Persists an outcome; calls `done` when the row is durable or has failed, at `deadline_us` at the latest."""

        def ended(durable: bool) -> None:
            self.not_durable += not durable
            done()

        self._put(request_id, _encoder.encode(issued), deadline_us, ended)
