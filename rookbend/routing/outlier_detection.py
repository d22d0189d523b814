"""Ejection of failing servers, and their return in a half-open state with one attempt at a time."""

from __future__ import annotations

from rookbend.interface import Settings
from rookbend.routing.server_stats import ServerStats, ServerTable

MAX_CONSECUTIVE_FAILURES = 3
MAX_ERROR_RATIO = 0.45
ERROR_SPAN_ATTEMPTS = 8  # attempts over which a server's ratios are averaged
FIRST_EJECTION_CONNECT_TIMEOUTS = 3.0  # doubles with each further ejection without a success in between
MAX_EJECTION_WARM_UP_RATIO = 0.5


class OutlierDetector:
    """Ejects a server after consecutive failures or at a high error ratio; a success ends the ejection."""

    def __init__(self, settings: Settings, servers: ServerTable) -> None:
        self.settings = settings
        self.servers = servers

    def record_answer(self, server: int, now_us: int) -> ServerStats:
        """Record any answer of the server, which shows that it is not silent."""
        stats = self.servers[server]
        stats.overdue_unanswered = 0
        stats.last_answer_us = now_us
        return stats

    def record_success(self, server: int, now_us: int) -> None:
        """Record that the server has served an attempt or filled one."""
        stats = self.record_answer(server, now_us)
        stats.consecutive_failures = 0
        stats.ejected_until_us = 0.0
        stats.error_ratio = stats.error_ratio * (1 - 1 / ERROR_SPAN_ATTEMPTS)
        stats.is_half_open = False
        stats.ejection_us = 0.0

    def record_failure(self, server: int, now_us: int) -> None:
        """Record that the server has failed an attempt."""
        stats = self.servers[server]
        stats.consecutive_failures += 1
        stats.error_ratio += (1 - stats.error_ratio) / ERROR_SPAN_ATTEMPTS
        if (
            stats.is_half_open
            or stats.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            or stats.error_ratio > MAX_ERROR_RATIO
        ):
            self.eject(server, now_us)

    def eject(self, server: int, now_us: int) -> None:
        """Eject a server unless it is already ejected."""
        stats = self.servers[server]
        if now_us < stats.ejected_until_us:
            return
        first_us = FIRST_EJECTION_CONNECT_TIMEOUTS * self.settings.connect_timeout_us
        longest_us = max(first_us, MAX_EJECTION_WARM_UP_RATIO * self.settings.warm_up_us)
        stats.ejection_us = min(max(first_us, stats.ejection_us * 2), longest_us)
        stats.ejected_until_us = now_us + stats.ejection_us
        stats.is_half_open = True

    def admits(self, server: int, now_us: int, in_use: int = 0) -> bool:
        """Whether the server may get an attempt beside `in_use` others: none while ejected, one while half-open."""
        stats = self.servers[server]
        return now_us >= stats.ejected_until_us and not (stats.is_half_open and in_use)
