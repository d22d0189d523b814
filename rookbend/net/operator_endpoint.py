"""The operators' HTTP listener: one request per connection, each answered within a second.

- Connections that send nothing or only a part of a request hold descriptors. They are limited separately from the
  platform's clients and closed after `REQUEST_TIMEOUT_US`; when all places are taken, a new one replaces the oldest.
- A delayed event loop delays answers too. Therefore an answer takes a single read of state in memory, and no request
  waits for another.
- Closing a socket over unread bytes sends a reset, which can discard the answer. Therefore the endpoint closes its
  sending side after the answer, and reads what the client sent beyond its request for a moment before it closes.
"""

from __future__ import annotations

import socket

import trio

from rookbend.net.acceptor import accept
from rookbend.net.buffered_socket import BufferedSocket, set_socket_options
from rookbend.net.component import Component, ComponentContext
from rookbend.protocol.http_server import HttpServerConnection
from rookbend.protocol.operator_api import OperatorApi

MAX_CONNECTIONS = 24
REQUEST_TIMEOUT_US = 1_000_000  # a request that is not complete by then is not answered
LINGER_TIMEOUT_US = 250_000  # how long bytes beyond the request are read after the answer


class OperatorEndpoint(Component):
    """Accepts connections, whose requests `api` answers; `connections` is in the order of their accept."""

    descriptors = MAX_CONNECTIONS + 2

    def __init__(self, context: ComponentContext, listener: socket.socket, api: OperatorApi):
        self.listener = listener
        self.api = api
        self.clock = context.clock
        self.write_scheduler = context.write_scheduler
        self._containment = context.containment
        self.address = listener.getsockname()[:2]
        self.connections: dict[BufferedSocket, trio.CancelScope] = {}
        self.answered = 0

    def start(self, nursery: trio.Nursery) -> None:
        """Starts to accept connections."""
        nursery.start_soon(self._serve)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            await accept(self.listener, trio.CancelScope(), lambda sock: self._accepted(sock, nursery))

    def _accepted(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            self.connections.pop(oldest).cancel()
            oldest.close()  # frees its descriptor at once, as the new connection already has one
        channel = BufferedSocket(set_socket_options(sock), nursery, self.write_scheduler)
        scope = trio.CancelScope(deadline=self._deadline_in(REQUEST_TIMEOUT_US))
        self.connections[channel] = scope
        nursery.start_soon(self._serve_client, channel, scope)

    async def _serve_client(self, channel: BufferedSocket, scope: trio.CancelScope) -> None:
        try:
            with self._containment.contain("operator"), scope:
                await self._answer(channel, scope)
        finally:
            self.connections.pop(channel, None)
            channel.close()

    async def _answer(self, channel: BufferedSocket, scope: trio.CancelScope) -> None:
        http = HttpServerConnection()
        request = None
        while request is None and not http.ended:
            request = http.feed(await channel.receive())
        if request is not None:
            channel.write(http.respond(*self.api.answer(request), close=True))
            self.answered += 1
        elif http.error_response:
            channel.write(http.error_response)
        else:
            return
        channel.finish()
        scope.deadline = self._deadline_in(LINGER_TIMEOUT_US)
        while await channel.receive():
            pass

    def _deadline_in(self, delay_us: int) -> float:
        return self.clock.monotonic_at(self.clock.now() + delay_us)
