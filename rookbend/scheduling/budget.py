"""Budgets of background jobs, and their use."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.scheduling.job import QueuedJob


@dataclass(frozen=True, slots=True)
class Budget:
    """Limits on concurrently running jobs and on the descriptors that they hold."""

    running: int
    descriptors: int


class BudgetUse:
    """The use of a budget, and the due jobs that wait for it, as a heap ordered by rank."""

    __slots__ = ("budget", "descriptors", "queue", "running")

    def __init__(self, budget: Budget):
        self.budget = budget
        self.running = 0
        self.descriptors = 0
        self.queue: list[QueuedJob] = []

    def fits(self, descriptors: int) -> bool:
        """Whether the budget has room for a job with that many descriptors."""
        return self.running < self.budget.running and self.descriptors + descriptors <= self.budget.descriptors

    def acquire(self, descriptors: int) -> None:
        """Counts a job that starts."""
        self.running += 1
        self.descriptors += descriptors

    def release(self, descriptors: int) -> None:
        """Counts a job that has ended."""
        self.running -= 1
        self.descriptors -= descriptors
