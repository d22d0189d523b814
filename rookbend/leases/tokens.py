"""The highest fencing token that this director knows of, and the next one."""

from __future__ import annotations

from rookbend.leases.voter import Voter

SECOND_US = 1_000_000
YEAR_S = 31_536_000
TOKENS_PER_SECOND_BITS = 16


def highest_plausible_token(now_us: int) -> int:
    """No token of a fleet whose clocks are right within a year is higher.

    Guards against one bad value that would use all tokens up.
    """
    return (now_us // SECOND_US + YEAR_S) << TOKENS_PER_SECOND_BITS


class TokenCounter:
    """`highest_seen` is what durable storage shows; `voter` adds what it has granted."""

    def __init__(self, highest_seen: int, voter: Voter):
        self._highest_seen = highest_seen
        self._voter = voter

    @property
    def highest(self) -> int:
        """The highest token known."""
        return max(self._highest_seen, self._voter.highest_token)

    def observe(self, now_us: int, token: int) -> None:
        """A peer has named a token."""
        self._highest_seen = max(self._highest_seen, min(token, highest_plausible_token(now_us)))

    def next(self, now_us: int) -> int:
        """A token above all known ones, and above those of an earlier second by the clock."""
        clock_token = (now_us // SECOND_US) << TOKENS_PER_SECOND_BITS
        self._highest_seen = max(self.highest, clock_token) + 1
        return self._highest_seen
