"""Detects that a member's process has restarted, from its connections and before the membership reports it.

A process that dies resets its connections, and refuses new ones until it is back; then its cache is cold. The
membership reports the new start seconds later, and until then all directors would send to it as to a warm one. A
reset alone, or a refusal alone (a full connection table also refuses), proves nothing.
"""

from __future__ import annotations

from enum import Enum


class RestartPhase(Enum):
    """What one member's connections have shown so far."""

    RUNNING = "running"
    RESET = "reset"  # a connection was reset
    DOWN = "down"  # and with none left, a new one was refused


class RestartDetector:
    """Fed what happens to one member's connections; `connected` reports a restart, once."""

    __slots__ = ("phase",)

    def __init__(self) -> None:
        self.phase = RestartPhase.RUNNING

    def connection_lost(self, reset: bool) -> None:
        """A connection has ended; `reset` tells whether by a reset."""
        if reset and self.phase is RestartPhase.RUNNING:
            self.phase = RestartPhase.RESET

    def connect_failed(self, refused: bool, others_open: bool) -> None:
        """A new connection did not come up; `others_open` tells whether any is left."""
        if refused and not others_open and self.phase is RestartPhase.RESET:
            self.phase = RestartPhase.DOWN

    def connected(self) -> bool:
        """A new connection is up; returns whether the process behind it is another than before."""
        was_down = self.phase is RestartPhase.DOWN
        self.phase = RestartPhase.RUNNING
        return was_down
