"""The state of one check of one member."""

from __future__ import annotations

from rookbend.core.check_result import CheckOutcome
from rookbend.health.events import AgentReported, CheckCompleted
from rookbend.health.model import FULL_PERCENT, CheckPolicy, HealthPolicy

MAX_REASON_LENGTH = 120
MAX_STREAK = 1_000


class CheckState:
    """The state of one check of one member.

    `streak` counts consecutive results that contradict the present state. `admin` is an agent's drain or maint.
    `received_us` is the time of the last usable result. `last_run_error` says why the newest run had no usable result.
    A result whose number is below `number` is ignored: its run began before the newest one that was received.
    """

    __slots__ = (
        "admin",
        "degraded",
        "down",
        "has_result",
        "received_us",
        "number",
        "outcome",
        "policy",
        "reason",
        "streak",
        "last_run_error",
        "weight",
    )

    def __init__(self, policy: CheckPolicy, newest_number: int):
        self.policy = policy
        self.number = newest_number + 1
        self.down = False
        self.degraded = False
        self.streak = 0
        self.admin = ""
        self.weight = FULL_PERCENT
        self.has_result = False
        self.received_us = 0
        self.outcome: CheckOutcome | None = None
        self.reason = ""
        self.last_run_error = ""

    def is_stale(self, now_us: int) -> bool:
        """Whether the last usable result is too old to count."""
        return self.has_result and now_us - self.received_us >= self.policy.stale_us

    def is_down(self, now_us: int) -> bool:
        """Whether the check counts as failed. A stale failure does not count: no newer result confirms it."""
        return self.down and not self.is_stale(now_us)

    def weight_at(self, now_us: int) -> int:
        """The agent's weight in percent; 100 once the report is stale."""
        return FULL_PERCENT if self.is_stale(now_us) else self.weight

    def in_doubt(self) -> bool:
        """Whether the newest results contradict the present state."""
        return self.streak > 0

    def apply_report(self, now_us: int, event: AgentReported) -> None:
        """Applies an agent's report. A single report changes the state, up or down."""
        report = event.report
        self.number = event.number
        self.has_result = True
        self.received_us = now_us
        self.last_run_error = ""
        if report.up is not None:
            self.down = not report.up
        if report.admin is not None:
            self.admin = "" if report.admin == "ready" else report.admin
        if report.weight is not None:
            self.weight = min(max(report.weight, 0), FULL_PERCENT)
        self.outcome = CheckOutcome.FAILED if self.down else CheckOutcome.PASSED
        self.reason = report.reason[:MAX_REASON_LENGTH]

    def apply_result(self, now_us: int, event: CheckCompleted) -> None:
        """Applies the result of a run; `rise` or `fall` consecutive results change the state."""
        self.number = event.number
        self.outcome = event.outcome
        self.last_run_error = ""
        if self.policy.is_agent:
            # The last report holds until it is stale: a silent agent is no evidence about its member.
            self.last_run_error = f"{event.outcome.value} {event.reason}".strip()[:MAX_REASON_LENGTH]
            return
        self.has_result = True
        self.received_us = now_us
        self.degraded = event.outcome is CheckOutcome.DEGRADED
        if event.outcome.passes is not self.down:
            self.streak = 0
            if self.down:
                self.reason = event.reason[:MAX_REASON_LENGTH]
            return
        self._count_against_state(event)

    def _count_against_state(self, event: CheckCompleted) -> None:
        self.streak = min(self.streak + 1, MAX_STREAK)
        needed = self.policy.rise if self.down else self.policy.fall
        if event.outcome is CheckOutcome.DISMISSED or self.streak >= needed:
            self.down = not self.down
            self.streak = 0
            self.reason = event.reason[:MAX_REASON_LENGTH]


def check_states(role: str, policy: HealthPolicy, newest_number: int) -> dict[str, CheckState]:
    """The initial states of the checks that apply to a member of this role."""
    return {check.name: CheckState(check, newest_number) for check in policy.checks if check.tier in (role, "all")}
