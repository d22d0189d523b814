"""Catching up with the coordinator, after a start or a long pause of the process.

The events in the configuration are as old as the start of the process at least. What has happened since counts as known
to the director, although only a stream of the coordinator brings it. Until a stream has begun and has brought them,
new requests are held (`core/held_requests.py`) and the director does not report that it is ready.

The protocol marks no end of the earlier events: they have arrived once the stream has been quiet for `QUIET_US` behind
an event or a comment, or has lasted for `MAX_DELIVERY_US`. A director that can't reach the coordinator serves after
`MAX_START_US` with what it knows, as one does that has lost it. A director that was stopped until its stream had ended
waits for `MAX_AFTER_PAUSE_US`: its list is not older than the pause.
"""

from __future__ import annotations

import math

import trio

from rookbend.core.engine import Engine

QUIET_US = 200_000
MAX_DELIVERY_US = 1_500_000  # the first comment comes within a second
MAX_START_US = 5_000_000  # with up to 4 s for the start of the process, ready within 10 s
MAX_AFTER_PAUSE_US = 1_000_000


class CatchUp:
    """Begins and ends the holding of requests."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._clock = engine.clock
        self._began_us = 0
        self._limit_us = 0
        self._changed = trio.Event()  # a catch-up has begun or ended
        self._delivered_by_us = 0

    @property
    def is_complete(self) -> bool:
        """Whether requests are passed on."""
        return not self._engine.held_requests.is_holding

    def begin(self, limit_us: int) -> None:
        """Holds new requests from now on, for `limit_us` at most."""
        self._began_us = self._clock.now()
        self._limit_us = limit_us
        self._changed.set()
        self._engine.held_requests.is_holding = True

    def stream_began(self) -> None:
        """A stream of the coordinator has begun."""
        self._delivered_by_us = self._clock.now() + MAX_DELIVERY_US

    def delivered_at_us(self, is_between_events: bool) -> int:
        """When the earlier events count as delivered if nothing more is received; `is_between_events` is false before
        the first event or comment, and within one."""
        if not is_between_events:
            return self._delivered_by_us
        return min(self._clock.now() + QUIET_US, self._delivered_by_us)

    def delivered(self) -> None:
        """The earlier events have been delivered: passes on the requests."""
        self._complete("caught_up")

    async def limit(self) -> None:
        """Ends each catch-up when its time is over; runs until cancelled."""
        while True:
            self._changed = trio.Event()
            ends_us = self._began_us + self._limit_us
            ends_s = math.inf if self.is_complete else self._clock.monotonic_at(ends_us)
            with trio.move_on_at(ends_s) as scope:
                await self._changed.wait()
            if scope.cancelled_caught and not self.is_complete:
                self._complete("catch_up_incomplete", "warning")

    def _complete(self, event: str, level: str = "info") -> None:
        self._changed.set()
        after_ms = (self._clock.now() - self._began_us) // 1000
        released = self._engine.held_requests.release()
        self._engine.log(event, level, after_ms=after_ms, released=released)
