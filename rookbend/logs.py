"""Structured logging: one function, `log(event, level, **fields)`, on structlog.

An event has a fixed name (docs/ONCALL.md lists them) and fields. Text is `key=value` (logfmt); JSON is one object a
line. Each event has its own rate limit: lines above it are dropped, and the next line written reports their number in
`dropped`. Nothing is logged per request.
"""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable
from typing import Any, TextIO

import msgspec
import structlog

from rookbend.core.token_bucket import US_PER_S, TokenBucket

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
NEVER_DROPPED = frozenset({"starting", "ready", "draining", "stopped", "counters"})


class EventRateLimiter:
    """Limits the lines of each event: `burst` lines at once, and as many again in `per_us`."""

    def __init__(self, burst: int, per_us: int) -> None:
        self.burst = burst
        self.rate = burst * US_PER_S / per_us
        # By event: its bucket and the lines dropped since the last one written. Bounded, since event names are fixed.
        self.buckets: dict[str, tuple[TokenBucket, int]] = {}

    def admit(self, now_us: int, event: str) -> int:
        """Returns the number of lines of this event dropped since the last one written; -1 if this one is dropped."""
        if event in NEVER_DROPPED:
            return 0
        bucket, dropped = self.buckets.get(event) or (TokenBucket(self.rate, self.burst), 0)
        if bucket.take(now_us):
            self.buckets[event] = (bucket, 0)
            return dropped
        self.buckets[event] = (bucket, dropped + 1)
        return -1


class Log:
    """The log function of all components. `now` returns the time of the director's clock in microseconds."""

    def __init__(
        self,
        now: Callable[[], int],
        format: str = "text",
        level: str = "info",
        burst: int = 20,
        per_us: int = 10 * US_PER_S,
        file: TextIO | None = None,
    ) -> None:
        """`format` is "text" or "json". Lines go to `file`, by default to standard error."""
        self._now = now
        self._lowest_level = LEVELS[level]
        self._rate_limiter = EventRateLimiter(burst, per_us)
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(file or sys.stderr),
            cache_logger_on_first_use=True,
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso"),
                _json_renderer() if format == "json" else _text_renderer(),
            ],
        )

    def __call__(self, event: str, level: str = "info", **fields: Any) -> None:
        """Writes one line, unless its level is too low or its event is above its rate limit."""
        if LEVELS[level] < self._lowest_level:
            return
        dropped = self._rate_limiter.admit(self._now(), event)
        if dropped < 0:
            return
        if dropped:
            fields["dropped"] = dropped
        # Writing fails if the reader of standard error has exited; the director goes on serving without a log.
        with contextlib.suppress(OSError):
            getattr(self._logger, level)(event, **fields)


def _json_renderer() -> structlog.types.Processor:
    return structlog.processors.JSONRenderer(serializer=lambda value, **_: msgspec.json.encode(value).decode())


def _text_renderer() -> structlog.types.Processor:
    return structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], drop_missing=True)
