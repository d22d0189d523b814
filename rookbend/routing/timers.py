"""The router's timers, with the owner of each token."""

from __future__ import annotations

from enum import Enum

from rookbend.interface import SetTimer
from rookbend.routing.request_state import Attempt, Request

MIN_DELAY_US = 1


class RouterTimer(Enum):
    """Timers of the router itself."""

    RESUBSCRIBE_MEMBERSHIP = "resubscribe membership"


TimerOwner = Request | Attempt | RouterTimer


class TimerTable:
    """Owners of the running timers, by token."""

    __slots__ = ("last_token", "owners")

    def __init__(self) -> None:
        self.last_token = 0
        self.owners: dict[int, TimerOwner] = {}

    def start(self, delay_us: float, owner: TimerOwner) -> SetTimer:
        """The action that starts a timer. Only the newest timer of a request or an attempt has an effect."""
        self.last_token += 1
        if not isinstance(owner, RouterTimer):
            self.discard(owner)
            owner.timer_token = self.last_token
        self.owners[self.last_token] = owner
        return SetTimer(max(MIN_DELAY_US, int(delay_us)), self.last_token)

    def discard(self, owner: Request | Attempt) -> None:
        """Forget the timer of a request or an attempt that has ended, so that neither is held until it fires."""
        if owner.timer_token is not None:
            self.owners.pop(owner.timer_token, None)

    def take(self, token: int) -> TimerOwner | None:
        """Remove and return the owner of a timer that has fired; None where there is none."""
        return self.owners.pop(token, None)
