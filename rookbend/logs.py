"""Structured logging: one function, `log(event, level, **fields)`, on structlog.

An event has a fixed name (docs/ONCALL.md lists them) and fields. Text is `key=value` (logfmt); JSON is one
object a line. Each event has a budget of its own: beyond it lines are dropped, and the next that goes out
says how many in `dropped`. Nothing is logged per request.
"""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable

import msgspec
import structlog

from rookbend.core.token_bucket import US_PER_S, TokenBucket

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
NEVER_DROPPED = frozenset({"starting", "ready", "draining", "stopped", "counters"})


class EventBudget:
    """How many lines of each event may go out. One row an event name, and these are fixed."""

    def __init__(self, burst: int, per_us: int):
        self.burst, self.rate = burst, burst * US_PER_S / per_us
        self.rows: dict[str, tuple[TokenBucket, int]] = {}

    def admit(self, now_us: int, event: str) -> int:
        """How many were dropped since the last line of this event, or -1 where this one is, too."""
        if event in NEVER_DROPPED:
            return 0
        bucket, dropped = self.rows.get(event) or (TokenBucket(self.rate, self.burst), 0)
        admitted = bucket.take(now_us)
        self.rows[event] = bucket, 0 if admitted else dropped + 1
        return dropped if admitted else -1


class Log:
    """The function that all parts are given. `now` is microseconds of the director's clock."""

    def __init__(
        self,
        now: Callable[[], int],
        format: str = "text",
        level: str = "info",
        burst: int = 20,
        per_us: int = 10 * US_PER_S,
        file=None,
    ):
        self._now, self._least = now, LEVELS[level]
        self._budget = EventBudget(burst, per_us)
        render = (
            structlog.processors.JSONRenderer(serializer=lambda value, **_: msgspec.json.encode(value).decode())
            if format == "json"
            else structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], drop_missing=True)
        )
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(file or sys.stderr),
            cache_logger_on_first_use=True,
            processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso"), render],
        )

    def __call__(self, event: str, level: str = "info", **fields) -> None:
        if LEVELS[level] < self._least:
            return
        dropped = self._budget.admit(self._now(), event)
        if dropped < 0:
            return
        if dropped:
            fields["dropped"] = dropped
        # whoever read our standard error has left: no reason to stop serving
        with contextlib.suppress(OSError):
            getattr(self._logger, level)(event, **fields)
