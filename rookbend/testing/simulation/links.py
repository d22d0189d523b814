"""A link that is shared by transfers, and copies that expire after their last use, in simulated time."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.testing.shared_link import SharedLink
from rookbend.testing.simulation.clock import EPOCH, Simulation


class SimulatedLink:
    """The outbound link of a member, or the link into a location.

    Its capacity is a number of transfers at the full rate; the size of a transfer is its seconds at that rate.
    """

    def __init__(self, sim: Simulation, links: float):
        self.sim, self.shared_link, self.callbacks = sim, SharedLink(links), {}
        self.next_end_s = 0.0

    def send(self, key, work_s: float, rate_limit: float, on_finished: Callable[[], None]) -> None:
        self.callbacks[key] = on_finished
        self._transfers_ended(self.shared_link.start(key, work_s, rate_limit, self.sim.time / 1e6))

    def cancel(self, key) -> None:
        if self.callbacks.pop(key, None) is not None:
            self._transfers_ended(self.shared_link.cancel(key, self.sim.time / 1e6))

    def _transfers_ended(self, keys) -> None:
        next_end_s = self.shared_link.next_end()
        if next_end_s != self.next_end_s and next_end_s != float("inf"):
            self.next_end_s = next_end_s
            self.sim.at(EPOCH + int(next_end_s * 1e6) + 1, self._advance, next_end_s)
        for key in keys:
            if (on_finished := self.callbacks.pop(key, None)) is not None:
                on_finished()

    def _advance(self, next_end_s: float) -> None:
        if next_end_s == self.next_end_s:
            self.next_end_s = 0.0
            self._transfers_ended(self.shared_link.advance(self.sim.time / 1e6))


class RetainedCopies:
    """Copies that expire `retention_us` after their last use; long expired ones are removed when a copy is added."""

    def __init__(self, sim: Simulation, retention_us: int):
        self.sim, self.retention_us, self.last_used_us = sim, retention_us, {}

    def look_up(self, key) -> bool:
        last = self.last_used_us.get(key)
        if last is None or self.sim.now - last > self.retention_us:
            return False
        self.last_used_us[key] = self.sim.now
        return True

    def put(self, key) -> None:
        self.last_used_us.pop(key, None)
        self.last_used_us[key] = self.sim.now
        while (
            self.last_used_us
            and self.sim.now - self.last_used_us[first := next(iter(self.last_used_us))] > 4 * self.retention_us
        ):
            del self.last_used_us[first]
