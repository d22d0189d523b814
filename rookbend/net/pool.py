"""Connections to caches, parents and the origin: multiplexed, limited in number, closed when idle."""

from __future__ import annotations

import trio

from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.core.model import Attempt, Endpoint
from rookbend.interface import AttemptStatus
from rookbend.net.member_connection import MemberConnection
from rookbend.net.member_pool import MemberPool
from rookbend.net.unsent_attempts import withhold_all
from rookbend.net.write_scheduler import WriteScheduler

IDLE_CLOSE_RATIO = 0.8  # of the members' idle timeout, so that the director closes first
MAX_UNSHARED_RATE_PER_S = 600  # up to this attempt rate, each attempt has a connection of its own
RATE_PER_EXTRA_STREAM_PER_S = 25  # for each such step above it, one more attempt shares a connection


class Pool:
    """The engine's backend over TCP: see `rookbend.core.ports.Backend`."""

    def __init__(
        self,
        engine: Engine,
        counters: Counters,
        nursery: trio.Nursery,
        scheduler: WriteScheduler,
        max_streams: int,
        idle_close_us: int,
        max_connections: int,
    ) -> None:
        """`max_streams` limits the attempts on one connection, `max_connections` the connections to all members;
        `idle_close_us` is the time after which members close idle connections."""
        self.engine = engine
        self.counters = counters
        self.nursery = nursery
        self.scheduler = scheduler
        self.apply_settings(max_streams, idle_close_us)
        self.members: dict[int, MemberPool] = {}
        self.sent_this_second = 0
        self.sent_last_second = 0
        self.open_connections = 0  # open or being opened, to all members
        self.max_connections = max_connections

    def apply_settings(self, max_streams: int, idle_close_us: int) -> None:
        """Applies new settings, also to open connections."""
        settings = self.engine.settings
        self.max_streams = max(1, max_streams)
        self.idle_close_us = int(IDLE_CLOSE_RATIO * idle_close_us)
        self.connect_timeout_us = settings.connect_timeout_us
        self.load_report_fields = settings.load_report_fields

    @property
    def written(self) -> int:
        """The number of attempts sent completely: ended ones, and those in flight whose last byte was sent."""
        in_flight = sum(member_pool.connections.sent_in_flight for member_pool in self.members.values())
        return self.counters.written + in_flight

    @property
    def attempt_rate_per_s(self) -> int:
        """Attempts to all members: the higher count of this second and the previous one."""
        return max(self.sent_this_second, self.sent_last_second)

    @property
    def streams_per_connection(self) -> int:
        """How many attempts share a connection before another is opened.

        Each connection is read separately, which costs CPU time: at thousands of attempts per second, one
        connection per attempt made a director too slow for all its requests.
        """
        excess_per_s = max(0, self.attempt_rate_per_s - MAX_UNSHARED_RATE_PER_S)
        return min(1 + excess_per_s // RATE_PER_EXTRA_STREAM_PER_S, self.max_streams)

    def send(self, attempt: Attempt, endpoint: Endpoint) -> None:
        """See `Backend.send`."""
        self.sent_this_second += 1
        member_pool = self.members.get(attempt.server)
        if member_pool is None:
            member_pool = self.members[attempt.server] = MemberPool(self, endpoint)
        member_pool.send(attempt)

    def abort(self, attempt: Attempt) -> AttemptStatus:
        """See `Backend.abort`."""
        connection = self._connection_of(attempt)
        if connection is None:
            return AttemptStatus.CONNECT_FAILED  # never written: it waits for a connection, or its connection has ended
        return connection.owner.cancel(connection, attempt)

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """See `Backend.is_fully_sent`."""
        connection = self._connection_of(attempt)
        return connection is not None and connection.is_sent(connection.in_flight[attempt.request.request_id])

    @staticmethod
    def _connection_of(attempt: Attempt) -> MemberConnection | None:
        """The connection on which the attempt is in flight, or None."""
        connection = attempt.connection
        if not isinstance(connection, MemberConnection):
            return None
        pending = connection.in_flight.get(attempt.request.request_id)
        return connection if pending is not None and pending.attempt is attempt else None

    def disconnect(self, server: int) -> None:
        """See `Backend.disconnect`."""
        member_pool = self.members.pop(server, None)
        if member_pool is not None:
            member_pool.retire()

    def withhold_unsent(self) -> None:
        """See `Backend.withhold_unsent`."""
        engine = self.engine
        taken = [
            attempt
            for member_pool in self.members.values()
            for attempt in member_pool.take_unsent(lambda attempt: not engine.may_write(attempt))
        ]
        withhold_all(engine, taken)

    def rewrite_unsent(self) -> None:
        """See `Backend.rewrite_unsent`."""
        for member_pool in list(self.members.values()):
            member_pool.rewrite_unsent()

    def close_idle(self, server: int) -> None:
        """See `Backend.close_idle`."""
        if server in self.members:
            self.members[server].close_idle(self.engine.clock.now())

    async def close_idle_connections(self) -> None:
        """Each second, closes idle connections before the members do and rolls the rate; runs until cancelled."""
        while True:
            await trio.sleep(1)
            self.sent_last_second, self.sent_this_second = self.sent_this_second, 0
            before_us = self.engine.clock.now() - self.idle_close_us
            for member_pool in list(self.members.values()):
                member_pool.close_idle(before_us)
