"""The health of all members: takes evidence and returns changed verdicts. A state machine without I/O or clock.

`handle(now, event)` returns the actions that follow; `due_us` is when `TimerExpired` is next needed. An event about a
member evaluates only that member, and the failing members of its tier only when the tier's panic begins or ends.

A tier is the members of one kind and zone. Its eligible members are those that are not taken out of service by the
membership, by an operator's order, or by an agent's drain or maint. Checks may eject at most the share
`max_ejected_ratio` of the eligible members, rounded down. If checks would eject more, all of them are ignored for the
tier (panic), and this is logged: when everything seems to fail at once, the fault is more likely in this director.
Panic ends once the number of failing members has stayed within the limit for `panic_hold_us`. An agent's drain or
maint and an operator's order apply during panic too.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rookbend.coordination.events import TimerExpired
from rookbend.core.model import Endpoint
from rookbend.health.check_state import check_states
from rookbend.health.events import (
    Action,
    AgentReported,
    AttemptObserved,
    CheckCompleted,
    Event,
    MembershipReceived,
    OrderReceived,
    PolicyChanged,
    VerdictChanged,
)
from rookbend.health.log_lines import member_state_line, order_line, panic_line
from rookbend.health.member_health import MemberHealth
from rookbend.health.member_timers import ANY_TIER, MemberTimers
from rookbend.health.model import HealthPolicy, SlowStartPolicy, Verdict
from rookbend.health.tier import PanicChange, Tier
from rookbend.interface import MemberState

NO_SLOW_START = SlowStartPolicy()
MAX_ORDER_AUTHOR_LENGTH = 40


class HealthRegistry:
    """The members by server number, and their tiers by (kind, zone).

    `role_of` returns the role of an endpoint's member: cache, parent or origin. `overtaken` counts results that were
    ignored: of a check or member that no longer exists, or older than one already received.
    """

    def __init__(self, policy: HealthPolicy, role_of: Callable[[Endpoint], str]):
        self.policy = policy
        self.role_of = role_of
        self.members: dict[int, MemberHealth] = {}
        self.tiers: dict[tuple[int, int], Tier] = {}
        self.overtaken = 0
        self._slow_start = dict(policy.slow_start)
        self._newest_check = 0
        self._actions: list[Action] = []
        self.timers = MemberTimers()

    @property
    def due_us(self) -> int:
        """When the passage of time next changes something, or 0."""
        return self.timers.due_us

    def begin_check(self) -> int:
        """The number for a check run that begins now."""
        self._newest_check += 1
        return self._newest_check

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handles an event that was received at `now` (microseconds); returns the actions that follow."""
        self._actions = []
        HANDLERS[type(event)](self, now, event)
        return self._actions

    # Events

    def _on_membership(self, now: int, event: MembershipReceived) -> None:
        if event.complete:
            listed_servers = {endpoint.member.server for endpoint in event.endpoints}
            for server in [server for server in self.members if server not in listed_servers]:
                self._drop(now, server)
        for endpoint in event.endpoints:
            member = self.members.get(endpoint.member.server)
            if endpoint.member.state is MemberState.GONE:
                self._drop(now, endpoint.member.server)
            elif member is None:
                self._add(now, endpoint)
            else:
                self._update(now, member, endpoint)

    def _add(self, now: int, endpoint: Endpoint, previous: MemberHealth | None = None) -> None:
        """Adds a member. An operator's order on `previous`, its state before a restart or move, still applies."""
        server = endpoint.member.server
        member = MemberHealth(endpoint, self.role_of(endpoint), self.policy, self._newest_check, now)
        self.members[server] = member
        if previous is not None:
            member.apply_order(previous.order_us, previous.order, previous.order_by)
        key = endpoint.member.kind, endpoint.member.zone
        tier = self.tiers.get(key) or self.tiers.setdefault(key, Tier(*key))
        tier.members.add(server)
        self._evaluate(now, member, forced=True)

    def _update(self, now: int, member: MemberHealth, endpoint: Endpoint) -> None:
        old = member.endpoint.member
        new = endpoint.member
        moved = (new.kind, new.zone) != (old.kind, old.zone) or endpoint.address != member.endpoint.address
        if moved or new.started_us > old.started_us:
            # The member is another process, or has another address, kind or zone: earlier results don't apply to it.
            self._drop(now, new.server, publish=False)
            return self._add(now, endpoint, member)
        if new.state is not old.state:
            member.membership_us = now
        member.endpoint = endpoint
        self._evaluate(now, member, forced=True)

    def _drop(self, now: int, server: int, publish: bool = True) -> None:
        member = self.members.pop(server, None)
        if member is None:
            return
        key = member.endpoint.member.kind, member.endpoint.member.zone
        tier = self.tiers[key]
        tier.discard(server)
        self.timers.disarm(server)
        if tier.members:
            self._update_panic(now, tier)
        else:
            del self.tiers[key]
        if publish:
            self._actions.append(VerdictChanged(server, None))

    def _on_check(self, now: int, event: AgentReported | CheckCompleted) -> None:
        member = self.members.get(event.server)
        if member is None or member.is_outdated(event.check, event.number):
            self.overtaken += 1
            return
        member.apply_check(now, event)
        self._evaluate(now, member)

    def _on_attempt(self, now: int, event: AttemptObserved) -> None:
        member = self.members.get(event.server)
        if member is None:
            return
        previous = member.passive_until_us
        member.apply_attempt(now, event.status, self.policy)
        if member.passive_until_us != previous:
            self._evaluate(now, member)

    def _on_order(self, now: int, event: OrderReceived) -> None:
        member = self.members.get(event.server)
        if member is None:
            return
        member.apply_order(now, event.order, event.by[:MAX_ORDER_AUTHOR_LENGTH])
        self._actions.append(order_line(member))
        self._evaluate(now, member)

    def _on_policy(self, now: int, event: PolicyChanged) -> None:
        """Applies new checks and limits. A check of the same name and kind (agent or not) keeps its state."""
        self.policy = event.policy
        self._slow_start = dict(event.policy.slow_start)
        for member in self.members.values():
            checks = check_states(member.role, event.policy, self._newest_check)
            for name, new in checks.items():
                old = member.checks.get(name)
                if old is not None and old.policy.is_agent is new.policy.is_agent:
                    old.policy = new.policy
                    checks[name] = old
            member.checks = checks
        for member in list(self.members.values()):
            self._evaluate(now, member)

    def _on_timer(self, now: int, event: TimerExpired) -> None:
        while (server := self.timers.pop_due(now)) is not None:
            if server == ANY_TIER:
                for tier in self.tiers.values():
                    self._update_panic(now, tier)
            else:
                self._evaluate(now, self.members[server])

    # Verdicts

    def _evaluate(self, now: int, member: MemberHealth, forced: bool = False) -> None:
        """Evaluates one member, updates its tier, and publishes the verdict if it has changed or if `forced`."""
        endpoint = member.endpoint.member
        tier = self.tiers[endpoint.kind, endpoint.zone]
        requested = member.requested_verdict()
        failing = member.update_ejection(now, self.policy)
        tier.update_member(endpoint.server, requested is None, failing is not None)
        self._update_panic(now, tier)
        self._publish(now, member, tier, requested, failing, forced)

    def _update_panic(self, now: int, tier: Tier) -> None:
        change = tier.update_panic(now, self.policy.max_ejected_ratio, self.policy.panic_hold_us)
        if change is PanicChange.CALMED:
            self.timers.arm_tier(now + self.policy.panic_hold_us)
        if change not in (PanicChange.BEGAN, PanicChange.ENDED):
            return
        self._actions.append(panic_line(tier, self.policy))
        for server in sorted(tier.failing):
            member = self.members[server]
            self._publish(now, member, tier, None, member.update_ejection(now, self.policy), False)

    def _publish(
        self,
        now: int,
        member: MemberHealth,
        tier: Tier,
        requested: Verdict | None,
        failing: Verdict | None,
        forced: bool,
    ) -> None:
        old = member.verdict
        slow_start = self._slow_start.get(member.role, NO_SLOW_START)
        new = requested or (None if tier.panic else failing) or member.zero_weight_verdict(now)
        if new is None:
            new = member.in_use_verdict(now, slow_start, failing)
        member.verdict = new
        self._arm(now, member, slow_start)
        if forced or old is None or _differ(old, new):
            self._actions.append(VerdictChanged(member.endpoint.member.server, new))
        if old is not None and old.state is not new.state:
            self._actions.append(member_state_line(member, old, new))

    def _arm(self, now: int, member: MemberHealth, slow_start: SlowStartPolicy) -> None:
        self.timers.arm(member.endpoint.member.server, member.next_change_us(now, slow_start))
        if self.timers.needs_rebuild(len(self.members)):
            calm_since = [tier.calm_since_us for tier in self.tiers.values() if tier.panic and tier.calm_since_us]
            self.timers.rebuild([since_us + self.policy.panic_hold_us for since_us in calm_since])


def _differ(old: Verdict, new: Verdict) -> bool:
    """Whether the verdicts differ in what the routing engine uses."""
    return (old.state, old.weight, old.cold_since_us) != (new.state, new.weight, new.cold_since_us)


HANDLERS: dict[type, Callable[[HealthRegistry, int, Any], None]] = {
    MembershipReceived: HealthRegistry._on_membership,
    AgentReported: HealthRegistry._on_check,
    CheckCompleted: HealthRegistry._on_check,
    AttemptObserved: HealthRegistry._on_attempt,
    OrderReceived: HealthRegistry._on_order,
    PolicyChanged: HealthRegistry._on_policy,
    TimerExpired: HealthRegistry._on_timer,
}
