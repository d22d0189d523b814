"""A model of a cache: slots, a queue, copies that expire after their last use, and an outbound link.

A request holds its slot until its last byte is sent, also during its fill, so slow fills fill the queues of caches that
are healthy themselves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from rookbend.core.model import Attempt, AttemptResult
from rookbend.interface import AttemptDetail, AttemptStatus
from rookbend.testing.simulation.clock import Simulation
from rookbend.testing.simulation.links import RetainedCopies, SimulatedLink
from rookbend.testing.simulation.sources import Call, Parent

OnFinished = Callable[[AttemptResult], None]


class Job:
    """An attempt at a cache."""

    __slots__ = ("attempt", "call", "fill_retries", "is_closed", "is_started", "on_finished", "profile", "work_s")

    def __init__(self, attempt: Attempt, profile, work_s: float, on_finished: OnFinished):
        self.attempt, self.profile, self.work_s, self.on_finished = attempt, profile, work_s, on_finished
        self.call: Call | None = None
        self.is_started, self.is_closed, self.fill_retries = False, False, 0


class Cache:
    def __init__(self, sim: Simulation, deployment, location_link: SimulatedLink, sources: dict, retention_us: int):
        self.sim, self.deployment, self.location_link, self.sources = sim, deployment, location_link, sources
        self.link, self.copies = SimulatedLink(sim, deployment.cache_links), RetainedCopies(sim, retention_us)
        self.slots = int(deployment.slots_per_link * deployment.cache_links)
        self.queue_limit = int(deployment.queue_per_link * deployment.cache_links)
        self.active: set[Job] = set()
        self.queue: deque[Job] = deque()

    def submit(self, job: Job) -> None:
        if job.is_closed:
            return
        if len(self.active) < self.slots:
            self._start(job)
        elif len(self.queue) < self.queue_limit:
            self.queue.append(job)
        else:
            self._finish(job, AttemptStatus.FULL, AttemptDetail.NONE)

    def _start(self, job: Job) -> None:
        self.active.add(job)
        job.is_started = True
        key = job.attempt.request.object_id, job.attempt.request.part
        if job.profile.traffic_class.is_write:
            return self._request_fill(job)
        if self.copies.look_up(key):
            self.link.send(job, job.work_s, 1.0, lambda: self._finish(job, AttemptStatus.OK, AttemptDetail.HIT))
        elif not job.attempt.source:
            self._finish(job, AttemptStatus.MISS, AttemptDetail.NONE)
        else:
            self._request_fill(job)

    def _request_fill(self, job: Job) -> None:
        a = job.attempt

        def answer(status: AttemptStatus, detail: AttemptDetail) -> None:
            self._fill_answered(job, call, status, detail)

        key = a.request.object_id, a.request.part
        job.call = call = Call(key, job.work_s, answer, job.profile.traffic_class.is_write, a.only_if_cached)
        self.sim.after(self.deployment.source_delay_s, self.sources[a.source].request, call, self.location_link)
        if not job.profile.traffic_class.is_write:  # a write is not retried
            self.sim.after(self.deployment.fill_timeout_s, self._fill_timed_out, job, call)

    def _fill_timed_out(self, job: Job, call: Call) -> None:
        if not job.is_closed and job.call is call and not call.is_closed:
            self._cancel_fill(job)
            self._retry_fill(job, AttemptStatus.ERROR, AttemptDetail.SOURCE_UNREACHABLE)

    def _retry_fill(self, job: Job, status: AttemptStatus, detail: AttemptDetail) -> None:
        job.fill_retries += 1
        if (
            job.fill_retries <= self.deployment.fill_retries
            and status is not AttemptStatus.MISS
            and not job.profile.traffic_class.is_write
        ):
            self._request_fill(job)
        else:
            self._finish(job, status, detail)

    def _fill_answered(self, job: Job, call: Call, status: AttemptStatus, detail: AttemptDetail) -> None:
        if call.is_closed:
            return
        call.is_closed = True
        if status is AttemptStatus.OK and not job.profile.traffic_class.is_write:
            self.copies.put(call.key)
        if job.is_closed:
            return
        if status is AttemptStatus.OK:
            self._finish(
                job, AttemptStatus.OK, detail if not job.profile.traffic_class.is_write else AttemptDetail.NONE
            )
        else:
            self._retry_fill(job, status, detail)

    def _cancel_fill(self, job: Job) -> None:
        """Cancels the fill in progress of a job.

        If the client has cancelled the job, the fill runs on unless the deployment has `aborts_fills`.
        """
        call = job.call
        if call is not None and not call.is_closed and (self.deployment.aborts_fills or not job.is_closed):
            call.is_closed = True
            source = self.sources[job.attempt.source]
            if isinstance(source, Parent):
                source.cancel(call, self.location_link)

    def cancel(self, job: Job) -> None:
        if job.is_closed:
            return
        job.is_closed = True
        self.link.cancel(job)
        self._cancel_fill(job)
        self._release_slot(job)

    def _finish(self, job: Job, status: AttemptStatus, detail: AttemptDetail) -> None:
        if job.is_closed:
            return
        job.is_closed = True
        self._release_slot(job)
        self.sim.after(self.deployment.cache_delay_s, job.on_finished, AttemptResult(status, detail))

    def _release_slot(self, job: Job) -> None:
        self.active.discard(job)
        if not job.is_started and job in self.queue:
            self.queue.remove(job)
        while self.queue and len(self.active) < self.slots:
            self._start(self.queue.popleft())
