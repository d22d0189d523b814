"""After the origin has failed, reads spare it: they take what parents hold and go no further."""

from __future__ import annotations

import math

from rookbend.interface import Settings
from rookbend.routing.rendezvous_hash import uniform_draw

BACKOFF_CONNECT_TIMEOUTS = 12.5  # how long after a failure reads spare the origin, ever fewer of them


class OriginProtection:
    """Spares an overloaded origin: each of its refusals is retried by the tiers below, and keeps it down."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.seed = seed
        self.last_failure_us = -math.inf

    def record_failure(self, now_us: int) -> None:
        """The origin has failed an attempt of this router."""
        self.last_failure_us = now_us

    def skips_origin(self, request_id: int, now_us: int) -> bool:
        """Whether a read may not go on to the origin: by a draw that passes more with the time since."""
        elapsed_us = now_us - self.last_failure_us
        backoff_us = BACKOFF_CONNECT_TIMEOUTS * self.settings.connect_timeout_us
        return elapsed_us < backoff_us and elapsed_us < backoff_us * uniform_draw(self.seed, request_id)
