"""A director of a simulated fleet: the program's engine and router, with a backend that has no sockets."""

from __future__ import annotations

from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.core.model import Attempt, AttemptResult, Endpoint
from rookbend.interface import AttemptStatus
from rookbend.testing.simulation.cache import Job
from rookbend.testing.simulation.clock import SimClock


class Node:
    """A director: its engine, and the backend through which the engine sends attempts."""

    def __init__(self, fleet, number: int, zone: int):
        self.fleet, self.sim, self.zone = fleet, fleet.sim, zone
        settings = fleet.deployment.settings(number, zone)
        self.router = fleet.make_router(settings, fleet.seed * 1_000_003 + number)
        self.engine = Engine(settings, self.router, SimClock(self.sim), Counters(), lambda *a, **k: None)
        self.engine.backend = self
        self.engine.timers.on_earlier_due = self._schedule_run
        self._scheduled_us = 0

    def _schedule_run(self, due: int) -> None:
        if not self._scheduled_us or due < self._scheduled_us:
            self._scheduled_us = due
            self.sim.at(due, self._run, due)

    def _run(self, due: int) -> None:
        if due == self._scheduled_us:
            self._scheduled_us = 0
            following = self.engine.run_due()
            if following:
                self._schedule_run(following)

    def send(self, attempt: Attempt, entry: Endpoint) -> None:
        profile, work_s = self.fleet.work_of(attempt.request)
        job = Job(attempt, profile, work_s, lambda result: self._attempt_finished(job, result))
        attempt.connection = job
        if self.engine.may_write(attempt):
            self.fleet.count("attempts")
            self.sim.after(self.fleet.deployment.cache_delay_s, self.fleet.members[attempt.server].submit, job)
        else:
            self.sim.after(0.0, self._attempt_finished, job, AttemptResult(AttemptStatus.CONNECT_FAILED))

    def _attempt_finished(self, job: Job, result: AttemptResult) -> None:
        if not job.attempt.is_finished:
            self.fleet.count(result.status.name.lower(), result.detail.name.lower())
            self.engine.finished(job.attempt, result)

    def abort(self, attempt: Attempt) -> AttemptStatus:
        self.fleet.count("undone")
        self.sim.after(
            self.fleet.deployment.cache_delay_s, self.fleet.members[attempt.server].cancel, attempt.connection
        )
        return AttemptStatus.TIMEOUT

    def is_fully_sent(self, attempt: Attempt) -> bool:
        return True  # an attempt is on the wire as soon as it is sent

    def disconnect(self, server: int) -> None:
        pass  # attempts in flight end by themselves

    def withhold_unsent(self) -> None:
        pass  # an attempt is on the wire as soon as it is sent

    def rewrite_unsent(self) -> None:
        pass  # an attempt is on the wire as soon as it is sent

    def close_idle(self, server: int) -> None:
        pass  # connections are not modelled
