"""A small fleet on loopback for benchmarks: members, their health agents and a coordinator, all in this process.

Every member has a copy of every object and responds at once, so that the benchmark measures the director. Each cache
has its own address (127.1.x.y); all members share one port, and all agents share another.
"""

from __future__ import annotations

import copy
import json
import time
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio

from rookbend.testing.health_agents import HealthAgent, listen_on_shared_port
from rookbend.testing.measurement_settings import SETTINGS

MAX_RECORDED_ARRIVALS = 4096
KEEPALIVE_INTERVAL_S = 1
HOSTS_PER_SUBNET = 250
CONTENT = b"x" * 2000
LINE_END = b"\r\n"


class MemberServer:
    """A cache, parent or origin that has a copy of every object."""

    content = CONTENT  # of every object

    def __init__(self, name: str, host: str, zone: str = "edge", flavor: str = "standard") -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.flavor = flavor
        self.agent = HealthAgent(host)
        self.port = 0
        self.arrivals_s: deque[float] = deque(maxlen=MAX_RECORDED_ARRIVALS)  # monotonic
        self.arrived_ids: deque[str] = deque(maxlen=MAX_RECORDED_ARRIVALS)
        self.connections = 0  # accepted since `listen`

    async def listen(self, nursery: trio.Nursery, port: int) -> None:
        """Listens on the port, 0 for any free one. Raises OSError if it can't be bound."""
        listeners = await trio.open_tcp_listeners(port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        received = b""
        try:
            async for block in stream:
                received, responses = self._respond(received + block)
                if responses:
                    await stream.send_all(responses)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    def _respond(self, received: bytes) -> tuple[bytes, bytes]:
        """Returns the bytes of an incomplete command, and the responses to the complete ones."""
        responses = b""
        while (line_end := received.find(LINE_END)) >= 0:
            words = received[:line_end].split(b" ")
            command_bytes = line_end + len(LINE_END)
            if words[0] == b"do":
                command_bytes += int(words[3]) + len(LINE_END)
                if len(received) < command_bytes:
                    break
                self.arrivals_s.append(time.monotonic())
                self.arrived_ids.append(words[1].decode())
                responses += b"%b ok note=mem,sum=ab,t0=1 %d\r\n%b\r\n" % (words[1], len(self.content), self.content)
            received = received[command_bytes:]
        return received, responses

    def membership_entry(self, phase: str = "SERVING") -> dict[str, Any]:
        """The member as the coordinator sends it."""
        return {
            "id": self.name,
            "host_port": f"{self.host}:{self.port}",
            "locality": self.zone,
            "flavor": self.flavor,
            "phase": phase,
            "size": 50.0,
        }


class CoordinatorServer:
    """The event stream of the coordinator."""

    def __init__(self) -> None:
        self.port = 0
        self.index = 1
        self.streams: list[trio.SocketStream] = []
        self._writing = trio.Lock()

    async def listen(self, nursery: trio.Nursery) -> None:
        """Listens on a free port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self.serve, listeners)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one director until it disconnects."""
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n")
        self.streams.append(stream)
        try:
            while True:
                await trio.sleep(KEEPALIVE_INTERVAL_S)
                async with self._writing:
                    await stream.send_all(b":\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.streams.remove(stream)

    async def send_members(self, *entries: dict[str, Any]) -> None:
        """Sends changed members to every director."""
        self.index += 1
        event = json.dumps({"index": self.index, "endpoints": {"members": entries}})
        async with self._writing:
            for stream in self.streams:
                await stream.send_all(f"id: {self.index}\ndata: {event}\n\n".encode())


class MeasurementFleet:
    """The members, their health agents and the coordinator."""

    def __init__(self, caches: int) -> None:
        self.caches = [MemberServer(f"c{i}", _cache_host(i)) for i in range(caches)]
        self.parent = MemberServer("upper", "127.2.0.1", "hub", "parent")
        self.origin = MemberServer("records", "127.3.0.1", "hub", "origin")
        self.members = [*self.caches, self.parent, self.origin]
        self.coordinator = CoordinatorServer()
        self.agent_port = 0

    async def open(self, nursery: trio.Nursery) -> None:
        """Starts listening with all members, agents and the coordinator. Raises OSError if a port can't be bound."""
        await self.coordinator.listen(nursery)
        port = 0
        for member in self.members:
            await member.listen(nursery, port)
            port = member.port
        self.agent_port = await listen_on_shared_port([member.agent for member in self.members], nursery)

    def director_config(
        self, allows_probes: bool, port: int, router_index: int = 0, router_count: int = 1
    ) -> dict[str, Any]:
        """Returns the configuration of one director as an object to encode as JSON."""
        settings = copy.deepcopy(SETTINGS)
        settings["limits"]["probes"] = allows_probes
        settings["me"] = router_index
        settings["siblings"] = router_count
        settings["familyInfo"]["seatsByZone"] = [0, router_count]
        membership = {"complete": True, "members": [member.membership_entry() for member in self.members]}
        return {
            "name": f"n{router_index}",
            "listen": f"127.0.0.1:{port}",
            "seed": "7",
            "settings": settings,
            "coordinator": f"127.0.0.1:{self.coordinator.port}",
            "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 8192},
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": membership}]},
        }


def _cache_host(index: int) -> str:
    return f"127.1.{index // HOSTS_PER_SUBNET}.{index % HOSTS_PER_SUBNET + 1}"


@asynccontextmanager
async def open_fleet(caches: int) -> AsyncIterator[MeasurementFleet]:
    """Opens a fleet that listens until the block ends."""
    async with trio.open_nursery() as nursery:
        fleet = MeasurementFleet(caches)
        await fleet.open(nursery)
        yield fleet
        nursery.cancel_scope.cancel()
