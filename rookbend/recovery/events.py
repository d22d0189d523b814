"""Events of the recovery state machine, beside those that every state machine is fed (coordination/events.py)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.core.model import MembershipChange, Purge


class RecoveryCommand(Enum):
    """What an operator may order: enter no later stage, go on, enter the next without its preferred conditions."""

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
    """An attempt that may reach the origin was sent: direct, or through a fill."""


@dataclass(slots=True)
class OriginCallEnded:
    """Such an attempt ended; `succeeded` is false where the origin refused it or did not answer."""

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
    """A requested order is durable, or there is no disk to wait for."""

    key: str
    value: bytes


@dataclass(slots=True)
class OperatorCommand:
    """An operator's command to the recovery itself."""

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
