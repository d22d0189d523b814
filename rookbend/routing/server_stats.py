"""Statistics of a server, which the routing policies read and update."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

MAX_SLOWNESS_RATIO = 4.0  # upper bound of the slowness that lengthens timers and expected transfer times


@dataclass(slots=True)
class LoadReport:
    """Requests in flight in a server's last report, and the attempts of this router at the time."""

    received_us: int
    in_flight: float
    own_in_flight: int


@dataclass(slots=True, eq=False)
class ServerStats:
    """Statistics of a cache, a parent or an origin. Times are absolute and in microseconds, unless noted."""

    in_flight: int = 0  # this router's attempts at the server
    fills_in_flight: int = 0  # this router's attempts that may fill from the server
    full_until_us: float = 0.0
    last_answer_us: int = 0
    load_report: LoadReport | None = None
    consecutive_failures: int = 0
    overdue_unanswered: int = 0  # attempts overdue since the server last answered
    error_ratio: float = 0.0
    slowness_ratio: float = 1.0  # duration of its hits, relative to the usual duration
    ejected_until_us: float = 0.0  # set to 0 by a success
    ejection_us: float = 0.0  # duration of the last ejection
    is_half_open: bool = False  # gets one attempt at a time until the first success

    def reset(self) -> None:
        """Reset failures and slowness of a server that is new or has restarted."""
        self.consecutive_failures = 0
        self.overdue_unanswered = 0
        self.error_ratio = 0.0
        self.slowness_ratio = 1.0
        self.ejected_until_us = 0.0
        self.ejection_us = 0.0
        self.is_half_open = False

    def slowness(self) -> float:
        """Slowness ratio, bounded by 1.0 and MAX_SLOWNESS_RATIO."""
        return min(max(1.0, self.slowness_ratio), MAX_SLOWNESS_RATIO)


class ServerTable(defaultdict[int, ServerStats]):
    """Statistics of each server by its id, created on first access."""

    def __init__(self) -> None:
        super().__init__(ServerStats)
