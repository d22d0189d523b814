"""The driver of an HTTP connection to this director."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager

import trio

from rookbend.core.clock import Clock
from rookbend.core.inactivity import ConnectionActivity, InactivityLimits
from rookbend.net.buffered_socket import BufferedSocket
from rookbend.protocol.http_server import HttpRequest, HttpResponse, HttpServerConnection

INACTIVITY_LIMITS = InactivityLimits(
    first_message_us=10_000_000,
    idle_us=10_000_000,
    stall_us=10_000_000,
    message_us=10_000_000,
)

HttpHandler = Callable[[HttpRequest], HttpResponse | Awaitable[HttpResponse]]
Exchange = Callable[[], AbstractContextManager[None]]


class _ConnectionEndedError(Exception):
    """The client was inactive for too long."""


async def serve_http(channel: BufferedSocket, handle: HttpHandler, clock: Clock, exchange: Exchange) -> None:
    """Answers the requests of a connection in order, until it ends or its client is inactive for too long.

    A request that is being handled has no time limit here: its handler ends it. The context of `exchange` is entered
    for the time from a whole request to its answer.
    """
    try:
        await _Connection(channel, handle, clock, exchange).run()
    except _ConnectionEndedError:
        return


class _Connection:
    def __init__(self, channel: BufferedSocket, handle: HttpHandler, clock: Clock, exchange: Exchange) -> None:
        self._channel = channel
        self._handle = handle
        self._exchange = exchange
        self._clock = clock
        self._http = HttpServerConnection()
        self._activity = ConnectionActivity(INACTIVITY_LIMITS, clock.now())

    async def run(self) -> None:
        http = self._http
        while not http.ended:
            request = http.feed(await self._receive())
            self._activity.received(self._clock.now(), request is not None, http.has_partial)
            while request is not None:
                with self._exchange():
                    await self._answer(request)
                request = None if http.ended else http.next_request()
            if http.error_response:
                await self._send(http.error_response)

    async def _answer(self, request: HttpRequest) -> None:
        response = self._handle(request)
        if not isinstance(response, HttpResponse):
            response = await response
        await self._send(self._http.respond(*response))

    async def _receive(self) -> bytes:
        deadline_us = self._activity.deadline_us(has_open_requests=False)
        assert deadline_us is not None
        with trio.move_on_at(self._clock.monotonic_at(deadline_us)):
            return await self._channel.receive()
        raise _ConnectionEndedError

    async def _send(self, data: bytes) -> None:
        """Returns once the kernel has taken the bytes: what a client does not read is not kept in memory."""
        self._channel.write(data)
        with trio.move_on_at(self._clock.monotonic_at(self._clock.now() + INACTIVITY_LIMITS.message_us)):
            await self._channel.sent()
            self._activity.answered(self._clock.now())
            return
        raise _ConnectionEndedError
