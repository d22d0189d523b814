"""What the pool of one member uses of the pool of all members."""

from __future__ import annotations

from typing import Protocol

import trio

from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.net.write_scheduler import WriteScheduler


class PoolContext(Protocol):
    """The limits and the load shared by all connections to members."""

    engine: Engine
    counters: Counters
    nursery: trio.Nursery
    scheduler: WriteScheduler
    max_streams: int  # attempts in flight on one connection
    connect_timeout_us: int
    load_report_fields: tuple[str, ...]
    open_connections: int  # open or being opened, to all members
    max_connections: int  # the limit on `open_connections`

    @property
    def attempt_rate_per_s(self) -> int:
        """The rate of attempts to all members."""

    @property
    def streams_per_connection(self) -> int:
        """How many attempts share a connection before another is opened."""
