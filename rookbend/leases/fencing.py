"""The fencing guard of a receiver: the highest token seen of each scope.

A request with an older token is rejected, and its sender learns the higher one, so that it steps down at once.
"""

from __future__ import annotations

from collections.abc import Mapping


class FencingGuard:
    """`highest` is what durable storage holds, by scope; `rejected` counts stale requests by scope."""

    __slots__ = ("highest", "rejected")

    def __init__(self, highest: Mapping[int, int] | None = None):
        self.highest = dict(highest or {})
        self.rejected: dict[int, int] = {}

    def accept(self, scope: int, token: int) -> bool:
        """Whether a request with that token may take effect; lower tokens are rejected from then on."""
        if token < self.highest.get(scope, 0):
            self.rejected[scope] = self.rejected.get(scope, 0) + 1
            return False
        self.highest[scope] = token
        return True

    def raises_highest(self, scope: int, token: int) -> bool:
        """Whether that token would be a new highest, to be persisted before the request takes effect."""
        return token > self.highest.get(scope, 0)
