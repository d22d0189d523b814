"""The externally set rate limit of fills."""

from __future__ import annotations

BURST_S = 0.5  # bucket size, in seconds at the set rate
MIN_BURST_FILLS = 1.0
US_PER_S = 1e6


class FillRateLimiter:
    """A token bucket with the externally set rate `per_second`; None: no limit."""

    def __init__(self) -> None:
        self.per_second: float | None = None
        self.tokens = 0.0
        self.refilled_us = 0

    def set_rate(self, now_us: int, per_second: float | None, initial_tokens: float) -> None:
        """Change the rate. Where there was no limit, the bucket starts with `initial_tokens`."""
        if self.per_second is None:
            self.tokens = initial_tokens
            self.refilled_us = now_us
        elif per_second is not None:
            self.refill(now_us, self.per_second)
        self.per_second = per_second

    def refill(self, now_us: int, per_second: float) -> float:
        """Add the tokens due since the last refill; returns the tokens in the bucket."""
        burst = max(MIN_BURST_FILLS, BURST_S * per_second)
        self.tokens = min(burst, self.tokens + (now_us - self.refilled_us) * per_second / US_PER_S)
        self.refilled_us = now_us
        return self.tokens

    def has_token(self, now_us: int) -> bool:
        """Whether the rate limit allows a fill now."""
        return self.per_second is None or self.refill(now_us, self.per_second) >= 1
