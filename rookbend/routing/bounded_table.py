"""A table of limited size that drops its oldest entries."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class BoundedTable(OrderedDict[Key, Value], Generic[Key, Value]):
    """Entries by key, oldest write first; beyond `limit` (at least 1) the oldest is dropped."""

    def __init__(self, limit: float) -> None:
        super().__init__()
        self.limit = max(1, int(limit))

    def put(self, key: Key, value: Value) -> None:
        """Set an entry and make it the newest."""
        self[key] = value
        self.move_to_end(key)
        if len(self) > self.limit:
            self.popitem(last=False)
