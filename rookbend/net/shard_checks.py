"""Health checks by shard: which members this director checks, and which results it publishes and applies."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from rookbend.health.check_schedule import CheckAssignment
from rookbend.leases.actions import ApplyShardResults
from rookbend.leases.events import CheckResultsCollected
from rookbend.leases.leader_tasks import FIRST_CHECKS_SCOPE, checks_scope_of
from rookbend.leases.machine import LeaseMachine
from rookbend.leases.sharded_checks import LEADERLESS_INTERVAL_FACTOR, collect_findings


class ShardChecks:
    """`health` is the component that checks members; `now` reads the machine's clock in µs; `feed` passes it events."""

    def __init__(
        self,
        health: Any,
        machine: LeaseMachine,
        check_names: Sequence[str],
        now: Callable[[], int],
        feed: Callable[[CheckResultsCollected], None],
    ):
        self._health = health
        self._machine = machine
        self._follower = machine.parts.shard_follower
        self._check_names = list(check_names)
        self._now = now
        self._feed = feed
        self._last: dict[int, CheckResultsCollected] = {}  # by scope

    def install(self) -> None:
        """Makes the health component run only the checks that are assigned here."""
        self._health.driver.assign = self.assignment_for
        self._health.driver.on_result = self.check_ended

    def _scope_of(self, member_number: int) -> int:
        return checks_scope_of(member_number, self._machine.config.shards)

    def _registry_rows(self, scope: int) -> list[Any]:
        rows = self._health.service.registry.members.items()
        return [row for member_number, row in rows if self._scope_of(member_number) == scope]

    def assignment_for(self, member_number: int, interval_us: int) -> CheckAssignment:
        """Whether this director checks the member now, and the minimum time until the next check."""
        scope = self._scope_of(member_number)
        now_us = self._now()
        if self._machine.leases.held_token(now_us, scope):
            return CheckAssignment(True, 0)
        if self._follower.is_fresh(now_us, scope):
            return CheckAssignment(False, interval_us)
        return CheckAssignment(True, interval_us * LEADERLESS_INTERVAL_FACTOR)

    def check_ended(self, member_number: int) -> None:
        """A check of this director has ended: publishes changed results at once."""
        scope = self._scope_of(member_number)
        if self._machine.leases.held_token(self._now(), scope):
            self._collect(scope)

    def collect(self) -> None:
        """Collects the results of all shards held by this director."""
        for scope in self._machine.leases.held_scopes(self._now()):
            if scope >= FIRST_CHECKS_SCOPE:
                self._collect(scope)

    def _collect(self, scope: int) -> None:
        findings, covered = collect_findings(self._registry_rows(scope), self._check_names)
        event = CheckResultsCollected(scope, findings, covered)
        if event != self._last.get(scope):
            self._last[scope] = event
            self._feed(event)

    def apply(self, action: ApplyShardResults) -> None:
        """Feeds the results published by a shard's leader to this director's registry."""
        service = self._health.service
        number = service.registry.begin_check()
        rows = self._registry_rows(action.scope)
        for event in self._follower.health_events(self._now(), action.scope, rows, self._check_names, number):
            service.feed(event)
