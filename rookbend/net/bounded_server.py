"""A TCP server for operators and balancers that limits the number of clients."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio

from rookbend.net.acceptor import accept
from rookbend.net.buffered_socket import BufferedSocket, set_socket_options
from rookbend.net.component import Component, ComponentContext
from rookbend.net.lingering_close import close_without_reset, finish_and_linger
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
        self.clients: set[BufferedSocket] = set()
        self.open_exchanges = 0  # requests received whole whose answers the kernel has not taken yet
        self.address: tuple[str, int] | None = None  # set by `open`
        self._configured_address = address
        self._name = name
        self._containment = context.containment
        self._write_scheduler = context.write_scheduler
        self._serve_client = serve_client
        self._accept_scope = trio.CancelScope()

    def open(self, listeners: Listeners) -> None:
        """Opens the listener."""
        self._listener = listeners.tcp(self._configured_address)
        self.address = self._listener.getsockname()[:2]

    def start(self, nursery: trio.Nursery) -> None:
        """Starts to accept clients."""
        nursery.start_soon(self._serve)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            await accept(
                self._listener,
                self._accept_scope,
                lambda sock: self._accepted(sock, nursery),
                lambda: not self.has_successor,
            )

    def finish_all(self) -> None:
        """Accepts what waits in the listener's backlog, and nothing after it."""
        if not self.has_successor:
            self._accept_scope.cancel()

    def _accepted(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        if len(self.clients) >= MAX_CLIENTS:
            sock.close()
            return
        channel = BufferedSocket(set_socket_options(sock), nursery, self._write_scheduler)
        self.clients.add(channel)
        nursery.start_soon(self._run_client, channel)

    @contextmanager
    def exchange(self) -> Iterator[None]:
        """The time from a request that was received whole to its answer, which a drain waits for."""
        self.open_exchanges += 1
        try:
            yield
        finally:
            self.open_exchanges -= 1

    @property
    def unfinished(self) -> int:
        """Requests without an answer, and clients that have not received an answer yet."""
        return self.open_exchanges + sum(channel.undelivered_bytes > 0 for channel in self.clients)

    async def _run_client(self, channel: BufferedSocket) -> None:
        try:
            with self._containment.contain(self._name):
                await self._serve_client(channel)
                await finish_and_linger(channel, self.clock)
        finally:
            self.clients.remove(channel)
            close_without_reset(channel)
