"""Jobs of the background scheduler, and their priorities."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

URGENT = 0
NORMAL = 1
IDLE = 2
PRIORITY_AGING_US = 2_000_000  # a job due this much earlier precedes one of the next higher priority

Key = Hashable


class Job:
    """A background job. `sequence` distinguishes the latest scheduling of its key from earlier ones."""

    __slots__ = ("descriptors", "due_us", "key", "kind", "priority", "rescheduled", "running", "sequence")

    def __init__(self, key: Key, kind: str, descriptors: int):
        self.key = key
        self.kind = kind
        self.descriptors = descriptors
        self.due_us = 0
        self.priority = URGENT
        self.sequence = 0
        self.running = False
        self.rescheduled = False  # scheduled again while it runs

    @property
    def rank(self) -> int:
        """The sort key of due jobs: the lowest rank starts first."""
        return self.due_us + self.priority * PRIORITY_AGING_US


class StartedJob(NamedTuple):
    """A job to run now. Its `sequence` must be passed to `Scheduler.ended` once the job has ended."""

    key: Key
    sequence: int


class QueuedJob(NamedTuple):
    """An entry of a heap. `order_us` is the due time or the rank. Stale once the sequence of the job differs."""

    order_us: int
    sequence: int
    key: Key
