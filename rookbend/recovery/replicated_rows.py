"""What is asked of others, and given: orders, purges, drains. Pure; each kind is a bounded set of rows.

    order   "NUMBER/MEMBER" -> (order, by, sequence): every director keeps every other's, so that one whose
    disk
            is lost gets its own back. The higher sequence wins; it begins with the boot number of the giver's
            life, so an old disk's orders never win against newer ones
    purge   "o OBJECT" or "g GROUP" -> Unix millisecond: the later wins. Binds at once
    drain   MEMBER -> (state, revision): the higher revision wins. From others only where two agree

A digest of a kind is the exclusive or of its rows' hashes: equal sets have equal ones, in any order.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

MOST = {"order": 4_000, "purge": 4_000, "drain": 10_000}
AGREE = 2
_encode, _decode = msgspec.msgpack.encode, msgspec.msgpack.decode

Order = tuple[str, str, int]  # order, by, sequence
Drain = tuple[int, int]  # state, revision
TYPES = {"order": Order, "purge": int, "drain": Drain}


def read(kind: str, value: bytes):
    """The row's value, or None where it is none of that kind."""
    try:
        return _decode(value, type=TYPES[kind])
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def write(value) -> bytes:
    return _encode(value)


def rank(kind: str, value) -> int:
    """What decides between two rows of one key: the higher wins."""
    return value if kind == "purge" else value[-1]


class Rows:
    """One kind's rows, by key."""

    def __init__(self, kind: str):
        self.kind, self.rows, self.digest = kind, {}, 0

    def _mix(self, key: str, value: bytes) -> None:
        self.digest ^= xxhash.xxh32_intdigest(key.encode() + b"\0" + value)

    def put(self, key: str, value: bytes) -> bool:
        """Takes a row that can be read and outranks the one there; whether it did."""
        new = read(self.kind, value)
        old = self.rows.get(key)
        if new is None or (old is not None and rank(self.kind, new) <= rank(self.kind, read(self.kind, old))):
            return False
        self.drop(key)
        if len(self.rows) >= MOST[self.kind]:
            self.drop(next(iter(self.rows)))
        self.rows[key] = value
        self._mix(key, value)
        return True

    def drop(self, key: str) -> bool:
        old = self.rows.pop(key, None)
        if old is not None:
            self._mix(key, old)
        return old is not None

    def get(self, key: str):
        value = self.rows.get(key)
        return None if value is None else read(self.kind, value)

    def after(self, key: str) -> list[tuple[str, bytes]]:
        """The rows beyond a key, in order: what a reader resumes with."""
        return sorted((k, v) for k, v in self.rows.items() if k > key)

    def items(self) -> Iterable[tuple[str, object]]:
        return [(key, read(self.kind, value)) for key, value in self.rows.items()]


class Votes:
    """Rows that count only where several peers say the same. One row a key and sender."""

    def __init__(self, enough: int = AGREE):
        self.enough, self.said = enough, {}

    def hear(self, sender: int, key: str, value: bytes, others: int) -> bool:
        """Whether with this enough agree; `others` is how many there are that could."""
        said = self.said.setdefault(key, {})
        said[sender] = value
        return sum(v == value for v in said.values()) >= min(self.enough, others)
