"""Relays between the processes: TCP, one listener a directed pair; UDP, one socket a director.

Every director is given addresses of its own for all it talks to, so a relay knows who speaks to whom by where
it is spoken to. A `Way` is one direction of a pair; faults are set on it and take hold at once, on open
connections too:

    silent      nothing passes; bytes wait, as they do on a cut wire, and pass when it heals. New connections
                come up and are silent
    reset       open connections are reset, new ones at once
    deaf        like a machine that has vanished: no new connection comes up at all
    delay_us    each chunk or datagram waits so long
    loss, double, reorder       shares of the datagrams

A director's datagram to the peer `j` comes to the socket that is bound at j's address; it leaves from the
sender's, since the program knows its peers by their source addresses.
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
FILLERS = 3  # one more than a queue of length nought takes
FILL_S = 0.05
REORDER_US = 30_000  # a datagram that is overtaken waits so long


@dataclass
class Way:
    name: str
    silent: bool = False
    reset: bool = False
    deaf: bool = False
    delay_us: int = 0
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    changed: trio.Event = field(default_factory=trio.Event)

    def set(self, **faults) -> None:
        for name, value in faults.items():
            if name not in ("silent", "reset", "deaf", "delay_us", "loss", "double", "reorder"):
                raise ValueError(f"no fault of a way: {name}")
            setattr(self, name, value)
        self.changed.set()
        self.changed = trio.Event()

    def heal(self) -> None:
        self.set(silent=False, reset=False, deaf=False, delay_us=0, loss=0.0, double=0.0, reorder=0.0)

    async def passes(self) -> None:
        while self.silent:
            await self.changed.wait()


class Ways:
    """All directed pairs, made as they are first asked for."""

    def __init__(self):
        self.all: dict[tuple[str, str], Way] = {}

    def get(self, source: str, target: str) -> Way:
        way = self.all.get((source, target))
        if way is None:
            way = self.all[source, target] = Way(f"{source}>{target}")
        return way

    def heal(self) -> None:
        for way in self.all.values():
            way.heal()


def reset(stream: trio.SocketStream) -> None:
    """Ends a connection by RST, as the death of its process would."""
    with contextlib.suppress(OSError, trio.ClosedResourceError):
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, LINGER)
    stream.socket.close()


class TcpRelay:
    """One directed pair: what `source` opens at the relay's address is carried on to `target`'s."""

    def __init__(self, ways: Ways, record: Record, source: str, target: str, where: Callable[[], tuple[str, int]]):
        self.out, self.back = ways.get(source, target), ways.get(target, source)
        self.record, self.where = record, where
        self.name = f"{source}>{target}"
        self.address: tuple[str, int] | None = None
        self.fillers: set[int] = set()  # ports of our own calls

    async def listen(self, nursery: trio.Nursery, host: str, port: int = 0) -> int:
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await sock.bind((host, port))
        sock.listen(BACKLOG)
        self.address = sock.getsockname()[:2]
        nursery.start_soon(self._accept, sock, nursery)
        return self.address[1]

    async def _accept(self, sock, nursery: trio.Nursery) -> None:
        """While the way is deaf the queue of the listener is full of our own calls, so the kernel leaves the
        calls of others unanswered, as a machine does that is not there; they are repeated by the caller's
        own kernel until they come up or it gives up."""
        with sock:
            await self._accept_all(sock, nursery)

    async def _accept_all(self, sock, nursery: trio.Nursery) -> None:
        while True:
            if self.out.deaf:
                await self._be_deaf(sock)
            heard, changed = trio.CancelScope(), self.out.changed
            async with trio.open_nursery() as waiting:
                waiting.start_soon(self._first, changed, heard)
                with heard:
                    near, (_, port, *_) = await sock.accept()
                    if port in self.fillers:
                        self.fillers.discard(port)
                        near.close()
                    else:
                        nursery.start_soon(self._serve, trio.SocketStream(near))
                waiting.cancel_scope.cancel()

    async def _be_deaf(self, sock) -> None:
        sock.listen(0)
        fillers = []
        for _ in range(FILLERS):
            filler = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
            fillers.append(filler)
            await filler.bind((self.address[0], 0))
            self.fillers.add(filler.getsockname()[1])
            with trio.move_on_after(FILL_S):
                await filler.connect(self.address)
        while self.out.deaf:
            await self.out.changed.wait()
        for filler in fillers:
            filler.close()
        sock.listen(BACKLOG)

    async def _serve(self, near: trio.SocketStream) -> None:
        self.record.note("call", self.name)
        far = None
        try:
            if self.out.reset or self.back.reset:
                return
            await self.out.passes()
            far = await trio.open_tcp_stream(*self.where())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, self.out, nursery.cancel_scope)
                nursery.start_soon(self._pump, far, near, self.back, nursery.cancel_scope)
                nursery.start_soon(self._watch, nursery.cancel_scope)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # nobody is there: the connection ends at once, as a refused one would
        finally:
            for stream in (near, far):
                if stream is not None:
                    reset(stream)

    async def _pump(self, source, target, way: Way, scope: trio.CancelScope) -> None:
        try:
            while data := await source.receive_some(CHUNK):
                await way.passes()
                if way.delay_us:
                    await trio.sleep(way.delay_us / 1e6)
                await target.send_all(data)
            await way.passes()
            await target.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await way.passes()  # a reset does not cross a cut wire either
            scope.cancel()

    async def _watch(self, scope: trio.CancelScope) -> None:
        while not (self.out.reset or self.back.reset):
            async with trio.open_nursery() as nursery:
                for way in (self.out, self.back):
                    nursery.start_soon(self._first, way.changed, nursery.cancel_scope)
        scope.cancel()

    @staticmethod
    async def _first(event: trio.Event, scope: trio.CancelScope) -> None:
        await event.wait()
        scope.cancel()


class UdpRelay:
    """All datagrams between directors. `places` are theirs: name, and where each listens for peers."""

    def __init__(self, ways: Ways, record: Record, places: dict[str, tuple[str, int]], seed: int):
        self.ways, self.record, self.places = ways, record, places
        self.names = {place: name for name, place in places.items()}
        self.random = random.Random(f"{seed} datagrams")
        self.socks: dict[str, trio.socket.SocketType] = {}
        self.waiting = 0  # delayed, not sent on yet

    async def listen(self, nursery: trio.Nursery, host_of: Callable[[str], str]) -> dict[str, str]:
        """The address by which each director is known to the others."""
        for name in self.places:
            sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
            await sock.bind((host_of(name), 0))
            self.socks[name] = sock
        for name in self.places:
            nursery.start_soon(self._carry, name, nursery)
        return {name: "{}:{}".format(*sock.getsockname()[:2]) for name, sock in self.socks.items()}

    async def _carry(self, target: str, nursery: trio.Nursery) -> None:
        sock, rng = self.socks[target], self.random
        while True:
            try:
                data, address = await sock.recvfrom(2048)
            except OSError:
                continue  # an earlier one reached nobody
            source = self.names.get(address[:2])
            if source is None:
                continue
            self.record.note("datagram", source, target)
            way = self.ways.get(source, target)
            if way.silent or way.reset or rng.random() < way.loss:
                continue
            late = way.delay_us + (REORDER_US if rng.random() < way.reorder else 0)
            for _ in range(2 if rng.random() < way.double else 1):
                if late:
                    self.waiting += 1
                    nursery.start_soon(self._later, late, source, target, data)
                else:
                    await self._send(source, target, data)

    async def _later(self, late_us: int, source: str, target: str, data: bytes) -> None:
        await trio.sleep(late_us / 1e6)
        self.waiting -= 1
        await self._send(source, target, data)

    async def _send(self, source: str, target: str, data: bytes) -> None:
        # nobody listens there: lost, as on any network
        with contextlib.suppress(OSError):
            await self.socks[source].sendto(data, self.places[target])
