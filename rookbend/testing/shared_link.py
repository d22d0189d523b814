"""A link that its transfers share, in time of the world. Pure.

All transfers get an equal share of the link, none more than its own most; what those leave goes to the
others (max-min fairness). Work is counted by how far a transfer with an unbounded share would have come
(virtual time), so that an arrival or an end costs a logarithm, not a look at every transfer, while all
transfers have one most; mixed mosts are handled by classes, one for each most there is.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable

EPSILON = 1e-9


class _Class:
    """Transfers of one most: they move alike, so the first to end is known by a heap."""

    __slots__ = ("count", "done", "ends", "most", "rate")

    def __init__(self, most: float):
        self.most, self.rate, self.done, self.count = most, 0.0, 0.0, 0
        self.ends: list[tuple[float, int, Hashable]] = []  # (bytes of `done` at its end, number, key)


class Link:
    """`capacity` is bytes a second; times are seconds. Drive it by `begin`, `advance` and `next_end`."""

    def __init__(self, capacity: float):
        self.capacity, self.now = capacity, 0.0
        self.classes: dict[float, _Class] = {}
        self.open: dict[Hashable, tuple[_Class, int]] = {}
        self.carried = 0.0
        self._number = 0

    def __len__(self) -> int:
        return len(self.open)

    @property
    def fullness(self) -> float:
        """What is carried now, as a share of the capacity."""
        return sum(c.rate * c.count for c in self.classes.values()) / self.capacity if self.capacity else 1.0

    def set_capacity(self, capacity: float, now: float) -> list[Hashable]:
        ended = self.advance(now)
        self.capacity = capacity
        self._share()
        return ended

    def begin(self, key: Hashable, size: float, most: float, now: float) -> list[Hashable]:
        """A transfer of so many bytes begins; what has ended until now."""
        ended = self.advance(now)
        cls = self.classes.setdefault(most, _Class(most))
        self._number += 1
        heapq.heappush(cls.ends, (cls.done + size, self._number, key))
        cls.count += 1
        self.open[key] = cls, self._number
        self._share()
        return ended

    def abort(self, key: Hashable, now: float) -> list[Hashable]:
        """A transfer is given up; what has ended until now (it may be among them)."""
        ended = self.advance(now)
        held = self.open.pop(key, None)
        if held is not None:
            held[0].count -= 1
            self._share()
        return ended

    def next_end(self) -> float:
        """When the next transfer ends if nothing else changes; infinity where none does."""
        best = float("inf")
        for cls in self.classes.values():
            self._tidy(cls)
            if cls.ends and cls.rate > 0:
                best = min(best, self.now + max(0.0, cls.ends[0][0] - cls.done) / cls.rate)
        return best

    def advance(self, now: float) -> list[Hashable]:
        """Goes on to a time; the transfers that ended on the way, in order."""
        ended = []
        while (due := self.next_end()) <= now:
            self._move(due)
            for cls in list(self.classes.values()):
                while cls.ends and cls.ends[0][0] <= cls.done + EPSILON * max(1.0, cls.done):
                    _, number, key = heapq.heappop(cls.ends)
                    if self.open.get(key) == (cls, number):
                        del self.open[key]
                        cls.count -= 1
                        ended.append(key)
            self._share()
        self._move(now)
        return ended

    def _move(self, now: float) -> None:
        span = max(0.0, now - self.now)
        for cls in self.classes.values():
            cls.done += cls.rate * span
            self.carried += cls.rate * cls.count * span
        self.now = max(self.now, now)

    def _tidy(self, cls: _Class) -> None:
        while cls.ends and self.open.get(cls.ends[0][2]) != (cls, cls.ends[0][1]):
            heapq.heappop(cls.ends)

    def _share(self) -> None:
        """Max-min: the least most first; what a class can't use is left to those after it."""
        left, count = self.capacity, len(self.open)
        for most in sorted(self.classes):
            cls = self.classes[most]
            if not cls.count:
                del self.classes[most]
                continue
            cls.rate = min(most, left / count)
            left -= cls.rate * cls.count
            count -= cls.count
