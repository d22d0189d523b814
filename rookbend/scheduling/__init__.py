"""Background jobs with priorities and budgets. `Scheduler` decides which start; `net/scheduling.py` runs them."""

from rookbend.scheduling.budget import Budget
from rookbend.scheduling.job import IDLE, NORMAL, URGENT, Key, StartedJob
from rookbend.scheduling.scheduler import Scheduler

__all__ = ["IDLE", "NORMAL", "URGENT", "Budget", "Key", "Scheduler", "StartedJob"]
