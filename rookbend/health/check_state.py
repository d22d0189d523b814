"""What one check has found of one member."""

from __future__ import annotations

from rookbend.core.check_result import CheckOutcome
from rookbend.health.events import AgentReported, CheckCompleted
from rookbend.health.model import FULL_PERCENT, CheckPolicy, HealthPolicy

MAX_REASON_LENGTH = 120
MAX_STREAK = 1_000


class CheckState:
    """The state of one check of one member.

    `streak` counts results in a row against the present state. `admin` is an agent's drain or maint. `received_us` is
    when the check last gave something that counts. `trouble` says why the newest run gave nothing. A result whose
    number is below `number` is ignored: it belongs to a run that began before the newest one that was received.
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
        """Whether what was received last is too old to count."""
        return self.has_result and now_us - self.received_us >= self.policy.stale_us

    def is_down(self, now_us: int) -> bool:
        """Whether the check counts as failed; a stale failure does not, since nothing has renewed it."""
        return self.down and not self.is_stale(now_us)

    def weight_at(self, now_us: int) -> int:
        """The agent's weight in percent, or all of it once the report is stale."""
        return FULL_PERCENT if self.is_stale(now_us) else self.weight

    def in_doubt(self) -> bool:
        """Whether results have begun to speak against the present state."""
        return self.streak > 0

    def apply_report(self, now_us: int, event: AgentReported) -> None:
        """Takes an agent's report: it counts at once, in both directions."""
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
        """Takes the result of a run; `rise` or `fall` results in a row change the state."""
        self.number = event.number
        self.outcome = event.outcome
        self.last_run_error = ""
        if self.policy.is_agent:
            # The last report holds until it is stale: an agent that is silent proves nothing about its member.
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
    """The checks that a member of this role gets, with nothing received yet."""
    return {check.name: CheckState(check, newest_number) for check in policy.checks if check.tier in (role, "all")}
