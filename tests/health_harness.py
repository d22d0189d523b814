"""A harness that runs a health registry with a simulated clock and records what it publishes."""

from rookbend.coordination.events import TimerExpired
from rookbend.core.check_result import AgentReport, CheckOutcome
from rookbend.core.model import Endpoint
from rookbend.health.check_schedule import cadence_of
from rookbend.health.events import (
    AgentReported,
    CheckCompleted,
    MembershipReceived,
    VerdictChanged,
)
from rookbend.health.model import CheckPolicy, HealthPolicy, SlowStartPolicy
from rookbend.health.registry import HealthRegistry
from rookbend.interface import Member, MemberState

SECOND = 1_000_000
START_PERCENT, RAMP_US = 20, 10 * SECOND
POLICY = HealthPolicy(
    checks=(CheckPolicy("agent", True, stale_us=5 * SECOND), CheckPolicy("page", rise=2, fall=3)),
    max_ejected_ratio=0.5,
    min_ejection_us=SECOND,
    slow_start=(("cache", SlowStartPolicy(START_PERCENT, RAMP_US)),),
)


def make_endpoint(server, state=MemberState.READY, started=0, port=1):
    return Endpoint(Member(server, 8.0, zone=1, state=state, started_us=started), f"m{server}", ("127.0.0.1", port))


class RegistryHarness:
    """A health registry with a simulated clock, the newest verdict on each member, and the log lines."""

    def __init__(self, count=4, policy=POLICY, on_event=lambda harness: None):
        self.on_event = on_event
        self.now, self.registry, self.verdicts, self.log_lines = (
            100 * SECOND,
            HealthRegistry(policy, lambda e: "cache"),
            {},
            [],
        )
        self.feed(MembershipReceived(True, [make_endpoint(s) for s in range(1, count + 1)]))

    def feed(self, event, after=0):
        """Advances the clock by `after` microseconds, handles timers that fall due, then the event."""
        until = self.now + after
        while self.registry.due_us and self.registry.due_us <= until:
            self.now = max(self.now, self.registry.due_us)
            self._record(self.registry.handle(self.now, TimerExpired()))
        self.now = until
        self._record(self.registry.handle(self.now, event))
        return self

    def _record(self, actions):
        self.on_event(self)
        for action in actions:
            if isinstance(action, VerdictChanged):
                self.verdicts[action.server] = action.verdict
            else:
                self.log_lines.append(action)

    def report(self, server, after=0, **fields):
        """Feeds an agent's report with these fields."""
        return self.feed(AgentReported(server, "agent", self.registry.begin_check(), AgentReport(**fields)), after)

    def check(self, server, outcome=CheckOutcome.FAILED, times=1, check="page"):
        """Feeds `times` results of a check, one microsecond apart."""
        for _ in range(times):
            self.feed(CheckCompleted(server, check, self.registry.begin_check(), outcome, "why"), 1)
        return self

    def wait(self, us):
        return self.feed(TimerExpired(), us)

    def cadence(self, server, check):
        """The interval in microseconds and the priority of a check."""
        return cadence_of(self.registry.members.get(server), check)

    def state(self, server=1):
        """The state, weight and cause of the verdict on a member."""
        verdict = self.registry.members[server].verdict
        return verdict.state.value, verdict.weight, verdict.cause.value
