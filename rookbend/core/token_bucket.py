"""A token bucket: the one way to say `so many a second`. Pure; times are microseconds."""

from __future__ import annotations

SECOND = 1_000_000


class Bucket:
    """`most` tokens at first and at most, `rate` more a second; counted in millionths, none lost."""

    __slots__ = ("at", "most", "rate", "tokens")

    def __init__(self, rate: float, most: int):
        self.rate, self.most = rate, most * SECOND
        self.tokens, self.at = self.most, 0

    def fill(self, now: int) -> None:
        """Adds what has come since the last time."""
        if now > self.at:
            self.tokens = min(self.most, self.tokens + int((now - self.at) * self.rate))
            self.at = now

    @property
    def has_one(self) -> bool:
        """Whether a whole token is there."""
        return self.tokens >= SECOND

    def spend(self) -> None:
        """Takes one that `has_one` has shown."""
        self.tokens -= SECOND

    def take(self, now: int) -> bool:
        """Takes one if there is one now; tells whether it did."""
        self.fill(now)
        if not self.has_one:
            return False
        self.spend()
        return True

    def next_us(self) -> int:
        """When there is one, if none is taken before."""
        return self.at + max(0, -(-(SECOND - self.tokens) // max(1, int(self.rate))))
