"""The health state of one member, and the verdict that follows from it before the tier's ejection limit.

Its size is fixed by the number of checks: counters, last results and times, no history. It is removed with the member:
a new id starts without any state, even at the same address.
"""

from __future__ import annotations

from rookbend.core.check_result import CheckOutcome
from rookbend.core.model import Endpoint
from rookbend.health.check_state import check_states
from rookbend.health.events import AgentReported, CheckCompleted
from rookbend.health.model import FULL_PERCENT, Cause, HealthPolicy, Order, SlowStartPolicy, State, Verdict
from rookbend.health.weight_ramp import WeightRamp
from rookbend.interface import AttemptStatus, MemberState

MAX_HOLD_DOUBLINGS = 20
FAILED_STATUSES = (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET)
ANSWERED_STATUSES = (AttemptStatus.OK, AttemptStatus.MISS, AttemptStatus.FULL, AttemptStatus.ERROR)


class MemberHealth:
    """One member: its endpoint, the operators' order, checks, failed attempts, ejection and slow start.

    `ejected` is set while checks or attempts fail, even if the tier's limit prevents the ejection, and at least until
    `hold_until_us`. `was_refused` is set if a refused or failed connection showed that the member's process was not
    running; the member then counts as cold from `cold_since_us`, the time of its return.
    """

    __slots__ = (
        "checks",
        "cold_since_us",
        "ejected",
        "ejected_us",
        "endpoint",
        "failed_attempts",
        "flaps",
        "hold_until_us",
        "membership_us",
        "order",
        "order_by",
        "order_us",
        "passive_since_us",
        "passive_until_us",
        "returned_us",
        "role",
        "slow_start",
        "verdict",
        "was_refused",
    )

    def __init__(self, endpoint: Endpoint, role: str, policy: HealthPolicy, newest_number: int, now_us: int):
        """`newest_number` is the number of the newest check run: results of runs up to it are ignored."""
        self.endpoint = endpoint
        self.role = role
        self.membership_us = now_us
        self.checks = check_states(role, policy, newest_number)
        self.order = Order.READY
        self.order_us = 0
        self.order_by = ""
        self.failed_attempts = 0
        self.passive_since_us = 0
        self.passive_until_us = 0
        self.ejected = False
        self.ejected_us = 0
        self.hold_until_us = 0
        self.flaps = 0
        self.returned_us = 0
        self.was_refused = False
        self.cold_since_us = 0
        self.slow_start = WeightRamp()
        self.verdict: Verdict | None = None

    # Evidence

    def is_outdated(self, check: str, number: int) -> bool:
        """Whether a result is of a check that no longer exists, or older than one already received: across a
        reconnect an old report may arrive last."""
        state = self.checks.get(check)
        return state is None or number < state.number

    def apply_check(self, now_us: int, event: AgentReported | CheckCompleted) -> None:
        """Applies an agent's report or a check's result."""
        state = self.checks[event.check]
        if isinstance(event, AgentReported):
            state.apply_report(now_us, event)
            return
        state.apply_result(now_us, event)
        self.was_refused |= event.outcome is CheckOutcome.REFUSED

    def apply_attempt(self, now_us: int, status: AttemptStatus, policy: HealthPolicy) -> None:
        """Counts consecutive failed attempts; `passive_failure_threshold` of them eject the member temporarily."""
        if status in ANSWERED_STATUSES:
            self.failed_attempts = 0
            self.passive_until_us = 0
        elif status in FAILED_STATUSES and policy.passive_failure_threshold:
            self.failed_attempts += 1
            if self.failed_attempts >= policy.passive_failure_threshold:
                self.failed_attempts = 0
                self.passive_since_us = now_us
                self.passive_until_us = now_us + policy.passive_ejection_us
                self.was_refused |= status is AttemptStatus.CONNECT_FAILED

    def apply_order(self, now_us: int, order: Order, by: str) -> None:
        """Applies an operator's order."""
        self.order = order
        self.order_us = now_us
        self.order_by = by

    # Rows 2 to 4 of the precedence table in model.py: membership, orders, the member's own agents

    def requested_verdict(self) -> Verdict | None:
        """The verdict that the membership, an order or an agent's drain or maint requires, if any."""
        if self.endpoint.member.state is not MemberState.READY:
            return Verdict(State.DRAINING, 0, Cause.MEMBERSHIP, "draining", self.membership_us)
        if self.order is Order.MAINTAIN:
            return Verdict(State.MAINTENANCE, 0, Cause.ORDER, f"by {self.order_by}", self.order_us)
        if self.order is Order.DRAIN:
            return Verdict(State.DRAINING, 0, Cause.ORDER, f"by {self.order_by}", self.order_us)
        # An agent's drain or maint is an order of the member's own operators: it holds while the agent is silent.
        for admin, state in (("maint", State.MAINTENANCE), ("drain", State.DRAINING)):
            for name, check in self.checks.items():
                if check.admin == admin:
                    reason = f"{name}: {admin} {check.reason}".rstrip()
                    return Verdict(state, 0, Cause.AGENT, reason, check.received_us)
        return None

    def zero_weight_verdict(self, now_us: int) -> Verdict | None:
        """Draining, if an agent reports a weight of 0%."""
        for name, check in self.checks.items():
            if not check.weight_at(now_us):
                reason = f"{name}: 0% {check.reason}".rstrip()
                return Verdict(State.DRAINING, 0, Cause.AGENT, reason, check.received_us)
        return None

    # Rows 5 and 6: checks, failed attempts, hold

    def failing_verdict(self, now_us: int) -> Verdict | None:
        """Down, if a check or enough consecutive attempts failed."""
        for name, check in self.checks.items():
            if check.is_down(now_us):
                cause = Cause.AGENT if check.policy.is_agent else Cause.CHECK
                return Verdict(State.DOWN, 0, cause, f"{name}: {check.reason or 'down'}", check.received_us)
        if now_us < self.passive_until_us:
            return Verdict(State.DOWN, 0, Cause.PASSIVE, "attempts failed in a row", self.passive_since_us)
        return None

    def update_ejection(self, now_us: int, policy: HealthPolicy) -> Verdict | None:
        """`failing_verdict` with the hold: a member that flaps stays ejected for longer each time."""
        failing = self.failing_verdict(now_us)
        if failing is not None:
            if not self.ejected:
                self._eject(now_us, policy)
            return failing
        if self.ejected:
            if now_us < self.hold_until_us:
                return Verdict(State.DOWN, 0, Cause.HOLD, f"flapped {self.flaps} times", self.ejected_us)
            self.ejected = False
            self.returned_us = now_us
            if self.was_refused:
                self.cold_since_us = now_us
                self.was_refused = False
        return None

    def _eject(self, now_us: int, policy: HealthPolicy) -> None:
        since_return_us = now_us - self.returned_us
        if self.returned_us and since_return_us < policy.flap_window_us:
            self.flaps += 1
        else:
            # Each `flap_window_us` since the return takes one flap off the count; the count is not reset at once.
            quiet_windows = since_return_us // policy.flap_window_us if self.returned_us else 0
            self.flaps = max(0, self.flaps - quiet_windows)
        self.ejected = True
        self.ejected_us = now_us
        min_ejection_us = policy.min_ejection_us << min(self.flaps, MAX_HOLD_DOUBLINGS)
        self.hold_until_us = now_us + min(min_ejection_us, policy.max_ejection_us)

    # Row 7: the weight of a member in use

    def in_use_verdict(self, now_us: int, policy: SlowStartPolicy, ignored: Verdict | None) -> Verdict:
        """The verdict on a member in use; `ignored` is the failing verdict that its tier's panic overrides."""
        old = self.verdict
        if old is not None and not old.state.in_use:
            if ignored is not None and old.state is State.DOWN:
                self.slow_start.resume(now_us)
            else:
                self.slow_start.restart(now_us, policy)
        target = min((check.weight_at(now_us) for check in self.checks.values()), default=FULL_PERCENT)
        weight = self.slow_start.update(now_us, target, policy)
        if ignored is not None:
            return self._degraded(weight, Cause.PANIC, f"ignored: {ignored.reason}", ignored.since_us)
        if self.slow_start.limits:
            return self._degraded(weight, Cause.SLOW_START, "returned to service", self.slow_start.began_us)
        for name, check in self.checks.items():
            if check.weight_at(now_us) == weight < FULL_PERCENT:
                reason = f"{name}: {weight}% {check.reason}".rstrip()
                return self._degraded(weight, Cause.AGENT, reason, check.received_us)
        for name, check in self.checks.items():
            if check.degraded and not check.is_stale(now_us):
                return self._degraded(weight, Cause.CHECK, f"{name}: {check.reason or 'degraded'}", check.received_us)
        received_us = max((check.received_us for check in self.checks.values()), default=0) or self.membership_us
        return Verdict(State.READY, weight, Cause.NOTHING, "", received_us, self.cold_since_us)

    def _degraded(self, weight: int, cause: Cause, reason: str, since_us: int) -> Verdict:
        return Verdict(State.DEGRADED, weight, cause, reason, since_us, self.cold_since_us)

    def in_doubt(self) -> bool:
        """Whether the newest attempts or checks contradict the present state."""
        return self.failed_attempts > 0 or any(check.in_doubt() for check in self.checks.values())

    def next_change_us(self, now_us: int, policy: SlowStartPolicy) -> int:
        """When the passage of time next changes the verdict, or 0."""
        times = [
            check.received_us + check.policy.stale_us
            for check in self.checks.values()
            if check.has_result and (check.down or check.weight < FULL_PERCENT) and not check.is_stale(now_us)
        ]
        if self.ejected:
            times.append(self.hold_until_us)
        times += [self.passive_until_us, self.slow_start.next_step_us(now_us, policy)]
        return min((time_us for time_us in times if time_us > now_us), default=0)
