"""Events of the leases' state machine."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.leases import sharded_checks as checks


@dataclass(slots=True)
class Kept:
    """A row that was awaited is durable, or can't be."""

    kind: str
    key: str
    safe: bool


@dataclass(slots=True)
class Living:
    """Directors of which there is a sign of life, this one among them."""

    places: frozenset[int]


@dataclass(slots=True)
class Stop:
    """SIGTERM: what is owned goes to others."""


@dataclass(slots=True)
class NewVoters:
    voters: frozenset[int]


@dataclass(slots=True)
class OldDisk:
    """Others know a later life of ours than the disk does."""


@dataclass(slots=True)
class OrderGiven:
    """By an operator, here. `id` is ours."""

    id: int
    member: str
    order: str
    by: str


@dataclass(slots=True)
class Found:
    """What our checks have found of a shard that we own: findings, and the figure of those known."""

    scope: int
    findings: list[checks.Finding]
    covered: int


@dataclass(slots=True)
class Asked:
    """Calls to the origin of late by director, of those heard, while a ramp lasts; else empty."""

    calls: Mapping[int, int]


@dataclass(slots=True)
class Counted:
    """Our own counters, in the order of `report.FIGURES`."""

    figures: tuple[int, ...]


@dataclass(slots=True)
class Written:
    """What became of a line: `highest` is the ledger's newest token where it refused ours."""

    number: int
    ok: bool
    highest: int = 0


@dataclass(slots=True)
class Move:
    """An operator's: hand a scope that we own to that director."""

    scope: int
    place: int


Event = (
    TimerExpired
    | DatagramReceived
    | Kept
    | Living
    | Stop
    | NewVoters
    | OldDisk
    | OrderGiven
    | Found
    | Asked
    | Counted
    | Written
    | Move
)
