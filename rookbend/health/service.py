"""Passes evidence on members to the health registry, and the verdicts that it changes to the engine.

The router receives each member with the verdict on its health applied. An ejected member is passed on as draining: it
gets no new requests, those in flight complete, and it keeps its place in the hash order. A change that takes a member
out of service or lowers its weight reaches the engine before the method that received the evidence returns, so that
`SendGuard.may_write` holds back attempts that wait in a queue. Changes that only raise a weight are batched for
`WEIGHT_BATCH_US`: otherwise a thousand slow starts would make the router sort its member lists a thousand times.
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
    """Returns a function that maps an endpoint to the role of its member."""
    names = {settings.parent_kind: "parent", settings.origin_kind: "origin"}
    return lambda endpoint: names.get(endpoint.member.kind, "cache")


class HealthService:
    """Passes the coordinator's membership and the results of checks and attempts through the registry to the engine.

    `on_members(added, removed)` is called with the server numbers of added and removed members; `on_due(due_us)` when
    the time at which `tick` is due changes.
    """

    def __init__(self, engine: Engine, registry: HealthRegistry, log: Callable[..., None]):
        self.engine = engine
        self.registry = registry
        self.log = log
        self.on_members: Callable[[list[int], list[int]], None] = lambda added, removed: None
        self.on_due: Callable[[int], None] = lambda due: None
        self._pending: dict[int, None] = {}  # members whose raised weight has not been passed on yet
        self._flush_us = 0  # when the pending weights are passed on; 0 if there are none
        self._announced_due_us = 0

    # Evidence

    def membership_changed(self, change: MembershipChange) -> None:
        """Passes a complete membership or a change of it to the registry, then to the engine with verdicts applied."""
        members = self.registry.members
        before = set(members)
        now = self.engine.clock.now()
        changed = self._handle_actions(self.registry.handle(now, MembershipReceived(change.complete, change.endpoints)))
        endpoints = [self.effective_endpoint(e.member.server) or e for e in change.endpoints]
        changed_servers = {e.member.server for e in change.endpoints}
        # The removal of a member can begin or end the panic of its tier, and so change verdicts on the other members.
        endpoints += [self._with_verdict(members[s]) for s in changed if s in members and s not in changed_servers]
        self.engine.membership_changed(MembershipChange(change.complete, change.version, endpoints))
        for server in [s for s in self._pending if s not in members]:
            del self._pending[server]
        self.on_members([s for s in members if s not in before], [s for s in before if s not in members])
        self._announce_due()

    def feed(self, event: Event) -> None:
        """Applies evidence other than the membership."""
        now = self.engine.clock.now()
        urgent = []
        for server, verdict in self._handle_actions(self.registry.handle(now, event)).items():
            if verdict is None:
                continue
            old = self.engine.endpoints.get(server)
            new = self._with_verdict(self.registry.members[server])
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
        """Applies the status of an ended attempt."""
        member = self.registry.members.get(server)
        if member is None:
            return
        if status in ANSWERED_STATUSES and not member.failed_attempts and not member.passive_until_us:
            return  # the common case: a successful attempt, and no failures to reset
        self.feed(AttemptObserved(server, status))

    def tick(self) -> None:
        """Passes on the batched weights that are due, and expires the registry's timers."""
        now = self.engine.clock.now()
        if self._flush_us and now >= self._flush_us:
            self._flush_us = 0
            pending, self._pending = self._pending, {}
            members = self.registry.members
            self.engine.health_changed([self._with_verdict(members[s]) for s in pending if s in members])
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

    def _handle_actions(self, actions: Iterable[Action]) -> dict[int, Verdict | None]:
        """Writes the log lines; returns the newest verdict of each changed member, None if it was removed."""
        changed = {}
        for action in actions:
            if isinstance(action, VerdictChanged):
                changed[action.server] = action.verdict
            else:
                self.log(action.event, action.level, **action.fields)
        return changed

    def effective_endpoint(self, server: int) -> Endpoint | None:
        """The endpoint with the verdict applied; None for a server that is not in the membership."""
        member = self.registry.members.get(server)
        return self._with_verdict(member) if member is not None else None

    def _with_verdict(self, health: MemberHealth) -> Endpoint:
        verdict = health.verdict
        member = health.endpoint.member
        assert verdict is not None  # set when the member is added
        weight = member.weight
        if verdict.weight < FULL_PERCENT and self._uses_health_weight(health.role):
            weight = member.weight * max(verdict.weight, 1) / FULL_PERCENT
        state = member.state
        if state is MemberState.READY and not verdict.state.in_use:
            state = MemberState.DRAINING
        # A member whose process was found not running returns with an empty cache, whatever start time the membership
        # gives: the router's budgets for cold members apply from the member's return.
        started_us = max(member.started_us, health.cold_since_us)
        if (weight, state, started_us) == (member.weight, member.state, member.started_us):
            return health.endpoint
        applied = replace(member, weight=weight, state=state, started_us=started_us)
        return Endpoint(applied, health.endpoint.name, health.endpoint.address)

    def _uses_health_weight(self, role: str) -> bool:
        weighted_roles = self.registry.policy.weighted_roles
        return weighted_roles == "all" or (weighted_roles == "caches" and role == "cache")

    def table(self) -> list[dict[str, object]]:
        """The table of members for operators."""
        return member_table(self.registry, self.engine.clock.now())

    def find(self, name: str) -> int | None:
        """The server number of the member with this name, or None."""
        members = self.registry.members.items()
        return next((server for server, member in members if member.endpoint.name == name), None)


def _reduces_service(before: Endpoint, after: Endpoint) -> bool:
    """Whether the member is out of service, lost weight or restarted: the engine must learn such changes at once."""
    old, new = before.member, after.member
    restarted = old.state is MemberState.READY and new.started_us > old.started_us
    return new.state is not MemberState.READY or new.weight < old.weight or restarted
