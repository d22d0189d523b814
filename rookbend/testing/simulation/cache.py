"""A cache: slots, a queue, copies kept for a time after their last use, a link out.

A request holds its slot until its last byte, also while its fill is on the way, so slow fills fill the queues
of caches that are themselves well.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from rookbend.core.model import Attempt, AttemptResult
from rookbend.interface import AttemptDetail, AttemptStatus
from rookbend.testing.simulation.clock import Simulation
from rookbend.testing.simulation.links import Kept, Pipe
from rookbend.testing.simulation.sources import Call, Parent

Ended = Callable[[AttemptResult], None]


class Job:
    """An attempt at a cache."""

    __slots__ = ("attempt", "began", "call", "ended", "kind", "over", "retried", "work_s")

    def __init__(self, attempt: Attempt, kind, work_s: float, ended: Ended):
        self.attempt, self.kind, self.work_s, self.ended = attempt, kind, work_s, ended
        self.call: Call | None = None
        self.began, self.over, self.retried = False, False, 0


class Cache:
    def __init__(self, sim: Simulation, world, place: Pipe, sources: dict, keep_us: int):
        self.sim, self.world, self.place, self.sources = sim, world, place, sources
        self.pipe, self.kept = Pipe(sim, world.cache_links), Kept(sim, keep_us)
        self.slots = int(world.slots_per_link * world.cache_links)
        self.room = int(world.queue_per_link * world.cache_links)
        self.working: set[Job] = set()
        self.queue: deque[Job] = deque()

    def take(self, job: Job) -> None:
        if job.over:
            return
        if len(self.working) < self.slots:
            self._begin(job)
        elif len(self.queue) < self.room:
            self.queue.append(job)
        else:
            self._end(job, AttemptStatus.FULL, AttemptDetail.NONE)

    def _begin(self, job: Job) -> None:
        self.working.add(job)
        job.began = True
        key = job.attempt.request.object_id, job.attempt.request.part
        if job.kind.cls.is_write:
            return self._ask(job)
        if self.kept.use(key):
            self.pipe.send(job, job.work_s, 1.0, lambda: self._end(job, AttemptStatus.OK, AttemptDetail.HIT))
        elif not job.attempt.source:
            self._end(job, AttemptStatus.MISS, AttemptDetail.NONE)
        else:
            self._ask(job)

    def _ask(self, job: Job) -> None:
        a = job.attempt

        def answer(status: AttemptStatus, note: AttemptDetail) -> None:
            self._got(job, call, status, note)

        key = a.request.object_id, a.request.part
        job.call = call = Call(key, job.work_s, answer, job.kind.cls.is_write, a.only_if_cached)
        self.sim.after(self.world.far_s, self.sources[a.source].ask, call, self.place)
        if not job.kind.cls.is_write:  # a write is not asked for twice
            self.sim.after(self.world.fill_timeout_s, self._late, job, call)

    def _late(self, job: Job, call: Call) -> None:
        if not job.over and job.call is call and not call.over:
            self._leave(job)
            self._again(job, AttemptStatus.ERROR, AttemptDetail.SOURCE_UNREACHABLE)

    def _again(self, job: Job, status: AttemptStatus, note: AttemptDetail) -> None:
        job.retried += 1
        if job.retried <= self.world.fill_retries and status is not AttemptStatus.MISS and not job.kind.cls.is_write:
            self._ask(job)
        else:
            self._end(job, status, note)

    def _got(self, job: Job, call: Call, status: AttemptStatus, note: AttemptDetail) -> None:
        if call.over:
            return
        call.over = True
        if status is AttemptStatus.OK and not job.kind.cls.is_write:
            self.kept.put(call.key)
        if job.over:
            return
        if status is AttemptStatus.OK:
            self._end(job, AttemptStatus.OK, note if not job.kind.cls.is_write else AttemptDetail.NONE)
        else:
            self._again(job, status, note)

    def _leave(self, job: Job) -> None:
        """The fill under way is given up where fills end with who asked; else it runs on."""
        call = job.call
        if call is not None and not call.over and (self.world.aborts or not job.over):
            call.over = True
            source = self.sources[job.attempt.source]
            if isinstance(source, Parent):
                source.leave(call, self.place)

    def give_up(self, job: Job) -> None:
        if job.over:
            return
        job.over = True
        self.pipe.abort(job)
        self._leave(job)
        self._free(job)

    def _end(self, job: Job, status: AttemptStatus, note: AttemptDetail) -> None:
        if job.over:
            return
        job.over = True
        self._free(job)
        self.sim.after(self.world.way_s, job.ended, AttemptResult(status, note))

    def _free(self, job: Job) -> None:
        self.working.discard(job)
        if not job.began and job in self.queue:
            self.queue.remove(job)
        while self.queue and len(self.working) < self.slots:
            self._begin(self.queue.popleft())
