"""A small fleet on loopback for measurements: boxes, their agents, a coordinator and open-loop clients, all
in this process; directors are processes of their own, started as an operator starts them.

Every box holds everything and answers at once: what is measured is the director. Each box has a host of its
own (127.1.x.y), all share one port, and so do their agents.
"""

from __future__ import annotations

import itertools
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import time
from collections import deque
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from rookbend.testing.health_agents import HealthAgent, listen_on_shared_port

SETTINGS = {
    "lanes": [
        {"name": "video", "aimUs": 610_000, "aimStretch": 2.0, "hardLimitUs": 5_100_000, "effect": "free"},
        {"name": "form", "aimUs": 610_000, "hardLimitUs": 3_100_000, "effect": "single_shot"},
    ],
    "familyInfo": {
        "goesThrough": [False, True],
        "secondTierKind": 1,
        "sourceKind": 2,
        "direct": True,
        "collapses": True,
        "detail": "all",
        "seatsByZone": [0, 1],
        "purgeTakesUs": 6_000_000,
        "purgeGraceUs": 500_000,
        "paceKbPerS": 1000.0,
    },
    "invariants": {
        "startCapacity": 0.2,
        "warmUpUs": 15_000_000,
        "tipMultiple": 4.0,
        "fallUs": 1_500_000,
        "drainGraceUs": 500_000,
    },
    "limits": {
        "maxAttempts": 6,
        "maxOpen": 1000,
        "connectTimeoutUs": 400_000,
        "cancelling": True,
        "retryAfter": True,
        "maxRetryAfterUs": 500_000,
        "maxStreams": 100,
        "mayTell": True,
    },
    "zone": 1,
    "siblings": 1,
    "zones": ["hub", "edge"],
    "kinds": ["standard", "parent", "origin"],
    "report": {"fields": ["utilization", "outstanding", "x1"]},
}
KEPT = 4096  # arrivals remembered of one box
HELD = b"x" * 2000


def frame(kind: int, stream: int, fields: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """A frame as the platform's clients write it; without fields where these are None."""
    data = b""
    if fields is not None:
        data = bytes([len(fields)]) + b"".join(
            bytes([len(n)]) + n.encode() + struct.pack(">H", len(v)) + v.encode() for n, v in fields.items()
        )
    return struct.pack(">IBI", 5 + len(data) + len(body), kind, stream) + data + body


class Box:
    """A cache, parent or origin that holds everything."""

    def __init__(self, name: str, host: str, zone: str = "edge", flavor: str = "standard"):
        self.name, self.host, self.zone, self.flavor = name, host, zone, flavor
        self.agent = HealthAgent(host)
        self.port = 0
        self.arrivals: deque[float] = deque(maxlen=KEPT)  # monotonic seconds
        self.connections = 0  # accepted since it began to listen

    async def listen(self, nursery: trio.Nursery, port: int) -> None:
        listeners = await trio.open_tcp_listeners(port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        data = b""
        self.connections += 1
        try:
            async for more in stream:
                data += more
                out = b""
                while (end := data.find(b"\r\n")) >= 0:
                    words = data[:end].split(b" ")
                    used = end + 2
                    if words[0] == b"do":
                        used += int(words[3]) + 2
                        if len(data) < used:
                            break
                        self.arrivals.append(time.monotonic())
                        out += b"%b ok note=mem,sum=ab,t0=1 %d\r\n%b\r\n" % (words[1], len(HELD), HELD)
                    data = data[used:]
                if out:
                    await stream.send_all(out)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    def line(self, phase: str = "SERVING") -> dict:
        return {
            "id": self.name,
            "host_port": f"{self.host}:{self.port}",
            "locality": self.zone,
            "flavor": self.flavor,
            "phase": phase,
            "size": 50.0,
        }


class Coordinator:
    def __init__(self):
        self.port, self.index, self.streams = 0, 1, []
        self.writing = trio.Lock()

    async def listen(self, nursery: trio.Nursery) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        self.streams.append(stream)
        try:
            while True:
                await trio.sleep(1)
                async with self.writing:
                    await stream.send_all(b":\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.streams.remove(stream)

    async def tell(self, *lines: dict) -> None:
        self.index += 1
        event = json.dumps({"index": self.index, "endpoints": {"members": lines}})
        async with self.writing:
            for stream in self.streams:
                await stream.send_all(f"id: {self.index}\ndata: {event}\n\n".encode())


class Clients:
    """Open-loop reads: each is sent when it is due, whatever was answered, and timed from then."""

    def __init__(self, address: tuple[str, int], rate: float, objects: list[str], seed: int, method: str = "video"):
        self.address, self.rate, self.objects, self.method = address, rate, objects, method
        self.random = random.Random(seed)
        self.due: dict[int, float] = {}
        self.times: list[tuple[float, float, int]] = []  # (due, taken, code)
        self.late = 0.0  # the most that this process sent late

    async def run(self) -> None:
        stream = await trio.open_tcp_stream(*self.address)
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(self._read, stream)
            due, rids = time.monotonic(), itertools.count(1)
            for number in itertools.count(1):
                due += self.random.expovariate(self.rate)
                await trio.sleep(max(0.0, due - time.monotonic()))
                self.late = max(self.late, time.monotonic() - due)
                while len(self.due) >= 32:  # the protocol's bound on one connection
                    await trio.sleep(0.001)
                self.due[number] = due
                await stream.send_all(self._request(number, next(rids)))

    def _request(self, stream: int, rid: int) -> bytes:
        fields = {
            "method": self.method,
            "rid": f"{self.random.getrandbits(32):08x}{rid:08x}",
            "budget": "4000",
            "obj": self.random.choice(self.objects),
        }
        return frame(7, stream, fields)

    async def _read(self, stream: trio.SocketStream) -> None:
        data = b""
        async for more in stream:
            data += more
            while len(data) >= 4 and len(data) >= 4 + (size := int.from_bytes(data[:4], "big")):
                number, code = int.from_bytes(data[5:9], "big"), data[9]
                data = data[4 + size :]
                if (due := self.due.pop(number, None)) is not None:
                    self.times.append((due, time.monotonic() - due, code))


class Director:
    """A process that runs the program of a checkout."""

    def __init__(self, checkout: Path, folder: Path, config: dict, operators: str = "", python: str = sys.executable):
        self.checkout, self.folder, self.python = checkout, folder, python
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "rookbend.conf").write_text(operators)
        self.log = folder / "log"
        self.process: subprocess.Popen | None = None

    def start(self) -> float:
        """Starts it and waits until it is ready; the seconds that took."""
        began = time.monotonic()
        env = {
            **os.environ,
            "NODE_CONFIG": str(self.folder / "config.json"),
            "NODE_SETTINGS": str(self.folder / "rookbend.conf"),
        }
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen([self.python, "-m", "rookbend"], cwd=self.checkout, env=env, stderr=log)
        while b"ready" not in self.log.read_bytes():
            if self.process.poll() is not None:
                raise RuntimeError(self.log.read_text())
            time.sleep(0.005)
        return time.monotonic() - began

    def resident_kb(self) -> int:
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1])
        raise RuntimeError("no figure of resident memory")

    def cpu_s(self) -> float:
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait()


