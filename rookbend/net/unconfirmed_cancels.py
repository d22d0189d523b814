"""Attempts that wait until their member has certainly read the cancel of the request's earlier attempt."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.core.model import Attempt
from rookbend.net.connection_set import ConnectionSet
from rookbend.net.member_connection import MemberConnection
from rookbend.net.unsent_attempts import split_attempts


class UnconfirmedCancels:
    """The waiting attempts of one member; `finish_if_unused` closes a drained connection once nothing is in flight."""

    def __init__(self, connections: ConnectionSet, finish_if_unused: Callable[[MemberConnection], None]) -> None:
        self.waiting: list[Attempt] = []
        self._connections = connections
        self._finish_if_unused = finish_if_unused

    def must_wait(self, attempt: Attempt) -> bool:
        """Drains the connections on which this request was cancelled; returns whether there are any.

        While there are, the member may still process the earlier attempt, and a new one would make it process the
        request twice: a cancel on one connection and a command on another are not ordered, and the command was
        read first in one case of three. The member's close of the drained connection proves that it has read the
        cancel.
        """
        request_id = attempt.request.request_id
        is_unconfirmed = False
        for connection in self._connections:
            if request_id in connection.cancelled_ids:
                is_unconfirmed = True
                connection.stop_accepting()
                self._finish_if_unused(connection)
        return is_unconfirmed

    def take_confirmed(self) -> list[Attempt]:
        """Removes the attempts that need not wait any more."""
        return [
            attempt for attempt in self.take(lambda attempt: not self.must_wait(attempt)) if not attempt.is_finished
        ]

    def take(self, is_taken: Callable[[Attempt], bool]) -> list[Attempt]:
        """Removes the attempts for which `is_taken` returns true."""
        taken, self.waiting = split_attempts(self.waiting, is_taken)
        return taken
