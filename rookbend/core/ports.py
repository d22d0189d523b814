"""Interfaces that the engine depends on: a router, a backend and a transport to peers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from rookbend.core.model import Attempt, Endpoint
from rookbend.interface import Action, AttemptStatus, Event


class RoutingPolicy(Protocol):
    """Decides what is done with each request."""

    def handle(self, now_us: int, event: Event) -> Iterable[Action]:
        """Handles one event and returns the actions to carry out, in order."""

    def needs_timer(self, token: int) -> bool:
        """Whether the policy still waits for the timer that it has set with this token."""

    def is_ejected(self, server: int, now_us: int) -> bool:
        """Whether the policy has ejected a server as an outlier."""


class Backend(Protocol):
    """Sends attempts to members."""

    def send(self, attempt: Attempt, endpoint: Endpoint) -> None:
        """Sends the attempt as soon as a connection is available; calls the engine's `finished` when it ends."""

    def abort(self, attempt: Attempt) -> AttemptStatus:
        """Aborts the attempt; returns TIMEOUT if it may have run, CONNECT_FAILED if it never did."""

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Whether the attempt was sent in full; if not, it can still be withheld from its member."""

    def disconnect(self, server: int) -> None:
        """Closes the connections to a member that has left or has another address."""

    def withhold_unsent(self) -> None:
        """Ends the attempts of which nothing was sent yet, and that may not be written any more."""

    def rewrite_unsent(self) -> None:
        """Writes the attempts of which nothing was sent yet again, with the time that they have left now."""

    def close_idle(self, server: int) -> None:
        """Closes the connections to a member that carry no attempt."""


class PeerTransport(Protocol):
    """Sends messages to other directors."""

    def send(self, peer: int | None, data: bytes) -> None:
        """Sends a datagram to one director by its number, or to all where `peer` is None."""
