"""A job of the background scheduler, and its priorities."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

URGENT = 0
NORMAL = 1
IDLE = 2
PRIORITY_AGING_US = 2_000_000  # a job overdue by this much goes ahead of one of the next higher priority

Key = Hashable


class Job:
    """A piece of background work. `sequence` tells the latest scheduling of its key from earlier ones."""

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
        """The order in which due jobs start."""
        return self.due_us + self.priority * PRIORITY_AGING_US


class StartedJob(NamedTuple):
    """A job to run now; `sequence` is to be given back once it has ended."""

    key: Key
    sequence: int


class QueuedJob(NamedTuple):
    """An entry of a heap, `order_us` being the due time or the rank; out of date once the job's sequence differs."""

    order_us: int
    sequence: int
    key: Key
