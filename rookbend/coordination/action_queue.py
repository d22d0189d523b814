"""Queue of the actions that one step of a state machine produces, with a rate limit on datagrams."""

from __future__ import annotations

from typing import Generic, TypeVar

from rookbend.coordination.actions import SendDatagram, WriteLogLine
from rookbend.core.token_bucket import TokenBucket

Action = TypeVar("Action")


class ActionQueue(Generic[Action]):
    """Actions in the order in which the driver carries them out.

    `datagrams_per_s` and `burst` configure the token bucket that limits datagrams. `sent` counts the datagrams that
    were queued, `suppressed` those that the rate limit dropped.
    """

    def __init__(self, datagrams_per_s: float, burst: int):
        self._limit = TokenBucket(datagrams_per_s, burst)
        self._actions: list[Action | SendDatagram | WriteLogLine] = []
        self.sent = 0
        self.suppressed = 0

    def append(self, action: Action) -> None:
        """Appends an action to the queue."""
        self._actions.append(action)

    def send(self, now_us: int, peer: int, data: bytes) -> bool:
        """Queues a datagram; returns False if the rate limit dropped it."""
        if not self._limit.take(now_us):
            self.suppressed += 1
            return False
        self.sent += 1
        self._actions.append(SendDatagram(peer, data))
        return True

    def log(self, event: str, level: str = "info", **fields: object) -> None:
        """Queues a line of the structured log."""
        self._actions.append(WriteLogLine(event, level, fields))

    def take(self) -> list[Action | SendDatagram | WriteLogLine]:
        """Removes and returns the actions that were queued since the last call."""
        actions = self._actions
        self._actions = []
        return actions
