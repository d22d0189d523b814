"""What the small TCP servers for operators and balancers have in common: a bound on clients, and a time by
which each is let go."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import trio

from rookbend.core.clock import Clock
from rookbend.net.acceptor import accept
from rookbend.net.buffered_socket import BufferedSocket, WriteScheduler, prepare
from rookbend.net.component import Component
from rookbend.net.listeners import Listeners
from rookbend.protocol.http_server import HttpRequest, HttpServerConnection

CLIENTS = 32
IDLE_US = 10_000_000


class SmallServer(Component):
    """`client(channel)` speaks to one client, to its end; `lasting` for one whose clients stay."""

    descriptors = CLIENTS + 1

    def __init__(
        self,
        address: tuple[str, int],
        clock: Clock,
        outbox: WriteScheduler,
        client: Callable[[BufferedSocket], Awaitable[None]],
        lasting: bool = False,
    ):
        self.wanted, self.clock, self.outbox = address, clock, outbox
        self.client, self.lasting = client, lasting
        self.clients = 0
        self.address: tuple[str, int] | None = None

    def open(self, listeners: Listeners) -> None:
        self.listener = listeners.tcp(self.wanted)
        self.address = self.listener.getsockname()[:2]

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._serve)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            await accept(self.listener, trio.CancelScope(), lambda sock: self._take(sock, nursery))

    def _take(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        if self.clients >= CLIENTS:
            return sock.close()
        self.clients += 1
        nursery.start_soon(self._client, BufferedSocket(prepare(sock), nursery, self.outbox))

    async def _client(self, channel: BufferedSocket) -> None:
        try:
            with trio.CancelScope() as scope:
                if not self.lasting:
                    scope.deadline = self.clock.monotonic_at(self.clock.now() + IDLE_US)
                await self.client(channel)
        finally:
            self.clients -= 1
            channel.send()
            channel.close()


Reply = tuple[int, bytes, str]


async def serve_http(channel: BufferedSocket, handle: Callable[[HttpRequest], Reply | Awaitable[Reply]]) -> None:
    """Answers each request of a connection by `handle`: (status, body, content type), or one to wait for."""
    http = HttpServerConnection()
    while not http.ended:
        request = http.feed(await channel.receive())
        while request is not None:
            reply = handle(request)
            channel.write(http.respond(*(reply if isinstance(reply, tuple) else await reply)))
            request = None if http.ended else http.next_request()
        if http.error_response:
            channel.write(http.error_response)
