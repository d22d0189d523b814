"""The driver of health checks: schedules each check of each member, and passes on the results."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.core.check_result import AgentReport
from rookbend.health.check_schedule import CheckAssignment, cadence_of, policies_of
from rookbend.health.events import AgentReported, CheckCompleted
from rookbend.health.service import HealthService
from rookbend.net.check_exchange import CheckReport, CheckRun, WatchUnsupportedError
from rookbend.net.component import ComponentContext
from rookbend.net.scheduling import JobRunner
from rookbend.settings import Check

# Kinds of background work. A Watch runs for long, so it has a budget of its own.
CHECK = "check"
WATCH = "watch"
JITTER_DIVISOR = 20  # each run is shifted by up to this part of the interval, to either side, so that runs spread out

# Kind of work, member's number, check's name. A plain tuple: the jitter of a key depends on its `repr`.
CheckKey = tuple[str, int, str]


def kind_of(check: Check) -> str:
    """The kind of background work of a check."""
    return WATCH if check.type == "grpc-watch" else CHECK


def _always_assigned(server: int, interval_us: int) -> CheckAssignment:
    return CheckAssignment(is_assigned=True, min_interval_us=0)


class CheckDriver:
    """Keeps one job in the scheduler for each check of each member, and runs it.

    `assign(server, interval_us)` decides whether this director checks a member; `on_result(server)` is called after
    each result. Both are replaced if checks are shared among directors.
    """

    def __init__(self, context: ComponentContext, health: HealthService, runner: JobRunner, checks: tuple[Check, ...]):
        self.assign: Callable[[int, int], CheckAssignment] = _always_assigned
        self.on_result: Callable[[int], None] = lambda server: None
        self._health = health
        self._runner = runner
        self._scheduler = runner.scheduler
        self._clock = context.clock
        self._containment = context.containment
        self._checks = {check.name: check for check in checks}
        self._watch_unsupported: set[CheckKey] = set()  # checks whose servers do not implement Watch
        runner.handlers[CHECK] = self._run
        runner.handlers[WATCH] = self._run
        health.on_members = self.members_changed

    def members_changed(self, added: list[int], removed: list[int]) -> None:
        """Starts the checks of new members and ends those of members that have left."""
        now_us = self._clock.now()
        for server in removed:
            for check in self._checks.values():
                self._cancel(server, check)
        for server in added:
            for policy in policies_of(self._health.registry.members.get(server)):
                # Spread over an interval, since one event may add many members.
                key = (kind_of(self._checks[policy.name]), server, policy.name)
                self._schedule(key, now_us + self._scheduler.jitter(key, policy.interval_us))
        if added or removed:
            self._runner.wake()

    def replace(self, checks: tuple[Check, ...]) -> None:
        """Applies new settings, which the registry already has; results of removed checks are ignored."""
        previous = self._checks
        self._checks = {check.name: check for check in checks}
        for name, check in previous.items():
            if self._checks.get(name) == check:
                self._checks[name] = check  # unchanged: the results of its runs still count
                continue
            for server in self._health.registry.members:
                self._cancel(server, check)
        self.members_changed(list(self._health.registry.members), [])

    def _cancel(self, server: int, check: Check) -> None:
        key = (kind_of(check), server, check.name)
        self._scheduler.cancel(key)
        self._watch_unsupported.discard(key)

    def _schedule(self, key: CheckKey, due_us: int) -> None:
        kind, server, name = key
        cadence = cadence_of(self._health.registry.members.get(server), name)
        if cadence is not None:
            self._scheduler.schedule(key, due_us, cadence.priority, kind)

    async def _run(self, key: CheckKey) -> None:
        kind, server, name = key
        check = self._checks.get(name)
        member = self._health.registry.members.get(server)
        if check is None or member is None:
            return
        assignment = self.assign(server, check.interval_us)
        if not assignment.is_assigned:
            self._schedule(key, self._clock.now() + assignment.min_interval_us)
            return
        member_address = member.endpoint.address
        started_us = self._clock.now()
        number = self._health.registry.begin_check()

        def report(result: CheckReport) -> None:
            self._report(server, name, number, result)

        def interval_us() -> int:
            return self._interval_us(server, check, member_address)

        host, member_port = member_address
        address = (host, check.port or member_port)
        watch = kind == WATCH and key not in self._watch_unsupported
        # A run that fails because of a bug in the director has no result; the next run is scheduled as usual.
        with self._containment.contain("checks", check=name, address=host):
            try:
                check_run = CheckRun(check, address, self._clock, watch, report, interval_us)
                report(await check_run.run(started_us))
            except WatchUnsupportedError:
                self._watch_unsupported.add(key)  # the Check method is called from now on
        if self._checks.get(name) is check:
            next_interval_us = max(interval_us() or check.interval_us, assignment.min_interval_us)
            self._schedule(key, self._next_run_us(key, number, started_us, next_interval_us))

    def _report(self, server: int, name: str, number: int, result: CheckReport) -> None:
        if isinstance(result, AgentReport):
            self._health.feed(AgentReported(server, name, number, result))
        else:
            self._health.feed(CheckCompleted(server, name, number, result.outcome, result.reason))
        self.on_result(server)

    def _interval_us(self, server: int, check: Check, address: tuple[str, int]) -> int:
        """The time to the next run; 0 if the check or the member was removed, or the member has another address."""
        member = self._health.registry.members.get(server)
        cadence = cadence_of(member, check.name)
        if member is None or cadence is None:
            return 0
        if self._checks.get(check.name) is not check or member.endpoint.address != address:
            return 0
        return cadence.interval_us

    def _next_run_us(self, key: CheckKey, number: int, started_us: int, interval_us: int) -> int:
        half_width_us = interval_us // JITTER_DIVISOR
        jitter_us = self._scheduler.jitter((key, number), interval_us // (JITTER_DIVISOR // 2))
        return max(self._clock.now(), started_us + interval_us - half_width_us + jitter_us)
