"""How long connections have waited in a listener's backlog for a place."""

from __future__ import annotations

import socket

from rookbend.net.connection_age import quiet_us

FRESH_US = 50_000  # a connection that has waited for less has met no queue
MAX_QUEUE_US = 2_000_000  # until the whole backlog is accepted, once there are places


class BacklogWait:
    """The time since when a listener holds connections back; all others are accepted as soon as they arrive.

    What the kernel says of a connection counts only for this time: a connection can't have waited for longer.
    """

    def __init__(self) -> None:
        self._held_since_us = 0  # 0: none is held back
        self._held_until_us = 0

    def held_back(self, now_us: int) -> None:
        """There is no place for a connection that waits."""
        self._held_since_us = self._held_since_us or now_us
        self._held_until_us = now_us

    def loop_paused(self, pause_us: int, now_us: int) -> None:
        """Nothing was accepted for this long."""
        self._held_since_us = self._held_since_us or now_us - pause_us
        self._held_until_us = now_us

    def waited_us(self, sock: socket.socket, now_us: int) -> int:
        """For how long a connection that is accepted now has waited, or the last byte on it."""
        if not self._held_since_us:
            return 0
        waited_us = min(quiet_us(sock), now_us - self._held_since_us)
        held_us = self._held_until_us - self._held_since_us
        is_end_of_queue = waited_us < FRESH_US <= held_us
        if is_end_of_queue or now_us - self._held_until_us > MAX_QUEUE_US:
            self._held_since_us = 0
            return 0
        return waited_us
