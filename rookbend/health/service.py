"""Passes evidence to the health registry, and changed verdicts to the engine as changes of members.

The router is told of a member what the membership and health add up to. An ejected member is told as draining:
nothing new goes there, what is in flight ends by itself, and its place in the hash order stays. That reaches the
engine within the call that brought the evidence, so `may_write` holds back what waits in a queue. What only raises a
weight is gathered for `WEIGHT_BATCH_US`: a thousand slow starts would else make the module sort its lists a thousand
times.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from rookbend.coordination.events import TimerExpired
from rookbend.core.engine import Engine
from rookbend.core.model import Endpoint, MembershipChange
from rookbend.health.events import Action, AttemptObserved, Event, MembershipReceived, VerdictChanged
from rookbend.health.member_health import ANSWERED_STATUSES, MemberHealth
from rookbend.health.member_table import member_table
from rookbend.health.model import FULL_PERCENT, Verdict
from rookbend.health.registry import HealthRegistry
from rookbend.interface import AttemptStatus, MemberState, Settings

WEIGHT_BATCH_US = 100_000


def role_lookup(settings: Settings) -> Callable[[Endpoint], str]:
    """A function from an endpoint to the member's role."""
    names = {settings.parent_kind: "parent", settings.origin_kind: "origin"}
    return lambda endpoint: names.get(endpoint.member.kind, "cache")


class HealthService:
    """Stands between the coordinator's watch, checks and attempts, and the engine.

    `on_members(added, removed)` is called with members by server number; `on_due(when_us)` when `tick` is due at
    another time than before.
    """

    def __init__(self, engine: Engine, registry: HealthRegistry, log: Callable[..., None]):
        self.engine = engine
        self.registry = registry
        self.log = log
        self.on_members: Callable[[list[int], list[int]], None] = lambda added, removed: None
        self.on_due: Callable[[int], None] = lambda due: None
        self._pending: dict[int, None] = {}  # raised in weight, not passed on yet
        self._flush_us = 0
        self._announced_due_us = 0

    # Evidence

    def membership_changed(self, change: MembershipChange) -> None:
        """The coordinator's membership, or a part of it; the engine gets it with health applied."""
        members = self.registry.members
        before = set(members)
        now = self.engine.clock.now()
        changed = self._apply(self.registry.handle(now, MembershipReceived(change.complete, change.endpoints)))
        endpoints = [self.effective(e.member.server) or e for e in change.endpoints]
        changed_servers = {e.member.server for e in change.endpoints}
        # A member that leaves may have changed the verdict on others of its tier.
        endpoints += [self._effective_of(members[s]) for s in changed if s in members and s not in changed_servers]
        self.engine.membership_changed(MembershipChange(change.complete, change.version, endpoints))
        for server in [s for s in self._pending if s not in members]:
            del self._pending[server]
        self.on_members([s for s in members if s not in before], [s for s in before if s not in members])
        self._announce_due()

    def feed(self, event: Event) -> None:
        """Evidence of any other kind."""
        now = self.engine.clock.now()
        urgent = []
        for server, verdict in self._apply(self.registry.handle(now, event)).items():
            if verdict is None:
                continue
            old = self.engine.endpoints.get(server)
            new = self._effective_of(self.registry.members[server])
            if old is None or _reduces_service(old, new):
                self._pending.pop(server, None)
                urgent.append(new)
            elif server not in self._pending:
                self._flush_us = self._flush_us or now + WEIGHT_BATCH_US
                self._pending[server] = None
        if urgent:
            self.engine.health_changed(urgent)
        self._announce_due()

    def attempt_ended(self, server: int, status: AttemptStatus) -> None:
        """An attempt of a request has ended."""
        member = self.registry.members.get(server)
        if member is None:
            return
        if status in ANSWERED_STATUSES and not member.failed_attempts and not member.passive_until_us:
            return  # nearly all of them: nothing is held against the member
        self.feed(AttemptObserved(server, status))

    def tick(self) -> None:
        """Does what is due: gathered weights, and what time alone changes."""
        now = self.engine.clock.now()
        if self._flush_us and now >= self._flush_us:
            self._flush_us = 0
            pending, self._pending = self._pending, {}
            members = self.registry.members
            self.engine.health_changed([self._effective_of(members[s]) for s in pending if s in members])
        if self.registry.due_us and now >= self.registry.due_us:
            self.feed(TimerExpired())
        self._announce_due()

    @property
    def due_us(self) -> int:
        """When `tick` is next due, or 0."""
        return min((due_us for due_us in (self.registry.due_us, self._flush_us) if due_us), default=0)

    def _announce_due(self) -> None:
        due_us = self.due_us
        if due_us != self._announced_due_us:
            self._announced_due_us = due_us
            self.on_due(due_us)

    # Verdicts

    def _apply(self, actions: Iterable[Action]) -> dict[int, Verdict | None]:
        """The newest verdict of each member that changed; log lines go out."""
        changed = {}
        for action in actions:
            if isinstance(action, VerdictChanged):
                changed[action.server] = action.verdict
            else:
                self.log(action.event, action.level, **action.fields)
        return changed

    def effective(self, server: int) -> Endpoint | None:
        """The endpoint with the verdict applied; None for a member that the membership does not hold."""
        member = self.registry.members.get(server)
        return self._effective_of(member) if member is not None else None

    def _effective_of(self, health: MemberHealth) -> Endpoint:
        verdict = health.verdict
        member = health.endpoint.member
        assert verdict is not None  # set as the member is added
        weight = member.weight
        if verdict.weight < FULL_PERCENT and self._uses_health_weight(health.role):
            weight = member.weight * max(verdict.weight, 1) / FULL_PERCENT
        state = member.state
        if state is MemberState.READY and not verdict.state.in_use:
            state = MemberState.DRAINING
        # A process that was found dead and came back is empty, whatever start the membership gives: the module's
        # budgets for cold members hold from then on.
        started_us = max(member.started_us, health.cold_since_us)
        if (weight, state, started_us) == (member.weight, member.state, member.started_us):
            return health.endpoint
        applied = replace(member, weight=weight, state=state, started_us=started_us)
        return Endpoint(applied, health.endpoint.name, health.endpoint.address)

    def _uses_health_weight(self, role: str) -> bool:
        weighted_roles = self.registry.policy.weighted_roles
        return weighted_roles == "all" or (weighted_roles == "caches" and role == "cache")

    def table(self) -> list[dict[str, object]]:
        """The table of members that operators read."""
        return member_table(self.registry, self.engine.clock.now())

    def find(self, name: str) -> int | None:
        """The server number of the member of that name."""
        members = self.registry.members.items()
        return next((server for server, member in members if member.endpoint.name == name), None)


def _reduces_service(before: Endpoint, after: Endpoint) -> bool:
    """Whether the engine must be told at once: the member loses service or weight."""
    old, new = before.member, after.member
    restarted = old.state is MemberState.READY and new.started_us > old.started_us
    return new.state is not MemberState.READY or new.weight < old.weight or restarted
