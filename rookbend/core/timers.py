"""Timers of attempts, of requests and of the router, in one heap."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any, NamedTuple

MIN_OBSOLETE = 256  # below this number the timers are not worth a scan


class TimerKind(Enum):
    """What a timer is for; this determines the type of its `subject`."""

    ATTEMPT_TIMEOUT = "attempt timeout"  # an AttemptKey
    REQUEST_DEADLINE = "request deadline"  # the request's number
    HELD_REQUEST = "held request"  # the request's number
    ROUTER = "router"  # the router's token


class AttemptKey(NamedTuple):
    """An attempt, by the number of its request and its own."""

    request: int
    number: int


class Timer(NamedTuple):
    """One entry of the heap. `sequence` orders timers that are due at the same time by when they were set.

    `subject` refers to requests and attempts by number: a request that has ended is not kept until its timer is due.
    """

    due_us: int
    sequence: int
    kind: TimerKind
    subject: Any


def _is_always_needed(timer: Timer) -> bool:
    """The initial `is_needed`, before the owner of the requests is known."""
    return True


def _ignore_earlier_due(due_us: int) -> None:
    """The initial `on_earlier_due`, before a driver of the timers is attached."""


class TimerQueue:
    """Timers by due time. `on_earlier_due(due_us)` is called when the next due time becomes earlier.

    Bounded by the timers that are needed: `is_needed(timer)` tells which are, and once `note_obsolete` was called for
    half of all timers, those that are not are removed.
    """

    __slots__ = ("_heap", "_obsolete", "_sequence", "is_needed", "next_due_us", "on_earlier_due")

    def __init__(self) -> None:
        self.next_due_us = 0  # 0: no timer is set
        self.on_earlier_due: Callable[[int], None] = _ignore_earlier_due
        self.is_needed: Callable[[Timer], bool] = _is_always_needed
        self._obsolete = 0  # at most so many timers are not needed any more
        self._heap: list[Timer] = []
        self._sequence = 0

    def schedule(self, due_us: int, kind: TimerKind, subject: Any) -> None:
        """Sets a timer. Timers are never cancelled: the caller of `pop_due` ignores those that no longer apply."""
        self._sequence += 1
        heapq.heappush(self._heap, Timer(due_us, self._sequence, kind, subject))
        if due_us < self.next_due_us or not self.next_due_us:
            self.next_due_us = due_us
            self.on_earlier_due(due_us)

    def __len__(self) -> int:
        return len(self._heap)

    def note_obsolete(self) -> None:
        """Counts a timer that may not be needed any more."""
        self._obsolete += 1
        if self._obsolete > max(MIN_OBSOLETE, len(self._heap) // 2):
            self._obsolete = 0
            # In place: `pop_due` may be iterating.
            self._heap[:] = filter(self.is_needed, self._heap)
            heapq.heapify(self._heap)

    def pop_due(self, now_us: int) -> Iterator[Timer]:
        """Removes and yields the timers that are due, including those set during the iteration."""
        heap = self._heap
        while heap and heap[0].due_us <= now_us:
            yield heapq.heappop(heap)
        self.next_due_us = heap[0].due_us if heap else 0
