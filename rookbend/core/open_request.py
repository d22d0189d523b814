"""A request that is owed its answer, and what the engine stands on: the backend and the peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rookbend.core.model import Answer, Attempt, Endpoint, Request
from rookbend.interface import AttemptStatus, Member


class Backend(Protocol):
    """Carries attempts to members."""

    def send(self, attempt: Attempt, entry: Endpoint) -> None:
        """Sends the attempt as soon as a connection takes it; the engine hears of its end by `finished`."""

    def undo(self, attempt: Attempt) -> AttemptStatus:
        """Gives the attempt up; tells whether it may have run (TIMEOUT) or never did (CONNECT_FAILED)."""

    def is_out(self, attempt: Attempt) -> bool:
        """Whether the attempt has gone out whole; what has not can still be kept from its member."""

    def forget(self, server: int) -> None:
        """The member has gone, or has another address."""

    def close_idle(self, server: int) -> None:
        """Closes the connections to a member on which nothing is out."""


class Peers(Protocol):
    """Carries messages to other directors."""

    def send(self, peer: int | None, data: bytes) -> None:
        """Sends a datagram to one director by its number, or to all."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that is owed its final answer. `write` says that it may not simply be repeated."""

    id: int
    request: Request
    reply: Callable[[Answer], None]
    write: bool
    most: int  # attempts at most
    deadline: int = 0
    attempts: int = 0
    flight: Attempt | None = None  # the attempt that is out
    may_have_run: bool = False
    ran_at_us: int = 0  # when the first attempt that may have run was decided, and where it went
    ran_on: Member | None = None
    reset: bool = False  # an attempt was lost to a reset
    client_left: bool = False  # its client may have gone: no further attempt begins

    @property
    def may_be_refused(self) -> bool:
        """Whether another try does no harm: what may not simply be repeated has not run, nor is it out."""
        return not (self.write and (self.may_have_run or self.flight is not None))

    def __post_init__(self):
        self.deadline = self.request.deadline_us
