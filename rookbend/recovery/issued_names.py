"""Names given out for writes by the DNS front, and what of them is known after a loss. Pure.

A row of the kind `write` is a request id with the lookup's name and its outcome: kept as in doubt before the
write can run, and as what it came to before the reply goes out. After a start a repeat of a lookup that is
known gets what it got before, or fails where it was under way. Of one that is not known the front can't say
that it never ran (an old disk may be under it), and turns it away for as long as it may be a repeat.

Where the disk refuses or hangs the write goes on all the same, and is counted: a repeat of it after a loss is
only turned away for a while."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import dns.rcode
import msgspec

from rookbend.recovery import state_validity

KIND = "write"
DOUBT = "under way at a power loss: whether it ran can't be told"


class Given(msgspec.Struct, array_like=True, frozen=True):
    """`lookup` is the name that was asked for. What a reply is made of: the DNS code, the member's number in
    the program, the name and address given out, a note."""

    lookup: str
    rcode: int
    server: int
    box: str
    address: str
    note: str


_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Given)


class Names:
    """`put(id, value, by_us, done)` keeps a row and calls `done(safe)` once, by then; `drop(id)` ends it.
    `rows` are those from before: id -> (value, Unix microsecond)."""

    def __init__(
        self,
        now: int,
        put: Callable[[str, bytes, int, Callable[[bool], None]], None],
        drop: Callable[[str], None],
        rows: Mapping[str, tuple[bytes, int]],
    ):
        self.put, self.drop = put, drop
        self.before: dict[str, Given] = {}
        self.unsafe = self.unreadable = 0
        for rid, (value, at_us) in rows.items():
            if not state_validity.stands(KIND, at_us, now):
                drop(rid)
                continue
            try:
                self.before[rid] = _decoder.decode(value)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                self.unreadable += 1
                drop(rid)

    def find(self, rid: str) -> Given | None:
        """What that write's lookup got in a life before."""
        return self.before.get(rid)

    def begin(self, rid: str, lookup: str, by_us: int, done: Callable[[], None]) -> None:
        """The write is about to run."""
        self.keep(rid, Given(lookup, int(dns.rcode.SERVFAIL), 0, "", "", DOUBT), by_us, done)

    def keep(self, rid: str, given: Given, by_us: int, done: Callable[[], None]) -> None:
        """`done` is called once the row is safe, or can't be, or at `by_us`."""

        def ended(safe: bool) -> None:
            self.unsafe += not safe
            done()

        self.put(rid, _encoder.encode(given), by_us, ended)
