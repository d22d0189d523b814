"""The capacity of a member in slow start, and the work that it was sent in proportion to it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

_US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class SlowStart:
    """Growth of a member's capacity after its start: linear from `cold_ratio` of `capacity` to all of it.

    `capacity` is seconds of transfer per second. Work above `overload_multiple` times the current capacity overloads
    the member.
    """

    capacity: float
    cold_ratio: float
    warm_up_us: int
    overload_multiple: float

    def capacity_at(self, age_us: int) -> float:
        """Returns the capacity `age_us` after the start."""
        if age_us >= self.warm_up_us:
            return self.capacity
        return self.capacity * (self.cold_ratio + (1 - self.cold_ratio) * max(age_us, 0) / self.warm_up_us)


class SlowStartBudget:
    """The work sent to one member since its start, over a sliding window."""

    def __init__(self, slow_start: SlowStart, started_us: int, window_us: int) -> None:
        self.slow_start = slow_start
        self.started_us = started_us
        self.window_us = window_us
        self.violation_reported = False
        self._work: deque[tuple[int, float]] = deque()  # time, seconds of transfer
        self._total_work_s = 0.0

    def is_over(self, now_us: int) -> bool:
        """Whether slow start has ended, so that the budget no longer applies."""
        return now_us - self.started_us > self.slow_start.warm_up_us + self.window_us

    def add(self, now_us: int, work_s: float) -> float:
        """Adds work; returns the work of the window in proportion to the amount that overloads the member."""
        self._work.append((now_us, work_s))
        self._total_work_s += work_s
        window_start_us = now_us - self.window_us
        while self._work[0][0] <= window_start_us:
            self._total_work_s -= self._work.popleft()[1]
        # The capacity at the start of the window, which is less than the current one: a burst right after the
        # member's start is measured against the capacity that it had then.
        capacity = self.slow_start.capacity_at(max(0, window_start_us - self.started_us))
        return self._total_work_s / (self.slow_start.overload_multiple * capacity * self.window_us / _US_PER_S)
