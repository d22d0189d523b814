"""Actions of the lease state machine, which its driver carries out in order."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.coordination.actions import DeleteRow, PersistRow, SendDatagram, WriteLogLine


@dataclass(slots=True)
class LeaseAcquired:
    """The scope is held until `expires_us`, unless it is renewed or `LeaseLost` comes first."""

    scope: int
    token: int
    expires_us: int


@dataclass(slots=True)
class LeaseLost:
    """The scope is no longer held: stop the work under it."""

    scope: int
    reason: str


@dataclass(slots=True)
class ApplyOrder:
    """Apply a committed order to a member, at this director."""

    target: str
    order: str
    operator: str


@dataclass(slots=True)
class CompleteOrder:
    """Answer the operator that requested the order `id`; an empty `error` means that the order is committed."""

    id: int
    error: str


@dataclass(slots=True)
class ApplyShardResults:
    """Pass the results of a shard, which have arrived completely, to the health registry."""

    scope: int


@dataclass(slots=True)
class CollectCounters:
    """Collect this director's counters and answer with `CountersCollected`."""


@dataclass(slots=True)
class WriteReportLine:
    """Write a report line to the report ledger or the file, before `expires_us`."""

    number: int
    token: int
    line: str
    expires_us: int


Action = (
    SendDatagram
    | PersistRow
    | DeleteRow
    | LeaseAcquired
    | LeaseLost
    | ApplyOrder
    | CompleteOrder
    | ApplyShardResults
    | CollectCounters
    | WriteReportLine
    | WriteLogLine
)
