"""The phases of a director's lifecycle."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """The phases of a director, in their order."""

    STARTING = "starting"  # reads the membership, opens its sockets
    READY = "ready"  # accepts requests
    DRAINING = "draining"  # has been told to stop: answers what it has accepted
    STOPPED = "stopped"  # everything is answered; nothing more is accepted
