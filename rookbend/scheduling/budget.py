"""What background jobs may hold at once, and what they hold."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.scheduling.job import QueuedJob


@dataclass(frozen=True, slots=True)
class Budget:
    """Limits of jobs that run at once and of the descriptors they hold."""

    running: int
    descriptors: int


class BudgetUse:
    """What of a budget is in use, and the due jobs that wait for it: a heap by rank."""

    __slots__ = ("budget", "descriptors", "queue", "running")

    def __init__(self, budget: Budget):
        self.budget = budget
        self.running = 0
        self.descriptors = 0
        self.queue: list[QueuedJob] = []

    def fits(self, descriptors: int) -> bool:
        """Whether a job that needs so many descriptors is within the budget."""
        return self.running < self.budget.running and self.descriptors + descriptors <= self.budget.descriptors

    def acquire(self, descriptors: int) -> None:
        """Counts a job that starts."""
        self.running += 1
        self.descriptors += descriptors

    def release(self, descriptors: int) -> None:
        """Counts a job that has ended."""
        self.running -= 1
        self.descriptors -= descriptors
