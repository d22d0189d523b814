"""Simulated time: a schedule of calls, and a clock for engines."""

from __future__ import annotations

import heapq
from collections.abc import Callable

EPOCH = 1_764_576_000 * 1_000_000


class Simulation:
    """A schedule of calls by time in microseconds; calls for the same time run in the order of scheduling."""

    def __init__(self):
        self._now, self._scheduled, self._heap = EPOCH, 0, []

    @property
    def time(self) -> int:
        """Microseconds since the start of the simulation."""
        return self._now - EPOCH

    @property
    def now(self) -> int:
        return self._now

    def at(self, at_us: int, call: Callable, *args) -> None:
        self._scheduled += 1
        heapq.heappush(self._heap, (max(at_us, self._now), self._scheduled, call, args))

    def after(self, delay_s: float, call: Callable, *args) -> None:
        self.at(self._now + int(delay_s * 1e6), call, *args)

    def run(self, until_us: int) -> None:
        """Runs the calls that are due up to `until_us` microseconds after the start of the simulation."""
        end_us = EPOCH + until_us
        heap = self._heap
        while heap and heap[0][0] <= end_us:
            self._now, _, call, args = heapq.heappop(heap)
            call(*args)
        self._now = end_us


class SimClock:
    """The clock interface of `Engine`, with simulated time."""

    def __init__(self, sim: Simulation):
        self.sim = sim

    def now(self) -> int:
        return self.sim.now
