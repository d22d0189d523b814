"""A model of a link whose transfers share its capacity with max-min fairness.

Each transfer gets an equal share of the link but at most its rate limit; the rest goes to the other transfers. The
model keeps one progress value for each rate limit (virtual time): the bytes that a transfer with that limit would have
carried since the start. A start or an end of a transfer therefore takes logarithmic time.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable

_EPSILON = 1e-9


class RateClass:
    """The transfers with the same rate limit; they progress equally, so a heap gives the next one to end."""

    __slots__ = ("count", "ends", "progress", "rate", "rate_limit")

    def __init__(self, rate_limit: float) -> None:
        self.rate_limit = rate_limit
        self.rate = 0.0  # current rate of each transfer
        self.progress = 0.0
        self.count = 0
        self.ends: list[tuple[float, int, Hashable]] = []  # progress at the end, transfer number, key


class SharedLink:
    """A link with `capacity` in bytes per second and times in seconds.

    The caller drives it with `start`, `advance` and `next_end`.
    """

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.now = 0.0
        self.rate_classes: dict[float, RateClass] = {}  # by rate limit
        self.transfers: dict[Hashable, tuple[RateClass, int]] = {}  # class and number, by key
        self.carried = 0.0  # bytes
        self._last_number = 0

    def __len__(self) -> int:
        return len(self.transfers)

    @property
    def utilization(self) -> float:
        """The current total rate in proportion to the capacity."""
        if not self.capacity:
            return 1.0
        return sum(rate_class.rate * rate_class.count for rate_class in self.rate_classes.values()) / self.capacity

    def set_capacity(self, capacity: float, now: float) -> list[Hashable]:
        """Changes the capacity; returns the keys of the transfers that have ended by `now`."""
        ended = self.advance(now)
        self.capacity = capacity
        self._share_capacity()
        return ended

    def start(self, key: Hashable, size: float, rate_limit: float, now: float) -> list[Hashable]:
        """Starts a transfer of `size` bytes; returns the keys of the transfers that have ended by `now`."""
        ended = self.advance(now)
        rate_class = self.rate_classes.setdefault(rate_limit, RateClass(rate_limit))
        self._last_number += 1
        heapq.heappush(rate_class.ends, (rate_class.progress + size, self._last_number, key))
        rate_class.count += 1
        self.transfers[key] = rate_class, self._last_number
        self._share_capacity()
        return ended

    def cancel(self, key: Hashable, now: float) -> list[Hashable]:
        """Cancels a transfer; returns the keys of those that have ended by `now`, which may include it."""
        ended = self.advance(now)
        transfer = self.transfers.pop(key, None)
        if transfer is not None:
            rate_class, _ = transfer
            rate_class.count -= 1
            self._share_capacity()
        return ended

    def next_end(self) -> float:
        """Returns when the next transfer ends if nothing else changes, or infinity if none does."""
        earliest = float("inf")
        for rate_class in self.rate_classes.values():
            self._drop_cancelled(rate_class)
            if rate_class.ends and rate_class.rate > 0:
                left = max(0.0, rate_class.ends[0][0] - rate_class.progress)
                earliest = min(earliest, self.now + left / rate_class.rate)
        return earliest

    def advance(self, now: float) -> list[Hashable]:
        """Advances to `now`; returns the keys of the transfers that have ended, in order."""
        ended: list[Hashable] = []
        while (end := self.next_end()) <= now:
            self._move(end)
            for rate_class in list(self.rate_classes.values()):
                ended += self._pop_ended(rate_class)
            self._share_capacity()
        self._move(now)
        return ended

    def _pop_ended(self, rate_class: RateClass) -> list[Hashable]:
        ended = []
        reached = rate_class.progress + _EPSILON * max(1.0, rate_class.progress)
        while rate_class.ends and rate_class.ends[0][0] <= reached:
            _, number, key = heapq.heappop(rate_class.ends)
            if self.transfers.get(key) == (rate_class, number):
                del self.transfers[key]
                rate_class.count -= 1
                ended.append(key)
        return ended

    def _move(self, now: float) -> None:
        span = max(0.0, now - self.now)
        for rate_class in self.rate_classes.values():
            rate_class.progress += rate_class.rate * span
            self.carried += rate_class.rate * rate_class.count * span
        self.now = max(self.now, now)

    def _drop_cancelled(self, rate_class: RateClass) -> None:
        ends = rate_class.ends
        while ends and self.transfers.get(ends[0][2]) != (rate_class, ends[0][1]):
            heapq.heappop(ends)

    def _share_capacity(self) -> None:
        """Assigns the max-min rates, lowest rate limit first; capacity that a class can't use goes to later ones."""
        left = self.capacity
        count = len(self.transfers)
        for rate_limit in sorted(self.rate_classes):
            rate_class = self.rate_classes[rate_limit]
            if not rate_class.count:
                del self.rate_classes[rate_limit]
                continue
            rate_class.rate = min(rate_limit, left / count)
            left -= rate_class.rate * rate_class.count
            count -= rate_class.count
