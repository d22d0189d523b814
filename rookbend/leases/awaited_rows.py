"""Replies that are sent once a row is durable."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

Item = TypeVar("Item")


class AwaitedRows(Generic[Item]):
    """Items queued by the key of the row that they wait for, in the order in which the rows were written."""

    def __init__(self) -> None:
        self._waiting: dict[str, deque[Item]] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._waiting

    def add(self, key: str, item: Item) -> None:
        """Queues an item that waits for the row just written under that key."""
        self._waiting.setdefault(key, deque()).append(item)

    def waiting(self, key: str) -> tuple[Item, ...]:
        """Returns the items that wait for rows of that key, oldest first."""
        return tuple(self._waiting.get(key, ()))

    def pop(self, key: str) -> Item | None:
        """Removes and returns the item that has waited longest for that key, or None."""
        waiting = self._waiting.get(key)
        if not waiting:
            return None
        item = waiting.popleft()
        if not waiting:
            del self._waiting[key]
        return item
