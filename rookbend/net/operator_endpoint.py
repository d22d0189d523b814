"""The operators' HTTP listener: one request per connection, each answered within a second.

- Connections that send nothing or stop within a request hold descriptors. They are limited separately from the
  platform's clients and closed within `INACTIVITY_LIMITS`; when all places are taken, a new one replaces the one that
  has been inactive for longest.
- A delayed event loop delays answers too. Therefore an answer takes a single read of state in memory, and no request
  waits for another.
- Closing a socket over unread bytes sends a reset, which can discard the answer: see `lingering_close`.
"""

from __future__ import annotations

import socket

import trio

from rookbend.core.clock import Clock
from rookbend.core.inactivity import ConnectionActivity, InactivityLimits
from rookbend.net.acceptor import accept
from rookbend.net.buffered_socket import BufferedSocket, set_socket_options
from rookbend.net.component import Component, ComponentContext
from rookbend.net.lingering_close import close_without_reset, finish_and_linger
from rookbend.protocol.http_server import HttpRequest, HttpServerConnection
from rookbend.protocol.operator_api import OperatorApi

MAX_CONNECTIONS = 24
INACTIVITY_LIMITS = InactivityLimits(
    first_message_us=1_000_000,
    idle_us=1_000_000,
    stall_us=1_000_000,
    message_us=10_000_000,
)
ANSWER_TIMEOUT_US = 10_000_000  # for the client to read its answer


class OperatorConnection:
    """The connection of one operator's request."""

    def __init__(self, channel: BufferedSocket, clock: Clock) -> None:
        self.channel = channel
        self.activity = ConnectionActivity(INACTIVITY_LIMITS, clock.now())
        self.scope = trio.CancelScope()
        self.is_answered = False  # the kernel has taken the answer
        self._clock = clock

    async def read_request(self, http: HttpServerConnection) -> HttpRequest | None:
        """The request, or None if the connection or its time has ended before it was complete."""
        request = None
        while request is None and not http.ended:
            deadline_us = self.activity.deadline_us(has_open_requests=False)
            assert deadline_us is not None
            self.scope.deadline = self._clock.monotonic_at(deadline_us)
            request = http.feed(await self.channel.receive())
            self.activity.received(self._clock.now(), request is not None, http.has_partial)
        return request

    async def finish(self) -> None:
        """Waits until the answer is sent and the client has closed, or has had time to."""
        self.scope.deadline = self._clock.monotonic_at(self._clock.now() + ANSWER_TIMEOUT_US)
        await self.channel.sent()
        self.is_answered = True
        await finish_and_linger(self.channel, self._clock)


class OperatorEndpoint(Component):
    """Accepts connections, whose requests `api` answers."""

    descriptors = MAX_CONNECTIONS + 2

    def __init__(self, context: ComponentContext, listener: socket.socket, api: OperatorApi):
        self.listener = listener
        self.api = api
        self.clock = context.clock
        self.write_scheduler = context.write_scheduler
        self._containment = context.containment
        self.address = listener.getsockname()[:2]
        self.connections: set[OperatorConnection] = set()
        self.answered = 0
        self._accept_scope = trio.CancelScope()

    def start(self, nursery: trio.Nursery) -> None:
        """Starts to accept connections."""
        nursery.start_soon(self._serve)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            await accept(self.listener, self._accept_scope, lambda sock: self._accepted(sock, nursery))

    def finish_all(self) -> None:
        """Accepts what waits in the listener's backlog, and nothing after it."""
        self._accept_scope.cancel()

    @property
    def unfinished(self) -> int:
        """Connections without an answer: a request may be on its way on each of them. And those still receiving one."""
        return sum(
            not connection.is_answered or connection.channel.undelivered_bytes > 0 for connection in self.connections
        )

    def _accepted(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            replaced = min(self.connections, key=lambda connection: connection.activity.last_activity_us)
            self.connections.remove(replaced)
            replaced.scope.cancel()
            replaced.channel.close()  # frees its descriptor at once, as the new connection already has one
        channel = BufferedSocket(set_socket_options(sock), nursery, self.write_scheduler)
        connection = OperatorConnection(channel, self.clock)
        self.connections.add(connection)
        nursery.start_soon(self._serve_client, connection)

    async def _serve_client(self, connection: OperatorConnection) -> None:
        try:
            with self._containment.contain("operator"), connection.scope:
                await self._answer(connection)
        finally:
            self.connections.discard(connection)
            close_without_reset(connection.channel)

    async def _answer(self, connection: OperatorConnection) -> None:
        http = HttpServerConnection()
        request = await connection.read_request(http)
        if request is not None:
            connection.channel.write(http.respond(*self.api.answer(request), close=True))
            self.answered += 1
        elif http.error_response:
            connection.channel.write(http.error_response)
        else:
            return
        await connection.finish()
