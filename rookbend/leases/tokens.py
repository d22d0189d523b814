"""Allocation of fencing tokens, and the highest token known to this director."""

from __future__ import annotations

from rookbend.leases.voter import Voter

SECOND_US = 1_000_000
YEAR_S = 31_536_000
TOKENS_PER_SECOND_BITS = 16


def highest_plausible_token(now_us: int) -> int:
    """Returns an upper bound of the tokens of a fleet whose clocks are right to within a year.

    The bound keeps a single corrupt token from exhausting the token space.
    """
    return (now_us // SECOND_US + YEAR_S) << TOKENS_PER_SECOND_BITS


class TokenCounter:
    """Tracks the highest token, from durable storage (`highest_seen`), from peers and from the grants of `voter`."""

    def __init__(self, highest_seen: int, voter: Voter):
        self._highest_seen = highest_seen
        self._voter = voter

    @property
    def highest(self) -> int:
        """The highest token known."""
        return max(self._highest_seen, self._voter.highest_token)

    def observe(self, now_us: int, token: int) -> None:
        """Records a token received from a peer, capped at the highest plausible token."""
        self._highest_seen = max(self._highest_seen, min(token, highest_plausible_token(now_us)))

    def next(self, now_us: int) -> int:
        """Returns a new token above all known ones and above those issued in earlier seconds by the clock."""
        clock_token = (now_us // SECOND_US) << TOKENS_PER_SECOND_BITS
        self._highest_seen = max(self.highest, clock_token) + 1
        return self._highest_seen
