"""The driver of the spare capacity: samples the director's load periodically."""

from __future__ import annotations

from collections.abc import Callable

import trio

from rookbend.core.clock import Clock
from rookbend.health.spare_capacity import CapacitySample, SpareCapacity
from rookbend.net.component import Component

SAMPLE_INTERVAL_US = 250_000


class CapacitySampler(Component):
    """Calls each function of `on_change` when the weight or the up state has changed, and when the drain begins."""

    def __init__(self, capacity: SpareCapacity, sample: Callable[[], CapacitySample], clock: Clock):
        self.on_change: list[Callable[[], None]] = []
        self._capacity = capacity
        self._sample = sample
        self._clock = clock

    def start(self, nursery: trio.Nursery) -> None:
        """Starts sampling."""
        nursery.start_soon(self._run)

    def drain(self, by_us: int) -> None:
        """Notifies of the new lifecycle phase, which is part of the status."""
        self._notify()

    async def _run(self) -> None:
        while True:
            before = (self._capacity.up, self._capacity.weight)
            self._capacity.measure(self._clock.now(), self._sample())
            if (self._capacity.up, self._capacity.weight) != before:
                self._notify()
            await trio.sleep_until(self._clock.monotonic_at(self._clock.now() + SAMPLE_INTERVAL_US))

    def _notify(self) -> None:
        for callback in self.on_change:
            callback()
