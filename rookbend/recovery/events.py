"""Events of the recovery state machine, in addition to those common to all of them (coordination/events.py)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.core.model import MembershipChange, Purge


class RecoveryCommand(Enum):
    """Hold the present stage, resume, or skip the preferred conditions of the next stage."""

    HOLD = "hold"
    RESUME = "resume"
    SKIP = "skip"


@dataclass(slots=True)
class MembershipReceived:
    """The coordinator's stream delivered a membership list or a change of it."""

    change: MembershipChange


@dataclass(slots=True)
class PurgeReceived:
    """The coordinator's stream delivered a purge."""

    purge: Purge


@dataclass(slots=True)
class StreamActive:
    """The coordinator's stream is up and has delivered something."""


@dataclass(slots=True)
class OriginCallStarted:
    """An attempt that may reach the origin was sent, directly or through a fill."""


@dataclass(slots=True)
class OriginCallEnded:
    """An attempt that may reach the origin ended; `succeeded` is false if the origin refused it or did not answer."""

    succeeded: bool
    duration_us: int = 0


@dataclass(slots=True)
class OrderRequested:
    """An operator requested an order for a member; it takes effect once persisted."""

    member: str
    order: str
    requested_by: str


@dataclass(slots=True)
class OrderPersisted:
    """A requested order is durable, or the director has no disk to persist it to."""

    key: str
    value: bytes


@dataclass(slots=True)
class OperatorCommand:
    """An operator's command that controls the recovery."""

    command: RecoveryCommand


Event = (
    TimerExpired
    | DatagramReceived
    | MembershipReceived
    | PurgeReceived
    | StreamActive
    | OriginCallStarted
    | OriginCallEnded
    | OrderRequested
    | OrderPersisted
    | OperatorCommand
)
