"""What this router knows of one server: a record that the rules read and write."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

MAX_SLOWNESS_RATIO = 4.0  # most that a slow server stretches timers and shrinks its share by


@dataclass(slots=True)
class LoadReport:
    """Requests in flight that a server last reported, and this router's own among them."""

    received_us: int
    in_flight: float
    own_in_flight: int


@dataclass(slots=True, eq=False)
class ServerStats:
    """A cache, a parent or an origin, as this router has seen it. Times are absolute, in microseconds."""

    in_flight: int = 0  # own attempts at it
    fills_in_flight: int = 0  # own attempts that may fill from it
    full_until_us: float = 0.0
    last_answer_us: int = 0
    load_report: LoadReport | None = None
    consecutive_failures: int = 0
    overdue_unanswered: int = 0  # attempts overdue since it last answered
    error_ratio: float = 0.0
    slowness_ratio: float = 1.0  # what its hits take, over what they usually take
    ejected_until_us: float = 0.0  # 0 after the first success
    ejection_us: float = 0.0  # length of the last ejection
    is_half_open: bool = False  # one attempt at a time until the first success

    def reset(self) -> None:
        """Forget failures and slowness: the server is new or has restarted."""
        self.consecutive_failures = 0
        self.overdue_unanswered = 0
        self.error_ratio = 0.0
        self.slowness_ratio = 1.0
        self.ejected_until_us = 0.0
        self.ejection_us = 0.0
        self.is_half_open = False

    def slowness(self) -> float:
        """Slowness within its bounds, 1.0 and MAX_SLOWNESS_RATIO."""
        return min(max(1.0, self.slowness_ratio), MAX_SLOWNESS_RATIO)


class ServerTable(defaultdict[int, ServerStats]):
    """The record of each server by its id; a new one where there is none."""

    def __init__(self) -> None:
        super().__init__(ServerStats)
