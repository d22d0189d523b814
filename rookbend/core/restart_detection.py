"""A member whose process has restarted, as its connections show it before the membership tells.

A process that dies resets its connections, and refuses new ones until it is back; then it is cold. The membership
tells of the new start seconds later, and until then all directors would send to it as to a warm one. A reset alone,
or a refusal alone (a full connection table also refuses), proves nothing.
"""

from __future__ import annotations

from enum import Enum


class Seen(Enum):
    """What one member's connections have shown so far."""

    NOTHING = "nothing"
    RESET = "reset"  # a connection was reset
    DEAD = "dead"  # and with none left, a new one was refused


class RestartEvidence:
    """Fed what happens to one member's connections; `connected` tells of a restart, once."""

    def __init__(self) -> None:
        self.seen = Seen.NOTHING

    def connection_lost(self, reset: bool) -> None:
        """A connection has ended; `reset` tells whether by a reset."""
        if reset and self.seen is Seen.NOTHING:
            self.seen = Seen.RESET

    def connect_failed(self, refused: bool, others_open: bool) -> None:
        """A new connection did not come up; `others_open` tells whether any is left."""
        if refused and not others_open and self.seen is Seen.RESET:
            self.seen = Seen.DEAD

    def connected(self) -> bool:
        """A new connection is up: whether the process behind it is another than before."""
        dead, self.seen = self.seen is Seen.DEAD, Seen.NOTHING
        return dead
