"""The fencing check of a receiver, based on the highest token seen for each scope.

A request with a lower token is rejected. Its sender is told the higher token, so that it steps down at once.
"""

from __future__ import annotations

from collections.abc import Mapping


class FencingGuard:
    """The highest token by scope, initially as restored from durable storage; `rejected` counts stale requests."""

    __slots__ = ("highest", "rejected")

    def __init__(self, highest: Mapping[int, int] | None = None):
        self.highest = dict(highest or {})
        self.rejected: dict[int, int] = {}

    def accept(self, scope: int, token: int) -> bool:
        """Returns whether a request with that token may take effect; if so, lower tokens are rejected from now on."""
        if token < self.highest.get(scope, 0):
            self.rejected[scope] = self.rejected.get(scope, 0) + 1
            return False
        self.highest[scope] = token
        return True

    def raises_highest(self, scope: int, token: int) -> bool:
        """Returns whether that token is a new highest, which must be persisted before the request takes effect."""
        return token > self.highest.get(scope, 0)