@asynccontextmanager
async def running(*nodes: Director):
    """Starts them, and stops them whatever happens: none is left behind by a measurement that failed."""
    try:
        for node in nodes:
            await trio.to_thread.run_sync(node.start)
        yield
    finally:
        with trio.CancelScope(shield=True):
            for node in nodes:
                if node.process is not None:
                    await trio.to_thread.run_sync(node.stop)


def free_port(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Fleet:
    def __init__(self, caches: int):
        self.caches = [Box(f"c{i}", f"127.1.{i // 250}.{i % 250 + 1}") for i in range(caches)]
        self.boxes = [
            *self.caches,
            Box("upper", "127.2.0.1", "hub", "parent"),
            Box("records", "127.3.0.1", "hub", "origin"),
        ]
        self.coordinator = Coordinator()
        self.agent_port = 0

    async def open(self, nursery: trio.Nursery) -> None:
        await self.coordinator.listen(nursery)
        port = 0
        for box in self.boxes:
            await box.listen(nursery, port)
            port = box.port
        self.agent_port = await listen_on_shared_port([b.agent for b in self.boxes], nursery)

    def config(self, probes: bool, port: int, me: int = 0, directors: int = 1) -> dict:
        settings = json.loads(json.dumps(SETTINGS))
        settings["limits"]["probes"] = probes
        settings["me"], settings["siblings"] = me, directors
        settings["familyInfo"]["seatsByZone"] = [0, directors]
        known = {"complete": True, "members": [b.line() for b in self.boxes]}
        return {
            "name": f"n{me}",
            "listen": f"127.0.0.1:{port}",
            "seed": "7",
            "settings": settings,
            "coordinator": f"127.0.0.1:{self.coordinator.port}",
            "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 8192},
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": known}]},
        }


@asynccontextmanager
async def fleet(caches: int):
    async with trio.open_nursery() as nursery:
        made = Fleet(caches)
        await made.open(nursery)
        yield made
        nursery.cancel_scope.cancel()
