"""Events of the lease state machine, which its driver feeds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.protocol.lease_messages import Finding


@dataclass(slots=True)
class RowPersisted:
    """A row with `awaited` set is durable, or could not be written."""

    kind: str
    key: str
    durable: bool


@dataclass(slots=True)
class LiveDirectorsChanged:
    """Directors that were heard of lately, this one among them."""

    directors: frozenset[int]


@dataclass(slots=True)
class ShutdownRequested:
    """The process shuts down: hand over every scope that is held."""


@dataclass(slots=True)
class VotersChanged:
    """The settings name other voters."""

    voters: frozenset[int]


@dataclass(slots=True)
class StaleStorageDetected:
    """Peers know a later incarnation of this director than its storage does."""


@dataclass(slots=True)
class OrderRequested:
    """An operator's order for the whole fleet; `id` is this director's own."""

    id: int
    target: str
    order: str
    operator: str


@dataclass(slots=True)
class CheckResultsCollected:
    """Our check results of a shard: findings, and the exclusive or of the numbers of all members with a result."""

    scope: int
    findings: list[Finding]
    covered: int


@dataclass(slots=True)
class OriginCallsReported:
    """Recent calls to the origin by director while the fleet's ramp lasts, else empty."""

    calls: Mapping[int, int]


@dataclass(slots=True)
class CountersCollected:
    """Our own counters, in the order of `fleet_report.COUNTER_NAMES`."""

    counters: tuple[int, ...]


@dataclass(slots=True)
class ReportLineWritten:
    """The outcome of a report line; `highest_token` is the ledger's where it rejected ours as stale, else 0."""

    number: int
    accepted: bool
    highest_token: int = 0


@dataclass(slots=True)
class MoveRequested:
    """An operator moves a scope that is held here to another director."""

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
    | OrderRequested
    | CheckResultsCollected
    | OriginCallsReported
    | CountersCollected
    | ReportLineWritten
    | MoveRequested
)
