"""Events that the health registry is fed, each with the time at which it was received, and its actions."""

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
    """The coordinator's membership: all of it, or the endpoints that changed."""

    complete: bool
    endpoints: list[Endpoint]


@dataclass(slots=True)
class AgentReported:
    """An agent's report. `number` grows with each start of a check: a report that was overtaken is ignored."""

    server: int
    check: str
    number: int
    report: AgentReport


@dataclass(slots=True)
class CheckCompleted:
    """The end of a check; for an agent only where it gave no usable report."""

    server: int
    check: str
    number: int
    outcome: CheckOutcome
    reason: str = ""


@dataclass(slots=True)
class AttemptObserved:
    """An attempt of a request at a member has ended."""

    server: int
    status: AttemptStatus


@dataclass(slots=True)
class OrderReceived:
    """An operator's order about a member."""

    server: int
    order: Order
    by: str = ""


@dataclass(slots=True)
class PolicyChanged:
    """Other settings from now on."""

    policy: HealthPolicy


Event = (
    MembershipReceived | AgentReported | CheckCompleted | AttemptObserved | OrderReceived | PolicyChanged | TimerExpired
)


@dataclass(slots=True)
class VerdictChanged:
    """A member's verdict has changed in state, weight or cold start; None where the member has gone."""

    server: int
    verdict: Verdict | None


Action = VerdictChanged | WriteLogLine
