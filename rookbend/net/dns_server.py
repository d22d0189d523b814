"""The driver of the DNS front: its UDP and TCP servers."""

from __future__ import annotations

import contextlib
import socket
from typing import Any

import dns.message
import trio

from rookbend.fronts.dns import DnsFront
from rookbend.fronts.dns_lookups import Respond
from rookbend.net.acceptor import accept
from rookbend.net.buffered_socket import BufferedSocket, set_socket_options
from rookbend.net.component import Component, ComponentContext
from rookbend.net.dns_resolver import ResolverClient
from rookbend.net.dns_tcp_client import DnsTcpClient
from rookbend.net.lingering_close import close_without_reset
from rookbend.net.listeners import Listeners
from rookbend.protocol.dns import MAX_MESSAGE_BYTES, encode_reply

MAX_TCP_CLIENTS = 64
TCP_RECEIVE_BYTES = 2048  # read at a time: some dozen queries, then others have their turn
RESOLVER_DESCRIPTORS = 32  # concurrent lookups at the resolver
BIND_ATTEMPTS = 20


def bind_tcp_and_udp(listeners: Listeners, address: tuple[str, int]) -> tuple[socket.socket, socket.socket]:
    """A TCP listener and a UDP socket on the same port; port 0 selects one that is free for both."""
    for attempts_left in reversed(range(BIND_ATTEMPTS)):
        tcp = listeners.tcp(address)
        try:
            return tcp, listeners.udp(tcp.getsockname()[:2])
        except OSError:
            tcp.close()
            # The port that the system chose for TCP may be in use for UDP: try another one.
            if address[1] or not attempts_left:
                raise
    raise AssertionError("not reached")


class DnsServer(Component):
    """Serves DNS over UDP and TCP on one port."""

    descriptors = MAX_TCP_CLIENTS + RESOLVER_DESCRIPTORS

    def __init__(
        self,
        context: ComponentContext,
        front: DnsFront,
        resolver: ResolverClient,
        address: tuple[str, int],
    ):
        self.front = front
        self.clients: set[DnsTcpClient] = set()
        self._accept_scope = trio.CancelScope()
        self._resolver = resolver
        self._clock = context.clock
        self._containment = context.containment
        self._configured_address = address
        self._write_scheduler = context.write_scheduler

    def open(self, listeners: Listeners) -> None:
        """Binds both sockets; `address` is then the bound address."""
        self.tcp, self.udp = bind_tcp_and_udp(listeners, self._configured_address)
        self.address: tuple[str, int] = self.tcp.getsockname()[:2]

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the servers and the resolver client."""
        self._resolver.start(nursery)
        nursery.start_soon(self.serve_udp)
        nursery.start_soon(self.serve_tcp)

    def stop_accepting(self) -> None:
        """Refuses new lookups; accepts the clients in the listener's backlog, and none after them."""
        self.front.closing = True
        if not self.has_successor:
            self._accept_scope.cancel()

    def close_idle_clients(self) -> None:
        """See `DnsTcpClient.finish_if_idle`."""
        for client in self.clients:
            client.finish_if_idle()

    def finish_all(self) -> None:
        """Replies to all lookups in progress."""
        self.front.completion.finish_all()

    @property
    def unfinished(self) -> int:
        """Lookups in progress, wherever they wait, and connections over TCP that are not closed yet."""
        return len(self.front.completion.in_progress) + len(self.clients)

    async def serve_udp(self) -> None:
        """Receives datagrams until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self.udp)
            try:
                wire, source = self.udp.recvfrom(MAX_MESSAGE_BYTES)
            except OSError:
                continue  # reports that the host of an earlier client refused its reply
            with self._containment.contain("dns", peer=source[0]):
                self.front.query(wire, ("udp", *source), self._udp_responder(wire, source))

    def _udp_responder(self, wire: bytes, source: Any) -> Respond:
        def respond(reply: dns.message.Message) -> None:
            # A failed send is like a lost datagram: the client retries and gets the same outcome.
            with contextlib.suppress(OSError):
                # Sent directly to the socket, so that the membership can't change between its check and the send.
                self.udp.sendto(encode_reply(reply, wire, over_udp=True), source)

        return respond

    async def serve_tcp(self) -> None:
        """Accepts clients until `stop_accepting`."""
        async with trio.open_nursery() as nursery:
            await accept(
                self.tcp,
                self._accept_scope,
                lambda sock: self._accepted(sock, nursery),
                lambda: not self.has_successor,
            )

    def _accepted(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        if len(self.clients) >= MAX_TCP_CLIENTS:
            sock.close()
            return
        channel = BufferedSocket(set_socket_options(sock), nursery, self._write_scheduler, TCP_RECEIVE_BYTES)
        client = DnsTcpClient(channel, self.front, self._clock)
        self.clients.add(client)
        nursery.start_soon(self._serve_client, client)

    async def _serve_client(self, client: DnsTcpClient) -> None:
        try:
            with self._containment.contain("dns"), contextlib.suppress(OSError):  # the client may have left already
                await client.run()
        finally:
            self.clients.remove(client)
            close_without_reset(client.channel)
