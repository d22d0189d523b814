"""Actions of the recovery state machine, in addition to those common to all drivers (coordination/actions.py)."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.coordination.actions import DeleteRow, PersistRow, SendDatagram, WriteLogLine
from rookbend.core.model import MembershipChange, Purge


@dataclass(slots=True)
class ForwardMembership:
    """Forward a membership change to the director, in place of the one that was received."""

    change: MembershipChange


@dataclass(slots=True)
class ApplyPurge:
    """Apply a purge that was restored from disk or received from a peer."""

    purge: Purge


@dataclass(slots=True)
class ApplyOrder:
    """Apply an operator's order that was restored from disk or received from a peer."""

    member: str
    order: str
    requested_by: str


@dataclass(slots=True)
class SetAdmissionLimits:
    """Set the router's admission limits.

    `ready`: whether the director admits requests at all. `closed_classes`: traffic classes that are rejected.
    `origin_rate`: this director's calls per second towards the origin; None means unlimited. `oldest_copy_us`: copies
    that left the origin before this Unix microsecond are not used; 0 means no limit.
    """

    ready: bool
    closed_classes: frozenset[int]
    origin_rate: float | None
    oldest_copy_us: int


@dataclass(slots=True)
class RaiseBootNumber:
    """Raise the boot number: a peer knows one at least as high from an earlier incarnation of this director."""

    boot_number: int


RecoveryAction = ForwardMembership | ApplyPurge | ApplyOrder | SetAdmissionLimits | RaiseBootNumber
Action = RecoveryAction | SendDatagram | PersistRow | DeleteRow | WriteLogLine
