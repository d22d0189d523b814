"""What a receiver of acts keeps: the highest token seen of each scope. Pure.

An act with an older one is turned away, and its sender is told the higher, so that it steps down at once."""

from __future__ import annotations

from collections.abc import Mapping


class Receiver:
    """`kept` is from before. `turned_away` counts by scope."""

    __slots__ = ("highest", "turned_away")

    def __init__(self, kept: Mapping[int, int] | None = None):
        self.highest = dict(kept or {})
        self.turned_away: dict[int, int] = {}

    def accept(self, scope: int, token: int) -> bool:
        """Whether an act with that token may take effect; the token binds from then on."""
        if token < self.highest.get(scope, 0):
            self.turned_away[scope] = self.turned_away.get(scope, 0) + 1
            return False
        self.highest[scope] = token
        return True

    def rises(self, scope: int, token: int) -> bool:
        """Whether that token would be a new highest: to be on disk before the act takes effect."""
        return token > self.highest.get(scope, 0)
