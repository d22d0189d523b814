"""The client for the configured DNS resolver."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Callable

import dns.exception
import dns.message
import trio

from rookbend.net.component import ComponentContext
from rookbend.net.connector import open_socket
from rookbend.protocol import dns_tcp
from rookbend.protocol.dns import MAX_MESSAGE_BYTES
from rookbend.protocol.dns_resolver import ResolverError, UnmatchedResponseError, address_query, parse_addresses

RETRANSMIT_US = 400_000
QUERY_ID_BITS = 16


class ResolverClient:
    """Queries over UDP, and over TCP if the response is truncated.

    Nothing is cached: a name's addresses may change at any time, and the membership decides which of them are used.
    """

    def __init__(self, context: ComponentContext, address: tuple[str, int], seed: int):
        self._address = address
        self._clock = context.clock
        self._containment = context.containment
        self._random = random.Random(seed)
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Sets the nursery in which lookups run; must be called before `resolve`."""
        self._nursery = nursery

    def resolve(self, name: str, record_type: str, deadline_us: int, done: Callable[[list[str] | None], None]) -> None:
        """Calls `done` once, by the deadline, with the addresses of a name, or with None on any failure."""
        assert self._nursery is not None
        self._nursery.start_soon(self._resolve, name, record_type, deadline_us, done)

    async def _resolve(
        self, name: str, record_type: str, deadline_us: int, done: Callable[[list[str] | None], None]
    ) -> None:
        addresses = None
        with trio.move_on_at(self._clock.monotonic_at(deadline_us)):
            with (
                self._containment.contain("resolver", name=name),
                contextlib.suppress(OSError, ResolverError, dns.exception.DNSException),
            ):
                query = address_query(name, record_type, self._random.getrandbits(QUERY_ID_BITS))
                addresses = await self._query_udp(query)
                if addresses is None:
                    addresses = await self._query_tcp(query)
        with self._containment.contain("resolver", name=name):
            done(addresses)

    async def _query_udp(self, query: dns.message.Message) -> list[str] | None:
        """Returns the addresses, or None if the response is truncated."""
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.connect(self._address)
            while True:
                sock.send(query.to_wire())
                with trio.move_on_at(self._clock.monotonic_at(self._clock.now() + RETRANSMIT_US)):
                    return await _receive_response(sock, query)

    async def _query_tcp(self, query: dns.message.Message) -> list[str] | None:
        with await open_socket(self._address) as sock:
            sock.send(dns_tcp.frame(query.to_wire()))
            reader = dns_tcp.MessageReader()
            while True:
                await trio.lowlevel.wait_readable(sock)
                data = sock.recv(MAX_MESSAGE_BYTES)
                if not data:
                    raise ConnectionError("the resolver closed the connection")
                for wire in reader.feed(data):
                    return parse_addresses(query, wire)


async def _receive_response(sock: socket.socket, query: dns.message.Message) -> list[str] | None:
    while True:
        await trio.lowlevel.wait_readable(sock)
        try:
            return parse_addresses(query, sock.recv(MAX_MESSAGE_BYTES))
        except UnmatchedResponseError:
            continue  # a late or forged response
