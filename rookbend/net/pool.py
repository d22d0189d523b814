"""Connections to caches, parents and the origin: multiplexed, bounded, closed when idle."""

from __future__ import annotations

import trio

from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.core.model import Attempt, Endpoint
from rookbend.interface import AttemptStatus
from rookbend.net.buffered_socket import Outbox
from rookbend.net.member_pool import MemberPool

IDLE_SHARE = 0.8  # closed after this share of the idle time, before the other side does
SPREAD_MOST = 600  # attempts a second up to which each has a connection of its own
SHARE_STEP = 25  # so many more make one more attempt share a connection before another is opened


class Pool:
    """The engine's backend on sockets."""

    def __init__(
        self,
        engine: Engine,
        counters: Counters,
        nursery: trio.Nursery,
        outbox: Outbox,
        max_streams: int,
        idle_close_us: int,
        most_connections: int,
    ):
        self.engine, self.counters, self.nursery, self.outbox = engine, counters, nursery, outbox
        self.adopt(max_streams, idle_close_us)
        self.members: dict[int, MemberPool] = {}
        self.sent = self.sent_before = 0  # attempts of this second, and of the one before
        self.open_connections, self.most_connections = 0, most_connections  # under way or open, to all members

    def adopt(self, max_streams: int, idle_close_us: int) -> None:
        """Other settings: connections opened before go on, bound by what holds now."""
        settings = self.engine.settings
        self.max_streams = max(1, max_streams)
        self.idle_us = int(IDLE_SHARE * idle_close_us)
        self.connect_timeout_us = settings.connect_timeout_us
        self.load_report_fields = settings.load_report_fields

    @property
    def written(self) -> int:
        """Attempts written whole: those that have ended, and those still out whose last byte has gone."""
        out = sum(pool.out_whole for pool in self.members.values())
        return self.counters.written + out

    @property
    def rate(self) -> int:
        """Attempts a second."""
        return max(self.sent, self.sent_before)

    @property
    def share(self) -> int:
        """How many attempts a connection takes before another is opened. Guards the CPU: each connection is
        read by itself, and at thousands of attempts a second one to each made a director too slow for all
        its requests."""
        return min(1 + max(0, self.rate - SPREAD_MOST) // SHARE_STEP, self.max_streams)

    def send(self, attempt: Attempt, entry: Endpoint) -> None:
        """See `Backend.send`."""
        self.sent += 1
        member_pool = self.members.get(attempt.server)
        if member_pool is None:
            member_pool = self.members[attempt.server] = MemberPool(self, entry)
        member_pool.send(attempt)

    def undo(self, attempt: Attempt) -> AttemptStatus:
        """See `Backend.undo`."""
        connection = attempt.connection
        if connection is None or connection.open.get(attempt.request.request_id) is not attempt:
            return AttemptStatus.CONNECT_FAILED  # never written: it waits for a connection, or has none
        return connection.member_pool.undo(connection, attempt)

    def is_out(self, attempt: Attempt) -> bool:
        """See `Backend.is_out`."""
        connection, rid = attempt.connection, attempt.request.request_id
        return connection is not None and connection.open.get(rid) is attempt and connection.whole(rid)

    def forget(self, server: int) -> None:
        """See `Backend.forget`."""
        member_pool = self.members.pop(server, None)
        if member_pool is not None:
            member_pool.retire()

    def close_idle(self, server: int) -> None:
        """See `Backend.close_idle`."""
        if server in self.members:
            self.members[server].close_idle(self.engine.clock.now())

    async def close_idle_connections(self) -> None:
        """Ends, each second, what was idle for its share of the idle time."""
        while True:
            await trio.sleep(1)
            self.sent_before, self.sent = self.sent, 0
            before = self.engine.clock.now() - self.idle_us
            for member_pool in list(self.members.values()):
                member_pool.close_idle(before)
