"""The connections to one member: which one takes an attempt, and whether another may be opened."""

from __future__ import annotations

from collections.abc import Iterator

from rookbend.core.model import Attempt
from rookbend.net.member_connection import MemberConnection
from rookbend.net.pool_context import PoolContext

MAX_CONNECTIONS = 64  # to one member, where the budget of all together allows
MAX_RATE_FOR_NEW_CONNECTIONS_PER_S = 1500  # attempts up to which those that need one get a new connection
NEW_CONNECTION_AGE_US = 100_000  # a connection not used yet counts as new for so long


class ConnectionSet:
    """The connections to one member, open and being opened."""

    def __init__(self, context: PoolContext) -> None:
        self.context = context
        self.open: list[MemberConnection] = []  # the one used last comes last
        self.connecting = 0
        self.backoff_until_us = 0

    def __iter__(self) -> Iterator[MemberConnection]:
        return iter(self.open)

    def __len__(self) -> int:
        return len(self.open)

    @property
    def sent_in_flight(self) -> int:
        """Attempts in flight whose last byte was sent."""
        return sum(connection.is_sent(pending) for connection in self.open for pending in connection.in_flight.values())

    def may_connect(self) -> bool:
        """Whether another connection may be opened now."""
        context = self.context
        return (
            len(self.open) + self.connecting < MAX_CONNECTIONS
            and context.open_connections < context.max_connections
            and context.engine.clock.now() >= self.backoff_until_us
        )

    def select(self, attempt: Attempt) -> MemberConnection | None:
        """The connection that the attempt is written to; None where it waits for one.

        One with nothing in flight, while the load is low enough for a connection to each attempt. Guards against
        a malformed answer, or one that never comes: the connection is of no further use then, and all that is
        in flight on it is lost with it.
        """
        context, request_id = self.context, attempt.request.request_id
        least_loaded: MemberConnection | None = None
        answered_before: MemberConnection | None = None
        max_in_flight = context.streams_per_connection
        opened_since_us = self._opened_since_us() if attempt.new_connection else 0
        for connection in reversed(self.open):  # the one used last first: spare ones age and close
            if opened_since_us and not connection.is_new(opened_since_us):
                continue
            if connection.accepts(request_id) and not connection.closed_by_peer():
                if request_id in connection.answered_ids:
                    answered_before = connection  # a second copy of that answer would be taken for this attempt's
                    continue
                if len(connection.in_flight) < max_in_flight:
                    return connection
                if least_loaded is None or len(connection.in_flight) < len(least_loaded.in_flight):
                    least_loaded = connection
        if self.may_connect():
            return None
        shared = least_loaded or answered_before
        return shared if shared is not None and len(shared.in_flight) < context.max_streams else None

    def _opened_since_us(self) -> int:
        """When a connection must have been opened at the earliest, for an attempt that needs a new one; 0
        where it gets any."""
        context = self.context
        if context.attempt_rate_per_s > MAX_RATE_FOR_NEW_CONNECTIONS_PER_S or not self.may_connect():
            return 0
        return context.engine.clock.now() - NEW_CONNECTION_AGE_US

    def mark_used(self, connection: MemberConnection) -> None:
        """Moves a connection to the end of the order in which they were used."""
        self.open.remove(connection)
        self.open.append(connection)

    def close_idle(self, before_us: int) -> None:
        """Closes the connections on which nothing is in flight, nor was written after `before_us`."""
        for connection in self.open:
            if connection.has_expired(before_us):
                connection.abort()
