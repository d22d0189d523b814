"""What is sent once a row is durable."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

Item = TypeVar("Item")


class AwaitedRows(Generic[Item]):
    """Items by the key of the row that they wait for, in the order in which the rows were written."""

    def __init__(self) -> None:
        self._waiting: dict[str, deque[Item]] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._waiting

    def add(self, key: str, item: Item) -> None:
        """The item waits for the row that was just written."""
        self._waiting.setdefault(key, deque()).append(item)

    def waiting(self, key: str) -> tuple[Item, ...]:
        """All that wait for rows of that key."""
        return tuple(self._waiting.get(key, ()))

    def pop(self, key: str) -> Item | None:
        """Takes out what has waited longest for that key; None where nothing does."""
        waiting = self._waiting.get(key)
        if not waiting:
            return None
        item = waiting.popleft()
        if not waiting:
            del self._waiting[key]
        return item
