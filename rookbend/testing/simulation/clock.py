"""Simulated time: what is due, in order, and a clock that engines read."""

from __future__ import annotations

import heapq
from collections.abc import Callable

EPOCH = 1_764_576_000 * 1_000_000


class Simulation:
    """Microseconds. Whatever is due at the same moment runs in the order in which it was asked for."""

    def __init__(self):
        self._now, self._scheduled, self._heap = EPOCH, 0, []

    @property
    def time(self) -> int:
        """Microseconds since the beginning."""
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
        """Up to that many microseconds since the beginning."""
        end_us = EPOCH + until_us
        heap = self._heap
        while heap and heap[0][0] <= end_us:
            self._now, _, call, args = heapq.heappop(heap)
            call(*args)
        self._now = end_us


class SimClock:
    """What `Engine` asks of a clock."""

    def __init__(self, sim: Simulation):
        self.sim = sim

    def now(self) -> int:
        return self.sim.now
