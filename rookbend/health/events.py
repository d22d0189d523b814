"""Events that the health registry handles, and its actions."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.coordination.actions import WriteLogLine
from rookbend.coordination.events import TimerExpired
from rookbend.core.check_result import AgentReport, CheckOutcome
from rookbend.core.model import Endpoint
from rookbend.health.model import HealthPolicy, Order, Verdict
from rookbend.interface import AttemptStatus


@dataclass(slots=True)
class MembershipReceived:
    """The coordinator's membership: all endpoints if `complete`, else those that changed."""

    complete: bool
    endpoints: list[Endpoint]


@dataclass(slots=True)
class AgentReported:
    """An agent's report. `number` grows with each check run: a report of an older run than the newest is ignored."""

    server: int
    check: str
    number: int
    report: AgentReport


@dataclass(slots=True)
class CheckCompleted:
    """The result of a check run; of an agent check only if the agent sent no usable report."""

    server: int
    check: str
    number: int
    outcome: CheckOutcome
    reason: str = ""


@dataclass(slots=True)
class AttemptObserved:
    """An attempt of a request at a member ended."""

    server: int
    status: AttemptStatus


@dataclass(slots=True)
class OrderReceived:
    """An operator's order on a member."""

    server: int
    order: Order
    by: str = ""


@dataclass(slots=True)
class PolicyChanged:
    """The settings changed."""

    policy: HealthPolicy


Event = (
    MembershipReceived | AgentReported | CheckCompleted | AttemptObserved | OrderReceived | PolicyChanged | TimerExpired
)


@dataclass(slots=True)
class VerdictChanged:
    """A member's verdict changed in state, weight or cold start; None if the member was removed."""

    server: int
    verdict: Verdict | None


Action = VerdictChanged | WriteLogLine
