"""The connections to one member: selects one for an attempt, and limits how many are opened."""

from __future__ import annotations

from collections.abc import Iterator

from rookbend.core.model import Attempt
from rookbend.net.member_connection import MemberConnection
from rookbend.net.pool_context import PoolContext

MAX_CONNECTIONS = 64  # to one member, within the limit on all connections together
MAX_RATE_FOR_NEW_CONNECTIONS_PER_S = 1500  # above this attempt rate no attempt gets a new connection of its own
NEW_CONNECTION_AGE_US = 100_000  # an unused connection counts as new for this long after it was opened


class ConnectionSet:
    """The connections to one member, open and being opened."""

    def __init__(self, context: PoolContext) -> None:
        self.context = context
        self.open: list[MemberConnection] = []  # in the order of last use, the latest last
        self.connecting = 0
        self.backoff_until_us = 0

    def __iter__(self) -> Iterator[MemberConnection]:
        return iter(self.open)

    def __len__(self) -> int:
        return len(self.open)

    @property
    def sent_in_flight(self) -> int:
        """The number of attempts in flight whose last byte was sent."""
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
        """The connection that the attempt is written to; None if it has to wait for one.

        At a low attempt rate this is a connection with nothing in flight. After a malformed answer, or one that
        never comes, a connection can't be used any further, and every attempt in flight on it is lost.
        """
        context, request_id = self.context, attempt.request.request_id
        least_loaded: MemberConnection | None = None
        answered_before: MemberConnection | None = None
        max_in_flight = context.streams_per_connection
        opened_since_us = self._opened_since_us() if attempt.new_connection else 0
        for connection in reversed(self.open):  # latest first, so that spare connections stay idle and are closed
            if opened_since_us and not connection.is_new(opened_since_us):
                continue
            if connection.accepts(request_id) and not connection.closed_by_peer():
                if request_id in connection.answered_ids:
                    answered_before = connection  # see `MemberPool._end_ambiguous`
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
        """For an attempt that needs a new connection, the earliest time at which that may have been opened; 0 if the
        attempt gets any connection, since the attempt rate is too high or no connection may be opened."""
        context = self.context
        if context.attempt_rate_per_s > MAX_RATE_FOR_NEW_CONNECTIONS_PER_S or not self.may_connect():
            return 0
        return context.engine.clock.now() - NEW_CONNECTION_AGE_US

    def mark_used(self, connection: MemberConnection) -> None:
        """Makes this connection the latest used one."""
        self.open.remove(connection)
        self.open.append(connection)

    def close_idle(self, before_us: int) -> None:
        """Closes the connections that have nothing in flight and were last written to at `before_us` or earlier."""
        for connection in self.open:
            if connection.has_expired(before_us):
                connection.abort()
