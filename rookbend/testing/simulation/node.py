"""A director of a simulated fleet: the program's engine and module, over a backend without sockets."""

from __future__ import annotations

from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.core.model import Attempt, AttemptResult, Endpoint
from rookbend.interface import AttemptStatus
from rookbend.testing.simulation.cache import Job
from rookbend.testing.simulation.clock import SimClock


class Node:
    """A director: its engine, and the backend that the engine sends by."""

    def __init__(self, fleet, number: int, zone: int):
        self.fleet, self.sim, self.zone = fleet, fleet.sim, zone
        settings = fleet.world.settings(number, zone)
        self.router = fleet.make(settings, fleet.seed * 1_000_003 + number)
        self.engine = Engine(settings, self.router, SimClock(self.sim), Counters(), lambda *a, **k: None)
        self.engine.backend = self
        self.engine.timers.on_earlier_due = self._arm
        self._armed = 0

    def _arm(self, due: int) -> None:
        if not self._armed or due < self._armed:
            self._armed = due
            self.sim.at(due, self._run, due)

    def _run(self, due: int) -> None:
        if due == self._armed:
            self._armed = 0
            following = self.engine.run_due()
            if following:
                self._arm(following)

    def send(self, attempt: Attempt, entry: Endpoint) -> None:
        kind, work_s = self.fleet.work_of(attempt.request)
        job = Job(attempt, kind, work_s, lambda result: self._ended(job, result))
        attempt.connection = job
        if self.engine.may_write(attempt):
            self.fleet.note("attempts")
            self.sim.after(self.fleet.world.way_s, self.fleet.boxes[attempt.server].take, job)
        else:
            self.sim.after(0.0, self._ended, job, AttemptResult(AttemptStatus.CONNECT_FAILED))

    def _ended(self, job: Job, result: AttemptResult) -> None:
        if not job.attempt.is_finished:
            self.fleet.note(result.status.name.lower(), result.detail.name.lower())
            self.engine.finished(job.attempt, result)

    def abort(self, attempt: Attempt) -> AttemptStatus:
        self.fleet.note("undone")
        self.sim.after(self.fleet.world.way_s, self.fleet.boxes[attempt.server].give_up, attempt.connection)
        return AttemptStatus.TIMEOUT

    def is_fully_sent(self, attempt: Attempt) -> bool:
        return True  # what is sent is on its way at once

    def disconnect(self, server: int) -> None:
        pass  # attempts that are out end by themselves

    def close_idle(self, server: int) -> None:
        pass  # connections are not modelled
