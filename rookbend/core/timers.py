"""Timers of attempts, of requests and of the router, in one heap."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any, NamedTuple


class TimerKind(Enum):
    """What a timer is for; this determines the type of its `subject`."""

    ATTEMPT_TIMEOUT = "attempt timeout"  # an Attempt
    REQUEST_DEADLINE = "request deadline"  # an OpenRequest
    ROUTER = "router"  # the router's token


class Timer(NamedTuple):
    """One entry of the heap. `sequence` orders timers that are due at the same time by when they were set."""

    due_us: int
    sequence: int
    kind: TimerKind
    subject: Any


def _ignore_earlier_due(due_us: int) -> None:
    """The initial `on_earlier_due`, before a driver of the timers is attached."""


class TimerQueue:
    """Timers by due time. `on_earlier_due(due_us)` is called when the next due time becomes earlier."""

    __slots__ = ("_heap", "_sequence", "next_due_us", "on_earlier_due")

    def __init__(self) -> None:
        self.next_due_us = 0  # 0: no timer is set
        self.on_earlier_due: Callable[[int], None] = _ignore_earlier_due
        self._heap: list[Timer] = []
        self._sequence = 0

    def schedule(self, due_us: int, kind: TimerKind, subject: Any) -> None:
        """Sets a timer. Timers are never cancelled: the caller of `pop_due` ignores those that no longer apply."""
        self._sequence += 1
        heapq.heappush(self._heap, Timer(due_us, self._sequence, kind, subject))
        if due_us < self.next_due_us or not self.next_due_us:
            self.next_due_us = due_us
            self.on_earlier_due(due_us)

    def pop_due(self, now_us: int) -> Iterator[Timer]:
        """Removes and yields the timers that are due, including those set during the iteration."""
        heap = self._heap
        while heap and heap[0].due_us <= now_us:
            yield heapq.heappop(heap)
        self.next_due_us = heap[0].due_us if heap else 0
