"""The token bucket of all rate limits but those in routing, which use floats. No I/O; times are microseconds."""

from __future__ import annotations

US_PER_S = 1_000_000
UNITS_PER_TOKEN = US_PER_S  # at a rate of one token per second, one unit is added per microsecond


class TokenBucket:
    """Starts with `capacity` tokens, its maximum; `rate` are added per second. Integer units avoid rounding losses."""

    __slots__ = ("capacity_units", "filled_us", "rate", "units")

    def __init__(self, rate: float, capacity: int) -> None:
        self.rate = rate
        self.capacity_units = capacity * UNITS_PER_TOKEN
        self.units = self.capacity_units
        self.filled_us = 0

    def fill(self, now_us: int) -> None:
        """Adds the tokens accrued since the last call."""
        if now_us > self.filled_us:
            self.units = min(self.capacity_units, self.units + int((now_us - self.filled_us) * self.rate))
            self.filled_us = now_us

    @property
    def has_token(self) -> bool:
        """Whether at least one whole token is available."""
        return self.units >= UNITS_PER_TOKEN

    def spend(self) -> None:
        """Removes a token; `has_token` must have been true."""
        self.units -= UNITS_PER_TOKEN

    def take(self, now_us: int) -> bool:
        """Removes a token if one is available; returns whether it was."""
        self.fill(now_us)
        if not self.has_token:
            return False
        self.spend()
        return True

    def next_token_us(self) -> int:
        """When the next token is available, if none is removed before then."""
        missing_units = UNITS_PER_TOKEN - self.units
        wait_us = -(-missing_units // max(1, int(self.rate)))
        return self.filled_us + max(0, wait_us)
