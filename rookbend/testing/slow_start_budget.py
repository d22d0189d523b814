"""How much work a member bears after its start, and how much of that it was sent."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

_US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How a member's capacity grows after its start: from `cold_ratio` of it, linearly, to all of it.

    `capacity` is seconds of sending a second; work over `overload_multiple` times the present capacity overloads it.
    """

    capacity: float
    cold_ratio: float
    warm_up_us: int
    overload_multiple: float

    def capacity_at(self, age_us: int) -> float:
        """The capacity so long after the start."""
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
        self._work: deque[tuple[int, float]] = deque()  # time and seconds of sending
        self._total_work_s = 0.0

    def is_over(self, now_us: int) -> bool:
        """Whether the member is warm, so that no budget binds any more."""
        return now_us - self.started_us > self.slow_start.warm_up_us + self.window_us

    def add(self, now_us: int, work_s: float) -> float:
        """Counts work; the ratio of the window's work to what overloads the member."""
        self._work.append((now_us, work_s))
        self._total_work_s += work_s
        window_start_us = now_us - self.window_us
        while self._work[0][0] <= window_start_us:
            self._total_work_s -= self._work.popleft()[1]
        # The capacity at the window's start: it is less than now's, and a burst right after the start is
        # judged by what the member bore then.
        capacity = self.slow_start.capacity_at(max(0, window_start_us - self.started_us))
        return self._total_work_s / (self.slow_start.overload_multiple * capacity * self.window_us / _US_PER_S)
