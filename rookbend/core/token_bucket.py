"""A token bucket: the rate limit everywhere but in routing, which refills in floats. Pure; times are microseconds."""

from __future__ import annotations

US_PER_S = 1_000_000
UNITS_PER_TOKEN = US_PER_S  # a rate of one token a second adds one unit a microsecond


class TokenBucket:
    """`capacity` tokens at first and at most, `rate` more a second. Counted in units, so that none are lost."""

    __slots__ = ("capacity_units", "filled_us", "rate", "units")

    def __init__(self, rate: float, capacity: int) -> None:
        self.rate = rate
        self.capacity_units = capacity * UNITS_PER_TOKEN
        self.units = self.capacity_units
        self.filled_us = 0

    def fill(self, now_us: int) -> None:
        """Adds what has come since the last time."""
        if now_us > self.filled_us:
            self.units = min(self.capacity_units, self.units + int((now_us - self.filled_us) * self.rate))
            self.filled_us = now_us

    @property
    def has_token(self) -> bool:
        """Whether there is a whole token."""
        return self.units >= UNITS_PER_TOKEN

    def spend(self) -> None:
        """Removes a token; `has_token` must have been true."""
        self.units -= UNITS_PER_TOKEN

    def take(self, now_us: int) -> bool:
        """Removes a token if there is one now; returns whether there was."""
        self.fill(now_us)
        if not self.has_token:
            return False
        self.spend()
        return True

    def next_token_us(self) -> int:
        """When there is a token, if none is removed before."""
        missing_units = UNITS_PER_TOKEN - self.units
        wait_us = -(-missing_units // max(1, int(self.rate)))
        return self.filled_us + max(0, wait_us)
