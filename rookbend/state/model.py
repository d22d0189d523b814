"""What may be kept on disk, and who it belongs to. Pure.

A row is (kind, key) -> value, with the Unix microsecond at which it was put. Each kind has a bound; beyond it
the oldest row of the kind goes. Values are msgpack of plain types, so that a later version can read them.
"""

from __future__ import annotations

from dataclasses import dataclass

SCHEMA = 1


@dataclass(frozen=True, slots=True)
class Kind:
    """`most` rows are kept. `spare`: given up first where the whole is too big."""

    name: str
    most: int
    spare: bool = False


# What each means is the table of trust (rookbend/recovery/state_validity.py); here is only how much of it is kept.
KINDS = {
    kind.name: kind
    for kind in (
        Kind("order", 4_000),  # operators' orders, ours and those kept for others
        Kind("drain", 10_000),  # members told as draining or gone
        Kind("purge", 4_000),
        Kind("token", 1_000),  # highest fencing tokens seen
        Kind("promise", 1_000),  # votes
        Kind("log", 8_000),  # orders for the whole fleet, and up to which they stand
        Kind("write", 20_000),  # names given out for writes by the DNS front
        Kind("peer", 1_000),  # boot numbers of others
        Kind("hint", 2_000, True),
    )
}


@dataclass(frozen=True, slots=True)
class Identity:
    """Whose folder it is."""

    name: str
    fleet: str


@dataclass(frozen=True, slots=True)
class Row:
    value: bytes
    at_us: int

    @property
    def size(self) -> int:
        return len(self.value) + 64  # with the row's own cost, about


class StateError(Exception):
    """The folder can't be used as it is: one line on why, exit 2."""
