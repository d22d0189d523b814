"""Events that the driver of every state machine feeds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TimerExpired:
    """The time in the state machine's `due_us` has been reached."""


@dataclass(slots=True)
class DatagramReceived:
    """A datagram from the director with the number `sender`; datagrams may be lost, delayed or duplicated."""

    sender: int
    data: bytes
