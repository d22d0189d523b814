"""Reads an answered call of the coordinator, waiting or without waiting."""

from __future__ import annotations

import os

import trio

from rookbend.core.clock import Clock
from rookbend.net.coordinator_calls import AnsweredCall
from rookbend.protocol.event_stream import StreamItem

READ_BYTES = 65536


class StreamReader:
    """The items of one stream. `is_ended` is set once a read without waiting has met the end of the connection."""

    def __init__(self, call: AnsweredCall, clock: Clock) -> None:
        self.is_ended = False
        self._socket = call.connection.socket
        self._connection = call.connection
        self._events = call.events
        self._clock = clock

    @property
    def is_between_events(self) -> bool:
        """Whether what was received so far has a first event or comment, and does not end within one."""
        return self._events.has_body and not self._events.has_partial_event

    async def receive_until(self, at_us: int) -> list[StreamItem] | None:
        """The items of the next bytes; None if there are none by this time. Raises one of CALL_ERRORS."""
        with trio.move_on_at(self._clock.monotonic_at(at_us)):
            return self._events.feed(bytes(await self._connection.receive_some(READ_BYTES)))
        # The time may have passed while the process stood still, with bytes in the socket.
        data = self._read_now()
        return self._events.feed(data) if data else None

    def receive_now(self) -> list[StreamItem]:
        """The items that have arrived. Raises StreamError if they are not a stream of events."""
        items: list[StreamItem] = []
        while data := self._read_now():
            items += self._events.feed(data)
        return items

    def _read_now(self) -> bytes:
        """The bytes that can be read without waiting; empty if there are none, or at the end of the connection."""
        try:
            data = os.read(self._socket.fileno(), READ_BYTES)
        except BlockingIOError:
            return b""
        except OSError:
            data = b""  # the task that waits for this connection reads the end of it too
        self.is_ended = not data
        return data
