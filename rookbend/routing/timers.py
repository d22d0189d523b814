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
        """The action that starts a timer. Only the newest timer of a request has an effect."""
        self.last_token += 1
        self.owners[self.last_token] = owner
        if type(owner) is Request:
            owner.timer_token = self.last_token
        return SetTimer(max(MIN_DELAY_US, int(delay_us)), self.last_token)

    def take(self, token: int) -> TimerOwner | None:
        """Remove and return the owner of a timer that has fired; None where there is none."""
        return self.owners.pop(token, None)
