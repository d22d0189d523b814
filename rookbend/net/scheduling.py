"""The driver of background work: starts what the plan says, when it says so."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from rookbend.core.clock import Clock
from rookbend.scheduling.scheduler import Key, Plan


class Runner:
    """A job's key is (kind, ...); `work[kind]` runs it, given the key. A job is put into the plan again by
    whoever wants it again. Work that raises is a fault of the program."""

    def __init__(self, plan: Plan, clock: Clock):
        self.plan, self.clock = plan, clock
        self.work: dict[str, Callable[[Key], Awaitable[None]]] = {}
        self._woken = trio.Event()
        self._armed_us = 0

    def wake(self) -> None:
        """The plan has changed. The loop is woken only if that brings its next turn forward: with each job
        that ends, it would cost more than some jobs do."""
        due = self.plan.due(self.clock.now())
        if self.plan.waiting or (due and (not self._armed_us or due < self._armed_us)):
            self._woken.set()

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                now = self.clock.now()
                for key, number in self.plan.take(now):
                    nursery.start_soon(self._one, key, number)
                self._woken = trio.Event()
                due = self._armed_us = self.plan.due(now)
                with trio.CancelScope() as scope:
                    if due:
                        scope.deadline = self.clock.monotonic_at(due)
                    await self._woken.wait()

    async def _one(self, key: Key, number: int) -> None:
        try:
            await self.work[key[0]](key)
        finally:
            self.plan.done(number)
            self.wake()
