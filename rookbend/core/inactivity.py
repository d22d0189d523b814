"""When a connection that a peer has opened may be ended because too little happens on it.

Every listener of the director follows one rule:

- While a request is open, that is received whole and without its final answer, the connection is not ended.
- Otherwise it is ended `idle_us` after the last byte received or the last answer; within an unfinished message
  `stall_us` after it.
- A message whose bytes keep arriving may take `message_us` from its first byte, so that a peer that writes for ever
  does not keep its connection.

A request is answered by its deadline, so a peer keeps a connection for a limited time whatever it does.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InactivityLimits:
    """The limits of one kind of listener, in microseconds."""

    first_message_us: int  # from the connect to the first byte of a message
    idle_us: int  # without a byte received or an answer, between two messages
    stall_us: int  # the same within a message
    message_us: int  # from the first byte of a message to its last


class ConnectionActivity:
    """What has arrived and was answered on one connection, as far as its end by inactivity depends on it."""

    __slots__ = ("has_received_message", "last_activity_us", "limits", "message_since_us", "opened_us")

    def __init__(self, limits: InactivityLimits, opened_us: int) -> None:
        """`opened_us` is when the peer has connected, or sent its last byte before the connection was accepted."""
        self.limits = limits
        self.opened_us = opened_us
        self.has_received_message = False
        self.last_activity_us = opened_us  # the last byte received or the last answer
        self.message_since_us = 0  # the first byte of the unfinished message; 0 if there is none

    def received(self, now_us: int, has_completed: bool, is_partial: bool) -> None:
        """Bytes were received: they completed a message or not, and an unfinished one remains or not."""
        self.last_activity_us = now_us
        if has_completed:
            self.has_received_message = True
            self.message_since_us = 0
        if not is_partial:
            self.message_since_us = 0
        elif not self.message_since_us:
            self.message_since_us = now_us

    def answered(self, now_us: int) -> None:
        """An answer was written."""
        self.last_activity_us = now_us

    def delivered(self, now_us: int) -> None:
        """The peer has received a part of an answer."""
        self.last_activity_us = now_us

    def deadline_us(self, has_open_requests: bool) -> int | None:
        """When the connection is ended unless something happens on it before; None while a request is open."""
        if has_open_requests:
            return None
        limits = self.limits
        if self.message_since_us:
            return min(self.last_activity_us + limits.stall_us, self.message_since_us + limits.message_us)
        return self.last_activity_us + (limits.idle_us if self.has_received_message else limits.first_message_us)

    def eviction_order(self, since_us: int) -> tuple[bool, bool, int]:
        """Sorts connections without an open request: those that matter least to their peers come first."""
        return self.is_receiving(since_us), self.has_received_message, self.last_activity_us

    def is_new(self, since_us: int) -> bool:
        """Whether it was opened after `since_us`, and no message has arrived yet."""
        return not self.has_received_message and self.opened_us > since_us

    def is_receiving(self, since_us: int) -> bool:
        """Whether a message is unfinished and the last byte or answer came after `since_us`."""
        return bool(self.message_since_us) and self.last_activity_us > since_us
