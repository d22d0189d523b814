"""Admission of requests, and the final answer to requests that get no attempt."""

from __future__ import annotations

from rookbend.interface import Fail, Idempotency, Reject, Settings
from rookbend.routing.fill_rate import FillRateLimiter
from rookbend.routing.rendezvous_hash import uniform_draw
from rookbend.routing.request_state import Request

MIN_SPREAD_RETRY_AFTER_RATIO = 0.5  # lower bound of a randomized Retry-After, relative to the longest


class AdmissionControl:
    """Rejects classes under an external limit, and gives the final answer to requests that get no attempt."""

    def __init__(self, settings: Settings, rate: FillRateLimiter, seed: int) -> None:
        self.settings = settings
        self.rate = rate
        self.seed = seed
        self.rejected_classes: frozenset[int] = frozenset()

    def admits(self, class_index: int) -> bool:
        """Whether requests of the class are admitted; `class_index` is its position in the settings."""
        return class_index not in self.rejected_classes

    def final_answer(self, request: Request) -> Reject | Fail:
        """The answer to a request that gets no attempt: a rejection where the client may repeat it, or a failure."""
        if not (self.settings.allows_retry_after and is_repeatable(request)):
            return Fail(request.id)
        return Reject(request.id, self._retry_after_us(request.id))

    def _retry_after_us(self, request_id: int) -> int:
        """Randomized under external limits, so that requests that are rejected together don't return together."""
        longest_us = self.settings.max_retry_after_us
        if not self.rejected_classes and self.rate.per_second is None:
            return longest_us
        draw = uniform_draw(self.seed, request_id)
        return int(longest_us * (MIN_SPREAD_RETRY_AFTER_RATIO + (1 - MIN_SPREAD_RETRY_AFTER_RATIO) * draw))


def is_repeatable(request: Request) -> bool:
    """Whether the client may safely send the request again."""
    traffic_class = request.traffic_class
    if traffic_class.idempotency is Idempotency.IDEMPOTENT or request.possibly_executed_us is None:
        return True
    return traffic_class.idempotency is Idempotency.IDEMPOTENCY_KEY and traffic_class.retry_scope == "all"
