"""Back-off from a failed origin: for a while, reads use the copies of parents and don't reach the origin."""

from __future__ import annotations

import math

from rookbend.interface import Settings
from rookbend.routing.rendezvous_hash import uniform_draw

BACKOFF_CONNECT_TIMEOUTS = 12.5  # how long a falling share of reads skips the origin after a failure


class OriginProtection:
    """Keeps reads from an overloaded origin, since retries of its rejections by the tiers below keep it overloaded."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.seed = seed
        self.last_failure_us = -math.inf

    def record_failure(self, now_us: int) -> None:
        """Record that the origin has failed an attempt of this router."""
        self.last_failure_us = now_us

    def skips_origin(self, request_id: int, now_us: int) -> bool:
        """Whether a read may not reach the origin: a random draw lets more through the longer ago the failure was."""
        elapsed_us = now_us - self.last_failure_us
        backoff_us = BACKOFF_CONNECT_TIMEOUTS * self.settings.connect_timeout_us
        return elapsed_us < backoff_us and elapsed_us < backoff_us * uniform_draw(self.seed, request_id)
