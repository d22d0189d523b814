"""Events of the lease state machine, which its driver feeds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.protocol.lease_messages import Finding


@dataclass(slots=True)
class RowPersisted:
    """A row with `awaited` set is durable, or its write failed."""

    kind: str
    key: str
    durable: bool


@dataclass(slots=True)
class LiveDirectorsChanged:
    """The set of live directors, which includes this one, has changed."""

    directors: frozenset[int]


@dataclass(slots=True)
class ShutdownRequested:
    """The process shuts down: hand over every scope that is held."""


@dataclass(slots=True)
class VotersChanged:
    """The voters in the settings have changed."""

    voters: frozenset[int]


@dataclass(slots=True)
class StaleStorageDetected:
    """Peers report a later incarnation of this director than its storage holds."""


@dataclass(slots=True)
class SuccessorChanged:
    """In an upgrade, a successor process of this director serves, or has ended."""

    serves: bool


@dataclass(slots=True)
class PredecessorChanged:
    """In an upgrade, a predecessor process of this director is present, or has ended."""

    is_present: bool


@dataclass(slots=True)
class OrderRequested:
    """An operator requests an order for the whole fleet; `id` is assigned by this director."""

    id: int
    target: str
    order: str
    operator: str


@dataclass(slots=True)
class CheckResultsCollected:
    """This director's check results of a shard.

    `covered` is the exclusive or of the numbers of all members that have a result of every check.
    """

    scope: int
    findings: list[Finding]
    covered: int


@dataclass(slots=True)
class OriginCallsReported:
    """Recent calls to the origin by director during a ramp of the fleet; empty otherwise."""

    calls: Mapping[int, int]


@dataclass(slots=True)
class CountersCollected:
    """This director's counters, in the order of `fleet_report.COUNTER_NAMES`."""

    counters: tuple[int, ...]


@dataclass(slots=True)
class ReportLineWritten:
    """The outcome of a report line; `highest_token` is the ledger's if it rejected ours as stale, else 0."""

    number: int
    accepted: bool
    highest_token: int = 0


@dataclass(slots=True)
class MoveRequested:
    """An operator requests that a scope held by this director moves to another one."""

    scope: int
    director: int


Event = (
    TimerExpired
    | DatagramReceived
    | RowPersisted
    | LiveDirectorsChanged
    | ShutdownRequested
    | VotersChanged
    | StaleStorageDetected
    | SuccessorChanged
    | PredecessorChanged
    | OrderRequested
    | CheckResultsCollected
    | OriginCallsReported
    | CountersCollected
    | ReportLineWritten
    | MoveRequested
)
