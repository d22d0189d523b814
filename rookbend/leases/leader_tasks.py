"""Which work is done once for the fleet, and what guards it: the table. Pure. docs/OWNERSHIP.md is its text.

    twice       done by two at once it does no harm: no lease, a hash over the living chooses who
    receiver    each act carries a token that only grows; who receives it turns older ones away
    time        nobody can check: the act and all its effects end before the lease does, by the holder's own
                clock. A process may be stopped between that check and the system call, so only what bears
                being late may be of this kind (`bears_late`)

A duty that is not in the table can't run: what acts asks `duty(name)` first."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

FIRST_SHARD = 16  # scopes below are of duties in one piece


class Guard(Enum):
    TWICE = "twice"
    RECEIVER = "receiver"
    TIME = "time"


@dataclass(frozen=True, slots=True)
class Duty:
    """`scope` is its number, the first of its shards where it has any; `without` is what happens while nobody
    owns it."""

    name: str
    guard: Guard
    scope: int
    sharded: bool
    receivers: str
    without: str
    bears_late: bool = False


TABLE = (
    Duty(
        "orders",
        Guard.RECEIVER,
        0,
        False,
        "voters: an entry with an older token is not stored",
        "orders for the whole fleet are refused by name",
    ),
    Duty(
        "conductor",
        Guard.RECEIVER,
        1,
        False,
        "directors: an older token's share is not taken",
        "each director keeps to its own part",
    ),
    Duty(
        "report",
        Guard.RECEIVER,
        2,
        False,
        "the ledger: a line with an older token is refused",
        "no line is written; the minutes without one are seen by their numbers",
    ),
    Duty("report-file", Guard.TIME, 2, False, "none: a file", "no line is written", bears_late=True),
    Duty(
        "checks",
        Guard.RECEIVER,
        FIRST_SHARD,
        True,
        "directors: an older token's verdicts are not heard",
        "each director checks the members itself, at a reduced rate",
    ),
    Duty("own-checks", Guard.TWICE, -1, False, "none needed", "always done by each director"),
)
BY_NAME = {duty.name: duty for duty in TABLE}


class UnknownDutyError(Exception):
    """Work on behalf of the fleet that is not in the table, or not allowed by its guard."""


def duty(name: str) -> Duty:
    """Raises UnknownDutyError."""
    found = BY_NAME.get(name)
    if found is None:
        raise UnknownDutyError(name)
    if found.guard is Guard.TIME and not found.bears_late:
        raise UnknownDutyError(f"{name} can't bear to be late, and nobody checks it")
    return found


def scopes(names: frozenset[str], shards: int) -> tuple[int, ...]:
    """The numbers of all scopes of these duties."""
    out: list[int] = []
    for name in names:
        d = duty(name)
        if d.guard is not Guard.TWICE:
            out += range(d.scope, d.scope + shards) if d.sharded else [d.scope]
    return tuple(sorted(out))


def name_of(scope: int) -> str:
    """As operators read and write it: `orders`, `checks/3`."""
    if scope >= FIRST_SHARD:
        return f"checks/{scope - FIRST_SHARD}"
    return next((d.name for d in TABLE if d.scope == scope), f"scope {scope}")


def scope_of(name: str) -> int:
    """Raises UnknownDutyError."""
    head, _, shard = name.partition("/")
    d = duty(head)
    if d.sharded != shard.isdigit() or d.scope < 0:
        raise UnknownDutyError(name)
    return d.scope + int(shard or 0)


def rank(scope: int, places: frozenset[int]) -> list[int]:
    """These directors, first who is to own the scope: by a rendezvous hash, so that one who leaves moves only
    what it owned."""

    def weight(place: int) -> bytes:
        return blake2b(f"{scope} {place}".encode(), digest_size=8).digest()

    return sorted(places, key=weight)


def shard_of(server: int, shards: int) -> int:
    """The scope of a member's checks, by its number, which is the same at every director."""
    return FIRST_SHARD + server % shards
