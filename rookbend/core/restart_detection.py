"""Detects that a member's process has restarted, from its connections and before the membership reports it.

When a process dies, its connections are reset, and new ones are refused until it has restarted with a cold cache. The
membership reports the new start seconds later, and until then all directors would treat the member as warm. A reset
alone proves nothing, nor does a refusal alone: a member with a full connection table also refuses.
"""

from __future__ import annotations

from enum import Enum


class RestartPhase(Enum):
    """What one member's connections have shown so far."""

    RUNNING = "running"
    RESET = "reset"  # a connection was reset
    DOWN = "down"  # then, with no connection left, a new one was refused


class RestartDetector:
    """Receives the events of one member's connections; `connected` reports each restart once."""

    __slots__ = ("phase",)

    def __init__(self) -> None:
        self.phase = RestartPhase.RUNNING

    def connection_lost(self, reset: bool) -> None:
        """Handles the end of a connection; `reset` is whether it was reset."""
        if reset and self.phase is RestartPhase.RUNNING:
            self.phase = RestartPhase.RESET

    def connect_failed(self, refused: bool, others_open: bool) -> None:
        """Handles a failed connection attempt; `others_open` is whether other connections to the member are open."""
        if refused and not others_open and self.phase is RestartPhase.RESET:
            self.phase = RestartPhase.DOWN

    def connected(self) -> bool:
        """Handles a new connection; returns whether the member's process has restarted."""
        was_down = self.phase is RestartPhase.DOWN
        self.phase = RestartPhase.RUNNING
        return was_down
