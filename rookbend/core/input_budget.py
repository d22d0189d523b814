"""Bounds the memory that clients' requests hold: the bytes of unfinished ones, and the bodies of open ones.

Where both exceed the budget, unfinished requests are refused, first those that have made no progress for longest: a
client that writes at once is never among them. A request with a body that doesn't fit beside the open ones is refused.
"""

from __future__ import annotations

from typing import Protocol


class UnfinishedRequest(Protocol):
    """The owner of an unfinished request's bytes."""

    def refuse_unfinished(self) -> None:
        """Releases the bytes; the budget does not count them any more."""


class InputBudget:
    """The bytes held by all connections together; `max_bytes` may change at any time."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.body_bytes = 0  # of open requests
        self.unfinished_bytes = 0
        self._unfinished: dict[UnfinishedRequest, int] = {}  # the one that has made no progress for longest comes first

    def set_unfinished(self, owner: UnfinishedRequest, size: int) -> None:
        """Sets the bytes of the owner's unfinished request, after some were received; 0 if there is none."""
        if not size and owner not in self._unfinished:
            return
        self.unfinished_bytes += size - self._unfinished.pop(owner, 0)
        if size:
            self._unfinished[owner] = size
            self._shed()

    def _shed(self) -> None:
        while self._unfinished and self.body_bytes + self.unfinished_bytes > self.max_bytes:
            owner = next(iter(self._unfinished))
            self.unfinished_bytes -= self._unfinished.pop(owner)
            owner.refuse_unfinished()

    def reserve_body(self, size: int) -> bool:
        """Takes the bytes of a body, and refuses unfinished requests as needed; returns False if it does not fit."""
        if self.body_bytes + size > self.max_bytes:
            return False
        self.body_bytes += size
        self._shed()
        return True

    def release_body(self, size: int) -> None:
        """Returns the bytes of a body whose request has ended."""
        self.body_bytes -= size
