"""Timers of attempts, of requests and of the router, in one heap."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any, NamedTuple


class TimerKind(Enum):
    """What a timer is for, and with that what its `subject` is."""

    ATTEMPT_TIMEOUT = "attempt timeout"  # an Attempt
    REQUEST_DEADLINE = "request deadline"  # an OpenRequest
    ROUTER = "router"  # the router's own token


class Timer(NamedTuple):
    """One entry of the heap. `sequence` keeps timers that are due together in the order of their setting."""

    due_us: int
    sequence: int
    kind: TimerKind
    subject: Any


def _ignore_earlier_due(due_us: int) -> None:
    """Stands in until somebody runs the timers."""


class TimerQueue:
    """Timers by due time. `on_earlier_due(due_us)` is called when the next timer comes earlier than before."""

    __slots__ = ("_heap", "_sequence", "next_due_us", "on_earlier_due")

    def __init__(self) -> None:
        self.next_due_us = 0  # 0: no timer is set
        self.on_earlier_due: Callable[[int], None] = _ignore_earlier_due
        self._heap: list[Timer] = []
        self._sequence = 0

    def schedule(self, due_us: int, kind: TimerKind, subject: Any) -> None:
        """Sets a timer. Timers are never cancelled: whoever runs them skips those that no longer matter."""
        self._sequence += 1
        heapq.heappush(self._heap, Timer(due_us, self._sequence, kind, subject))
        if due_us < self.next_due_us or not self.next_due_us:
            self.next_due_us = due_us
            self.on_earlier_due(due_us)

    def pop_due(self, now_us: int) -> Iterator[Timer]:
        """Removes and yields the timers that are due, with those that are set meanwhile and are due as well."""
        heap = self._heap
        while heap and heap[0].due_us <= now_us:
            yield heapq.heappop(heap)
        self.next_due_us = heap[0].due_us if heap else 0
