"""Background work: jobs with priorities, within budgets. `Scheduler` decides; `net/scheduling.py` runs the jobs."""

from rookbend.scheduling.budget import Budget
from rookbend.scheduling.job import IDLE, NORMAL, URGENT, Key, StartedJob
from rookbend.scheduling.scheduler import Scheduler

__all__ = ["IDLE", "NORMAL", "URGENT", "Budget", "Key", "Scheduler", "StartedJob"]
