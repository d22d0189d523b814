"""The driver of background work: runs the jobs started by the scheduler."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from rookbend.core.clock import Clock
from rookbend.scheduling import Scheduler, StartedJob

JobHandler = Callable[[Any], Awaitable[None]]  # called with the job's key


class JobRunner:
    """Runs each job with the handler of its kind, which is the first item of its key.

    A handler schedules its job again if the job has to be repeated. An exception raised by a handler is a bug: it
    cancels the other jobs and ends `run`.
    """

    def __init__(self, scheduler: Scheduler, clock: Clock):
        self.scheduler = scheduler
        self.handlers: dict[str, JobHandler] = {}
        self._clock = clock
        self._woken = trio.Event()
        self._wake_at_us = 0  # when the loop next wakes without `wake`; 0 if it does not

    def wake(self) -> None:
        """Must be called after a job was scheduled or the priority limit was changed."""
        # Wakes the loop only if a due job waits or the loop has to run earlier than planned: waking it at the end of
        # each job would cost more than some of the jobs.
        next_us = self.scheduler.next_start_us(self._clock.now())
        is_earlier = next_us and (not self._wake_at_us or next_us < self._wake_at_us)
        if self.scheduler.has_waiting or is_earlier:
            self._woken.set()

    async def run(self) -> None:
        """Starts jobs until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                now_us = self._clock.now()
                for started in self.scheduler.start_due(now_us):
                    nursery.start_soon(self._run_job, started)
                self._woken = trio.Event()
                self._wake_at_us = self.scheduler.next_start_us(now_us)
                with trio.CancelScope() as scope:
                    if self._wake_at_us:
                        scope.deadline = self._clock.monotonic_at(self._wake_at_us)
                    await self._woken.wait()

    async def _run_job(self, started: StartedJob) -> None:
        key: Any = started.key
        try:
            await self.handlers[key[0]](key)
        finally:
            self.scheduler.ended(started.sequence)
            self.wake()
