"""Events that the driver of every state machine feeds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TimerExpired:
    """The machine's `due_us` has come."""


@dataclass(slots=True)
class DatagramReceived:
    """A datagram of another director, known by its number; lossy, late and doubled."""

    sender: int
    data: bytes
