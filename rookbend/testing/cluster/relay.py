"""Relays between the processes: one TCP listener for each directed pair, and one UDP socket for each director.

Each director has its own addresses for everything that it connects to, so the address that is called tells a relay
the source and the target. A `Link` is one direction of a pair. Faults are set on it and also apply to open
connections at once:

    silent       nothing passes; bytes wait, as on a cut cable, and pass when the link heals. New connections are
                 established and stay silent
    reset        open connections are reset, and new ones as soon as they are accepted
    unreachable  as for a vanished machine: no new connection is established
    delay_us     delay of each chunk or datagram, in microseconds
    loss, duplicate, reorder     shares of the datagrams

A datagram to peer `j` arrives at the socket bound at j's address. It is forwarded from the sender's socket, since
directors identify their peers by source address.
"""

from __future__ import annotations

import contextlib
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rookbend.testing.cluster.record import Record

LINGER = struct.pack("ii", 1, 0)
CHUNK = 65536
BACKLOG = 128
BACKLOG_FILLERS = 3  # one more than a backlog of 0 accepts
BACKLOG_FILL_TIMEOUT_S = 0.05
REORDER_US = 30_000  # delay of a datagram that later ones overtake


@dataclass
class Link:
    name: str
    silent: bool = False
    reset: bool = False
    unreachable: bool = False
    delay_us: int = 0
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    changed: trio.Event = field(default_factory=trio.Event)

    def set(self, **faults) -> None:
        for name, value in faults.items():
            if name not in ("silent", "reset", "unreachable", "delay_us", "loss", "duplicate", "reorder"):
                raise ValueError(f"unknown fault of a link: {name}")
            setattr(self, name, value)
        self.changed.set()
        self.changed = trio.Event()

    def heal(self) -> None:
        self.set(silent=False, reset=False, unreachable=False, delay_us=0, loss=0.0, duplicate=0.0, reorder=0.0)

    async def wait_while_silent(self) -> None:
        while self.silent:
            await self.changed.wait()


class Links:
    """The links of all directed pairs, created on first use."""

    def __init__(self):
        self.all: dict[tuple[str, str], Link] = {}

    def get(self, source: str, target: str) -> Link:
        link = self.all.get((source, target))
        if link is None:
            link = self.all[source, target] = Link(f"{source}>{target}")
        return link

    def heal(self) -> None:
        for link in self.all.values():
            link.heal()


def reset(stream: trio.SocketStream) -> None:
    """Closes a connection by RST, as the kernel does when a process is killed."""
    with contextlib.suppress(OSError, trio.ClosedResourceError):
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, LINGER)
    stream.socket.close()


