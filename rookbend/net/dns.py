"""The drivers of the DNS front: its UDP and TCP servers, and the client of the configured resolver."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Callable

import dns.exception
import dns.message
import trio

from rookbend.core.clock import Clock
from rookbend.fronts.dns import DnsFront
from rookbend.net.acceptor import accept
from rookbend.net.buffered_socket import BufferedSocket, WriteScheduler, prepare
from rookbend.net.component import Component
from rookbend.net.connector import open_socket
from rookbend.net.listeners import Listeners
from rookbend.protocol.dns import (
    LONGEST_MESSAGE,
    TcpMessages,
    ask_address,
    frame_tcp,
    read_addresses,
    to_wire,
)

ASK_AGAIN_US = 400_000  # a resolver that has not answered by then is asked once more
IDLE_US = 10_000_000  # a TCP client is let go this long after its last message
TCP_CLIENTS = 64


def open_both(listeners: Listeners, address: tuple[str, int]) -> tuple[socket.socket, socket.socket]:
    """A TCP listener and a UDP socket on one port."""
    for tries_left in reversed(range(20)):
        tcp = listeners.tcp(address)
        try:
            return tcp, listeners.udp(tcp.getsockname()[:2])
        except OSError:
            tcp.close()
            # A port that the system chose for TCP may be taken for UDP: another is chosen then.
            if address[1] or not tries_left:
                raise
    raise AssertionError("not reached")


class DnsServer(Component):
    """Both transports on one port; the port asked for may be 0."""

    descriptors = TCP_CLIENTS + 32  # its clients, and lookups at the resolver

    def __init__(self, front: DnsFront, clock: Clock, address: tuple[str, int], outbox: WriteScheduler):
        self.front, self.clock, self.wanted, self.outbox = front, clock, address, outbox
        self.clients = 0

    def open(self, listeners: Listeners) -> None:
        self.tcp, self.udp = open_both(listeners, self.wanted)
        self.address = self.tcp.getsockname()[:2]

    def start(self, nursery: trio.Nursery) -> None:
        self.front.resolver.nursery = nursery
        nursery.start_soon(self.serve_udp)
        nursery.start_soon(self.serve_tcp, trio.CancelScope())

    def stop_taking(self) -> None:
        self.front.closing = True

    async def serve_udp(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self.udp)
            try:
                wire, source = self.udp.recvfrom(LONGEST_MESSAGE)
            except OSError:
                continue  # an earlier reply was refused by its client's machine
            self.front.query(wire, ("udp", *source), self._udp_reply(wire, source))

    def _udp_reply(self, wire: bytes, source: tuple) -> Callable[[dns.message.Message], None]:
        def respond(reply: dns.message.Message) -> None:
            # lost, as a datagram may be: the client asks again and gets the same outcome
            with contextlib.suppress(OSError):
                # Straight to the socket: nothing waits between the look at the membership and these bytes.
                self.udp.sendto(to_wire(reply, wire, over_udp=True), source)

        return respond

    async def serve_tcp(self, scope: trio.CancelScope) -> None:
        async with trio.open_nursery() as nursery:
            await accept(self.tcp, scope, lambda sock: self._take(sock, nursery))

    def _take(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        if self.clients >= TCP_CLIENTS:
            return sock.close()
        self.clients += 1
        nursery.start_soon(self._client, BufferedSocket(prepare(sock), nursery, self.outbox))

    async def _client(self, channel: BufferedSocket) -> None:
        messages, owed, settled = TcpMessages(), 0, trio.Event()

        def respond(reply: dns.message.Message) -> None:
            nonlocal owed
            owed -= 1
            channel.write(frame_tcp(to_wire(reply, b"", over_udp=False)))
            if not owed:
                settled.set()

        try:
            source = ("tcp", *channel.sock.getpeername())
            with trio.CancelScope() as idle:
                while True:
                    idle.deadline = self.clock.monotonic_at(self.clock.now() + IDLE_US)
                    data = await channel.receive()
                    if not data:
                        break
                    for wire in messages.feed(data):
                        owed += 1
                        owed -= not self.front.query(wire, source, respond)
                settled = trio.Event()
                if owed and not channel.broken:  # a client may close only its sending side
                    await settled.wait()
        except OSError:
            pass  # it left before its address could be read
        finally:
            self.clients -= 1
            channel.send()
            channel.close()


class ResolverClient:
    """Asks the resolver over UDP, and over TCP where its reply is cut off. Keeps no answer: a name may
    point elsewhere a moment later, and the membership decides anyway."""

    def __init__(self, address: tuple[str, int], clock: Clock, seed: int):
        self.address, self.clock, self.random = address, clock, random.Random(seed)
        self.nursery: trio.Nursery | None = None  # the service's, once it runs

    def resolve(self, box: str, kind: str, deadline_us: int, done: Callable[[list[str] | None], None]) -> None:
        self.nursery.start_soon(self._resolve, box, kind, deadline_us, done)

    async def _resolve(self, box: str, kind: str, deadline_us: int, done: Callable[[list[str] | None], None]) -> None:
        found = None
        with trio.move_on_at(self.clock.monotonic_at(deadline_us)):
            with contextlib.suppress(OSError, dns.exception.DNSException):
                question = ask_address(box, kind, self.random.getrandbits(16))
                found = await self._ask_udp(question)
                if found is None:
                    found = await self._ask_tcp(question)
        done(found)

    async def _ask_udp(self, question: dns.message.Message) -> list[str] | None:
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.connect(self.address)
            while True:
                sock.send(question.to_wire())
                again = self.clock.now() + ASK_AGAIN_US
                with trio.move_on_at(self.clock.monotonic_at(again)):
                    while True:
                        await trio.lowlevel.wait_readable(sock)
                        try:
                            return read_addresses(question, sock.recv(LONGEST_MESSAGE))
                        except dns.exception.FormError:
                            continue  # not the answer to this question: a late or forged one

    async def _ask_tcp(self, question: dns.message.Message) -> list[str] | None:
        with await open_socket(self.address) as sock:
            sock.send(frame_tcp(question.to_wire()))
            messages = TcpMessages()
            while True:
                await trio.lowlevel.wait_readable(sock)
                data = sock.recv(LONGEST_MESSAGE)
                if not data:
                    raise ConnectionError("the resolver closed the connection")
                for wire in messages.feed(data):
                    return read_addresses(question, wire)
