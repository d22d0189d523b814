"""A link that transfers share, and copies that are kept for a time, in simulated time."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.testing.shared_link import SharedLink
from rookbend.testing.simulation.clock import EPOCH, Simulation


class Pipe:
    """A link out (or into a location), in transfers at full pace; work is seconds of one such transfer."""

    def __init__(self, sim: Simulation, links: float):
        self.sim, self.link, self.ends = sim, SharedLink(links), {}
        self.due = 0.0

    def send(self, key, work_s: float, most: float, ended: Callable[[], None]) -> None:
        self.ends[key] = ended
        self._gone(self.link.start(key, work_s, most, self.sim.time / 1e6))

    def abort(self, key) -> None:
        if self.ends.pop(key, None) is not None:
            self._gone(self.link.cancel(key, self.sim.time / 1e6))

    def _gone(self, keys) -> None:
        due = self.link.next_end()
        if due != self.due and due != float("inf"):
            self.due = due
            self.sim.at(EPOCH + int(due * 1e6) + 1, self._look, due)
        for key in keys:
            if (ended := self.ends.pop(key, None)) is not None:
                ended()

    def _look(self, due: float) -> None:
        if due == self.due:
            self.due = 0.0
            self._gone(self.link.advance(self.sim.time / 1e6))


class Kept:
    """Copies, each kept for `keep_us` after its last use. Those long gone are dropped as it grows."""

    def __init__(self, sim: Simulation, keep_us: int):
        self.sim, self.keep_us, self.used = sim, keep_us, {}

    def use(self, key) -> bool:
        last = self.used.get(key)
        if last is None or self.sim.now - last > self.keep_us:
            return False
        self.used[key] = self.sim.now
        return True

    def put(self, key) -> None:
        self.used.pop(key, None)
        self.used[key] = self.sim.now
        while self.used and self.sim.now - self.used[first := next(iter(self.used))] > 4 * self.keep_us:
            del self.used[first]
