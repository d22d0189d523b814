"""A TCP server for operators and balancers that limits the number of clients."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import trio

from rookbend.net.acceptor import accept
from rookbend.net.buffered_socket import BufferedSocket, set_socket_options
from rookbend.net.component import Component, ComponentContext
from rookbend.net.listeners import Listeners

MAX_CLIENTS = 32


class BoundedServer(Component):
    """Serves up to `MAX_CLIENTS` clients at a time; further connections are closed at once."""

    descriptors = MAX_CLIENTS + 1

    def __init__(
        self,
        context: ComponentContext,
        name: str,
        address: tuple[str, int],
        serve_client: Callable[[BufferedSocket], Awaitable[None]],
    ):
        """`name` identifies the server in the log. `serve_client` serves one client, and limits the time for which a
        client that does nothing stays; the connection is closed when it returns."""
        self.clock = context.clock
        self.clients = 0
        self.address: tuple[str, int] | None = None  # set by `open`
        self._configured_address = address
        self._name = name
        self._containment = context.containment
        self._write_scheduler = context.write_scheduler
        self._serve_client = serve_client

    def open(self, listeners: Listeners) -> None:
        """Opens the listener."""
        self._listener = listeners.tcp(self._configured_address)
        self.address = self._listener.getsockname()[:2]

    def start(self, nursery: trio.Nursery) -> None:
        """Starts to accept clients."""
        nursery.start_soon(self._serve)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            await accept(self._listener, trio.CancelScope(), lambda sock: self._accepted(sock, nursery))

    def _accepted(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        if self.clients >= MAX_CLIENTS:
            sock.close()
            return
        self.clients += 1
        nursery.start_soon(self._run_client, BufferedSocket(set_socket_options(sock), nursery, self._write_scheduler))

    async def _run_client(self, channel: BufferedSocket) -> None:
        try:
            with self._containment.contain(self._name):
                await self._serve_client(channel)
        finally:
            self.clients -= 1
            channel.send()
            channel.close()