class TcpRelay:
    """One directed pair: connections from `source` to the relay's address are relayed to the target's address."""

    def __init__(
        self, links: Links, record: Record, source: str, target: str, target_address: Callable[[], tuple[str, int]]
    ):
        self.forward, self.backward = links.get(source, target), links.get(target, source)
        self.record, self.target_address = record, target_address
        self.name = f"{source}>{target}"
        self.address: tuple[str, int] | None = None
        self.filler_ports: set[int] = set()  # local ports of the connections that fill the backlog

    async def listen(self, nursery: trio.Nursery, host: str, port: int = 0) -> int:
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await sock.bind((host, port))
        sock.listen(BACKLOG)
        self.address = sock.getsockname()[:2]
        nursery.start_soon(self._accept, sock, nursery)
        return self.address[1]

    async def _accept(self, sock, nursery: trio.Nursery) -> None:
        """While the link is unreachable, the relay's own connections fill the listener's backlog, so the kernel leaves
        other SYNs unanswered, like an absent machine. The caller's kernel repeats them until they succeed or it
        gives up."""
        with sock:
            await self._accept_all(sock, nursery)

    async def _accept_all(self, sock, nursery: trio.Nursery) -> None:
        while True:
            if self.forward.unreachable:
                await self._leave_unanswered(sock)
            accepting, changed = trio.CancelScope(), self.forward.changed
            async with trio.open_nursery() as waiting:
                waiting.start_soon(self._cancel_on, changed, accepting)
                with accepting:
                    near, (_, port, *_) = await sock.accept()
                    if port in self.filler_ports:
                        self.filler_ports.discard(port)
                        near.close()
                    else:
                        nursery.start_soon(self._serve, trio.SocketStream(near))
                waiting.cancel_scope.cancel()

    async def _leave_unanswered(self, sock) -> None:
        sock.listen(0)
        fillers = []
        for _ in range(BACKLOG_FILLERS):
            filler = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
            fillers.append(filler)
            await filler.bind((self.address[0], 0))
            self.filler_ports.add(filler.getsockname()[1])
            with trio.move_on_after(BACKLOG_FILL_TIMEOUT_S):
                await filler.connect(self.address)
        while self.forward.unreachable:
            await self.forward.changed.wait()
        for filler in fillers:
            filler.close()
        sock.listen(BACKLOG)

    async def _serve(self, near: trio.SocketStream) -> None:
        self.record.note("call", self.name)
        far = None
        try:
            if self.forward.reset or self.backward.reset:
                return
            await self.forward.wait_while_silent()
            far = await trio.open_tcp_stream(*self.target_address())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, self.forward, nursery.cancel_scope)
                nursery.start_soon(self._pump, far, near, self.backward, nursery.cancel_scope)
                nursery.start_soon(self._watch, nursery.cancel_scope)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the target does not listen: the connection ends at once, like a refused one
        finally:
            for stream in (near, far):
                if stream is not None:
                    reset(stream)

    async def _pump(self, source, target, link: Link, scope: trio.CancelScope) -> None:
        try:
            while data := await source.receive_some(CHUNK):
                await link.wait_while_silent()
                if link.delay_us:
                    await trio.sleep(link.delay_us / 1e6)
                await target.send_all(data)
            await link.wait_while_silent()
            await target.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await link.wait_while_silent()  # a reset does not cross a silent link either
            scope.cancel()

    async def _watch(self, scope: trio.CancelScope) -> None:
        while not (self.forward.reset or self.backward.reset):
            async with trio.open_nursery() as nursery:
                for link in (self.forward, self.backward):
                    nursery.start_soon(self._cancel_on, link.changed, nursery.cancel_scope)
        scope.cancel()

    @staticmethod
    async def _cancel_on(event: trio.Event, scope: trio.CancelScope) -> None:
        await event.wait()
        scope.cancel()


class UdpRelay:
    """Relays all datagrams between directors. `peer_addresses` maps each director to its address for peers."""

    def __init__(self, links: Links, record: Record, peer_addresses: dict[str, tuple[str, int]], seed: int):
        self.links, self.record, self.peer_addresses = links, record, peer_addresses
        self.names = {place: name for name, place in peer_addresses.items()}
        self.random = random.Random(f"{seed} datagrams")
        self.socks: dict[str, trio.socket.SocketType] = {}
        self.delayed = 0  # number of datagrams that wait to be forwarded

    async def listen(self, nursery: trio.Nursery, host_of: Callable[[str], str]) -> dict[str, str]:
        """Opens the sockets. Returns the address by which other directors know each director."""
        for name in self.peer_addresses:
            sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
            await sock.bind((host_of(name), 0))
            self.socks[name] = sock
        for name in self.peer_addresses:
            nursery.start_soon(self._carry, name, nursery)
        return {name: "{}:{}".format(*sock.getsockname()[:2]) for name, sock in self.socks.items()}

    async def _carry(self, target: str, nursery: trio.Nursery) -> None:
        sock, rng = self.socks[target], self.random
        while True:
            try:
                data, address = await sock.recvfrom(2048)
            except OSError:
                continue  # an ICMP error: an earlier datagram was not delivered
            source = self.names.get(address[:2])
            if source is None:
                continue
            self.record.note("datagram", source, target)
            link = self.links.get(source, target)
            if link.silent or link.reset or rng.random() < link.loss:
                continue
            late = link.delay_us + (REORDER_US if rng.random() < link.reorder else 0)
            for _ in range(2 if rng.random() < link.duplicate else 1):
                if late:
                    self.delayed += 1
                    nursery.start_soon(self._send_delayed, late, source, target, data)
                else:
                    await self._send(source, target, data)

    async def _send_delayed(self, late_us: int, source: str, target: str, data: bytes) -> None:
        await trio.sleep(late_us / 1e6)
        self.delayed -= 1
        await self._send(source, target, data)

    async def _send(self, source: str, target: str, data: bytes) -> None:
        # Without a listener the datagram is lost, as on any network.
        with contextlib.suppress(OSError):
            await self.socks[source].sendto(data, self.peer_addresses[target])
