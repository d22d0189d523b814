"""Rows that directors replicate among each other: orders, purges and drains, each kind a bounded set of rows.

    order   "NUMBER/MEMBER" -> (order, requested by, sequence). Every director stores the orders of all others, so that
            one that has lost its disk gets its own back. The higher sequence wins. Its high bits are the boot number
            of the owner's incarnation, so orders from an old disk never win against newer ones
    purge   "o OBJECT" or "g GROUP" -> Unix millisecond. The later one wins, and takes effect at once
    drain   MEMBER -> (state, revision). The higher revision wins. Accepted from peers only if two of them agree

The digest of a kind is the XOR of its rows' hashes: equal sets have equal digests, independent of their order.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec
import xxhash

MIN_AGREEING = 2
_encode, _decode = msgspec.msgpack.encode, msgspec.msgpack.decode

Value = TypeVar("Value")


class OrderValue(NamedTuple):
    """An operator's order for a member."""

    order: str
    requested_by: str
    sequence: int


class DrainValue(NamedTuple):
    """The state of a member that is not ready, and the membership revision that says so."""

    state: int
    revision: int


@dataclass(frozen=True, slots=True)
class RowKind(Generic[Value]):
    """A kind of rows. `value_type` is the type of the decoded value; of two rows with the same key the one with the
    higher `rank` wins."""

    name: str
    value_type: Any
    max_rows: int
    rank: Callable[[Value], int]


ORDER: RowKind[OrderValue] = RowKind("order", OrderValue, 4_000, lambda value: value.sequence)
PURGE: RowKind[int] = RowKind("purge", int, 4_000, lambda unix_ms: unix_ms)
DRAIN: RowKind[DrainValue] = RowKind("drain", DrainValue, 10_000, lambda value: value.revision)


def encode_value(value: object) -> bytes:
    """Encodes the value of a row."""
    return _encode(value)


def decode_value(kind: RowKind[Value], data: bytes) -> Value | None:
    """Decodes the value of a row; None if the bytes are no valid value of that kind."""
    try:
        value: Value = _decode(data, type=kind.value_type)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return value


class ReplicatedRows(Generic[Value]):
    """The rows of one kind, by key."""

    def __init__(self, kind: RowKind[Value]):
        self.kind = kind
        self.rows: dict[str, bytes] = {}
        self.digest = 0

    def _mix(self, key: str, data: bytes) -> None:
        self.digest ^= xxhash.xxh32_intdigest(key.encode() + b"\0" + data)

    def put(self, key: str, data: bytes) -> bool:
        """Stores a row if it can be decoded and outranks the present one; returns whether it did."""
        value = decode_value(self.kind, data)
        if value is None:
            return False
        present = self.get(key)
        if present is not None and self.kind.rank(value) <= self.kind.rank(present):
            return False
        self.drop(key)
        if len(self.rows) >= self.kind.max_rows:
            self.drop(next(iter(self.rows)))
        self.rows[key] = data
        self._mix(key, data)
        return True

    def drop(self, key: str) -> bool:
        """Removes a row; returns whether there was one."""
        present = self.rows.pop(key, None)
        if present is not None:
            self._mix(key, present)
        return present is not None

    def get(self, key: str) -> Value | None:
        """The value of a row, or None."""
        data = self.rows.get(key)
        return None if data is None else decode_value(self.kind, data)

    def after(self, key: str) -> list[tuple[str, bytes]]:
        """The rows whose keys sort after `key`, in order."""
        return sorted((other, data) for other, data in self.rows.items() if other > key)


class ReplicatedState:
    """The rows of all kinds; `by_name` has them in the order in which a Hello lists their digests."""

    def __init__(self) -> None:
        self.orders = ReplicatedRows(ORDER)
        self.purges = ReplicatedRows(PURGE)
        self.drains = ReplicatedRows(DRAIN)
        self.by_name: dict[str, ReplicatedRows[Any]] = {
            rows.kind.name: rows for rows in (self.orders, self.purges, self.drains)
        }

    def digests(self) -> tuple[int, ...]:
        """The digests of all kinds."""
        return tuple(rows.digest for rows in self.by_name.values())


class QuorumVotes:
    """Votes of peers on rows that are accepted only if several peers report the same value. Each sender has one vote
    per key, which its latest report replaces."""

    def __init__(self, min_agreeing: int = MIN_AGREEING):
        self.min_agreeing = min_agreeing
        self._votes: dict[str, dict[int, bytes]] = {}

    def add(self, sender: int, key: str, data: bytes, peer_count: int) -> bool:
        """Counts a vote; returns whether enough peers agree. `peer_count` is the number of configured peers."""
        votes = self._votes.setdefault(key, {})
        votes[sender] = data
        return sum(vote == data for vote in votes.values()) >= min(self.min_agreeing, peer_count)
