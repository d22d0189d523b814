"""Stand-ins and helpers of the second review (review/6 to review/10): clients, caches, coordinator, resolver, director.

Plain Python (standard library only), so that it runs with any interpreter; the director itself is started with the
`run` command of deploy/balancer.toml. Every address is on the loopback interface, every port is a free one.
The stand-ins speak the formats of the protocol page (frames, cache lines, server-sent events).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2
CODES = {0: "served", 14: "refused", 2: "failed"}


class CannotRunError(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, *words: object) -> None:
        self.file.write(f"{time.monotonic() - self.start:8.3f} " + " ".join(map(str, words)) + "\n")
        self.file.flush()


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def settings(**changes: dict) -> dict:
    """Settings like those of the deployment halvorsen-branches: one branch and one hub."""
    base = {
        "lanes": [
            {
                "name": "tour-video",
                "aimUs": 600_000,
                "aimStretch": 2.0,
                "hardLimitUs": 5_000_000,
                "effect": "free",
                "gain": 2.0,
                "lateWorth": 0.15,
            },
            {
                "name": "page-image",
                "aimUs": 300_000,
                "aimStretch": 2.0,
                "hardLimitUs": 2_500_000,
                "effect": "free",
                "gain": 1.0,
                "lateWorth": 0.2,
            },
            {
                "name": "submit-app",
                "aimUs": 600_000,
                "hardLimitUs": 3_000_000,
                "effect": "single_shot",
                "gain": 3.0,
                "lateWorth": 0.0,
            },
        ],
        "familyInfo": {
            "classFreshUs": [0, 8_000_000, 0],
            "graceForUs": [0, 10_000_000, 0],
            "classStaleWorth": [0.7, 0.7, 0.7],
            "goesThrough": [False, False, True],
            "inPieces": [False, False, False],
            "seatsByZone": [0, 1],
            "homeHub": [0, 0],
            "secondTierKind": 1,
            "sourceKind": 2,
            "paceKbPerS": 6800.0,
            "collapses": True,
            "detail": "all",
            "direct": True,
            "neighbours": "none",
            "purgeGraceUs": 500_000,
            "purgeTakesUs": 6_000_000,
            "upperColdFrom": 0.064,
            "parentWarmsInUs": 22_000_000,
            "parentFallMultiple": 2.0,
        },
        "invariants": {
            "startCapacity": 0.15,
            "warmUpUs": 15_000_000,
            "tipMultiple": 4.0,
            "fallUs": 1_500_000,
            "drainGraceUs": 500_000,
            "askWithinUs": 10_000_000,
        },
        "limits": {
            "maxAttempts": 6,
            "maxOpen": 20_000,
            "connectTimeoutUs": 400_000,
            "secondCopies": False,
            "cancelling": True,
            "probes": False,
            "mayTell": True,
            "retryAfter": True,
            "maxRetryAfterUs": 500_000,
            "idleCloseUs": 15_000_000,
            "maxStreams": 100,
        },
        "zone": 1,
        "siblings": 1,
        "me": 0,
        "zones": ["north-hub", "edge-1"],
        "kinds": ["standard", "parent", "origin"],
        "weights": "nominal",
        "registryMode": "push",
        "quantumUs": 2000,
        "report": {"fields": ["utilization", "outstanding", "x1"], "source": "answers"},
    }
    for name, values in changes.items():
        base[name] = {**base[name], **values} if isinstance(values, dict) else values
    return base


class Member:
    """A cache, a parent or the origin. `answer(call)` is a coroutine that returns (word, fields, body), or None if no
    answer is given. It counts what has arrived whole in `arrived`, as (monotonic time, id, fields)."""

    def __init__(self, name: str, kind: str, zone: str, record: Record, answer, size: float = 5.0) -> None:
        self.name, self.kind, self.zone, self.record, self.answer, self.size = name, kind, zone, record, answer, size
        self.phase, self.started_ms = "SERVING", 0
        self.arrived: list[tuple[float, str, dict]] = []
        self.cancelled: list[tuple[float, str]] = []
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: dict[tuple[int, str], asyncio.Task] = {}

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict:
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": 0,
            "phase": self.phase,
            "size": self.size,
            "up_since_ms": self.started_ms,
        }

    def die(self) -> None:
        """The process dies: its connections are reset, and new ones are refused."""
        self.record("member-dies", self.name)
        assert self.server is not None
        self.server.close()
        for task in self.tasks.values():
            task.cancel()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(1, 13, struct.pack("ii", 1, 0))  # SO_LINGER 0: close resets
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "do":
                    length = int(words[3])
                    body = (await reader.readexactly(length + 2))[:-2]
                    fields = dict(pair.split("=", 1) for pair in words[2].split(",")) if words[2] != "-" else {}
                    self.arrived.append((time.monotonic(), words[1], fields))
                    self.record("member-got", self.name, words[1], words[2])
                    task = asyncio.create_task(self._run(writer, words[1], fields, body))
                    self.tasks[id(writer), words[1]] = task
                elif words[0] == "undo":
                    self.cancelled.append((time.time(), words[1]))
                    self.record("member-undo", self.name, words[1])
                    if task := self.tasks.pop((id(writer), words[1]), None):
                        task.cancel()
                elif words[0] == "ping":
                    writer.write(f"{words[1]} yes - 0\r\n\r\n".encode())
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            for key in [k for k in self.tasks if k[0] == id(writer)]:
                self.tasks.pop(key).cancel()
            writer.close()

    async def _run(self, writer: asyncio.StreamWriter, rid: str, fields: dict, body: bytes) -> None:
        result = await self.answer(self, rid, fields, body)
        self.tasks.pop((id(writer), rid), None)
        if result is None:
            return
        word, answer_fields, data = result
        text = ",".join(f"{k}={v}" for k, v in answer_fields.items()) or "-"
        self.record("member-answers", self.name, rid, word, text, len(data))
        writer.write(f"{rid} {word} {text} {len(data)}\r\n".encode() + data + b"\r\n")
        with contextlib.suppress(OSError):
            await writer.drain()


class Coordinator:
    """Streams numbered events; a comment each second."""

    def __init__(self, record: Record, members: list[Member]) -> None:
        self.record, self.members = record, members
        self.index, self.revision = 1, 1
        self.events: list[tuple[int, dict]] = []
        self.changed = asyncio.Event()
        self.port = 0

    async def listen(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def known(self) -> dict:
        entries = [member.entry() for member in self.members]
        update = {"index": 1, "endpoints": {"revision": 1, "complete": True, "members": entries}}
        return {"index": 1, "updates": [update]}

    def add(self, event: dict) -> None:
        self.index += 1
        self.events.append((self.index, {"index": self.index, **event}))
        self.record("coordinator-tells", json.dumps(event))
        self.changed.set()
        self.changed = asyncio.Event()

    def publish(self, *members: Member) -> None:
        self.revision += 1
        entries = [member.entry() for member in members]
        self.add({"endpoints": {"revision": self.revision, "complete": False, "members": entries}})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last = next(int(x.split(":")[1]) for x in head.split("\r\n") if x.startswith("last-event-id:"))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            while True:
                changed = self.changed
                for index, event in self.events:
                    if index > last:
                        writer.write(f"id: {index}\ndata: {json.dumps(event)}\n\n".encode())
                        last = index
                await writer.drain()
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(changed.wait(), 1.0)
                    continue
                writer.write(b":\n\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Director:
    """The program, started with the command `run` of the deploy file, from the root of the repository."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        coordinator: Coordinator,
        platform: dict,
        conf: str = "",
        name: str = "n0",
        limits: dict | None = None,
        **extra: object,
    ) -> None:
        self.record, self.folder, self.name = record, folder, name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "tmp").mkdir(exist_ok=True)
        self.port = free_port()
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": f"127.0.0.1:{coordinator.port}",
            "flow_bytes_per_s": 310_000,
            "link_bytes_per_s": 1_240_000,
            "known": coordinator.known(),
            "settings": platform,
            **extra,
        }
        (folder / "config.json").write_text(json.dumps(self.config))
        (folder / "rookbend.conf").write_text("[log]\n    format text\n    level info\n" + conf)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, **environ: str) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {
            **os.environ,
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.config["listen"],
            "NODE_CONFIG": str(self.folder / "config.json"),
            "NODE_SETTINGS": str(self.folder / "rookbend.conf"),
            "TMPDIR": str(self.folder / "tmp"),
            **environ,
        }
        log = open(self.folder / "log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record("director-starts", self.name)
        await self.wait_ready()

    async def wait_ready(self) -> None:
        for _ in range(600):
            if self.process.returncode is not None:
                raise CannotRunError("the director ended at its start: " + self.log()[-2000:])
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = Client(self.record, quiet=True)
                await client.connect(self.port)
                ready = await client.is_ready()
                client.close()
                if ready:
                    return self.record("director-ready", self.name)
            await asyncio.sleep(0.05)
        raise CannotRunError("the director did not get ready: " + self.log()[-2000:])

    def signal(self, number: signal.Signals) -> None:
        self.record("signal", self.name, number.name)
        if self.process.returncode is None:
            self.process.send_signal(number)

    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.process is not None:
            self.record("director-ended", self.name, "code", self.process.returncode)


class Request:
    def __init__(self, rid: str, stream: int) -> None:
        self.rid, self.stream = rid, stream
        self.sent = time.monotonic()
        self.answer: asyncio.Future = asyncio.get_running_loop().create_future()

    @property
    def outcome(self) -> str:
        if not self.answer.done():
            return "unanswered"
        return self.answer.result()[0]


def encode_fields(fields: dict[str, str]) -> bytes:
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        parts.append(bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode())
    return b"".join(parts)


class Client:
    """One client connection. `bytes_per_s` limits how fast it reads."""

    def __init__(self, record: Record, quiet: bool = False, bytes_per_s: float = 0) -> None:
        self.record, self.quiet, self.bytes_per_s = record, quiet, bytes_per_s
        self.requests: dict[int, Request] = {}
        self.all: list[Request] = []
        self.stream = 0
        self.goaway = False
        self.ended = ""  # why the connection ended, as the client saw it
        self.end_time = 0.0
        self.second_answers = 0
        self.ready: asyncio.Future | None = None

    async def connect(self, port: int) -> None:
        sock = socket.socket()
        if self.bytes_per_s:
            # What a slow reader has not read yet waits at the sender, as it does behind a slow line.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=1 << 15)
        self.task = asyncio.create_task(self._read())

    async def is_ready(self) -> bool:
        self.ready = asyncio.get_running_loop().create_future()
        self.writer.write(struct.pack(">IBI", 6, 1, 1) + b"\0")
        return await asyncio.wait_for(self.ready, 2) == 0

    def request(self, method: str, obj: str, budget_ms: int, body: bytes = b"", group: int = 1) -> Request:
        self.stream += 1
        rid = f"{random.getrandbits(64):016x}"
        fields = encode_fields(
            {"method": method, "rid": rid, "budget": str(budget_ms), "obj": obj, "chunk": "0", "tag": str(group)}
        )
        payload = fields + body
        request = Request(rid, self.stream)
        self.requests[self.stream] = request
        self.all.append(request)
        self.record("client-sends", rid, method, obj, budget_ms)
        self.writer.write(struct.pack(">IBI", 5 + len(payload), 7, self.stream) + payload)
        return request

    def cancel(self, request: Request) -> None:
        self.record("client-cancels", request.rid)
        self.requests.pop(request.stream, None)
        self.writer.write(struct.pack(">IBI", 5, 9, request.stream))

    async def _exactly(self, size: int) -> bytes:
        if not self.bytes_per_s:
            return await self.reader.readexactly(size)
        parts = []
        while size:
            part = await self.reader.readexactly(min(size, 20_000))
            await asyncio.sleep(len(part) / self.bytes_per_s)
            parts.append(part)
            size -= len(part)
        return b"".join(parts)

    async def _read(self) -> None:
        try:
            while True:
                length, kind, stream = struct.unpack(">IBI", await self._exactly(9))
                payload = await self._exactly(length - 5)
                if kind == 2 and self.ready is not None and not self.ready.done():
                    self.ready.set_result(payload[0])
                elif kind == 3:
                    self.goaway = True
                    self.record("client-got-goaway")
                elif kind == 8:
                    self._answered(stream, payload)
        except asyncio.IncompleteReadError:
            self.ended = "closed"
        except OSError as error:
            self.ended = f"broken ({type(error).__name__})"
        self.end_time = time.monotonic()
        if not self.quiet:
            self.record("client-connection-ended", self.ended, "open", len(self.requests))
        if self.ready is not None and not self.ready.done():
            self.ready.set_exception(ConnectionResetError())

    def _answered(self, stream: int, payload: bytes) -> None:
        request = self.requests.pop(stream, None)
        if request is None:
            self.second_answers += 1
            return
        outcome = CODES.get(payload[0], str(payload[0]))
        self.record("client-answered", request.rid, outcome, len(payload))
        request.answer.set_result((outcome, payload, time.monotonic()))

    def close(self) -> None:
        self.task.cancel()
        self.writer.close()


def content(obj: str, size: int) -> bytes:
    return (obj.encode() * (size // len(obj) + 1))[:size]


def ok_fields(note: str = "origin", load: str = "util:0.3;inflight:2;x1:0.1") -> dict:
    return {"sum": "1f", "t0": str(int(time.time() * 1000)), "note": note, "slow": "0", "load": load}


def dns_query(name: str, number: int) -> bytes:
    labels = b"".join(bytes((len(label),)) + label.encode() for label in name.rstrip(".").split("."))
    return struct.pack(">HHHHHH", number, 0x0100, 1, 0, 0, 0) + labels + b"\0" + struct.pack(">HH", 1, 1)


RCODES = {0: "NOERROR", 1: "FORMERR", 2: "SERVFAIL", 3: "NXDOMAIN", 5: "REFUSED"}


class Resolver(asyncio.DatagramProtocol):
    """Gives every name the address 127.0.0.1, `delay_s` after it was asked."""

    def __init__(self, record: Record, delay_s: float) -> None:
        self.record, self.delay_s, self.port = record, delay_s, 0
        self.tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, source) -> None:
        self.record("resolver-asked", struct.unpack(">H", data[:2])[0])
        task = asyncio.create_task(self._answer(data, source))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, data: bytes, source) -> None:
        await asyncio.sleep(self.delay_s)
        end = 12
        while data[end]:
            end += data[end] + 1
        question = data[12 : end + 5]
        record = b"\xc0\x0c" + struct.pack(">HHIH", 1, 1, 0, 4) + bytes((127, 0, 0, 1))
        self.transport.sendto(data[:2] + struct.pack(">HHHHH", 0x8180, 1, 1, 0, 0) + question + record, source)


class DnsClient:
    """Sends lookups over one TCP connection (RFC 7766) and collects the replies by message id."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.names: dict[int, str] = {}
        self.replies: dict[int, list[str]] = {}
        self.ended = False

    async def connect(self, port: int) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.create_task(self._read())

    def look_up(self, name: str) -> int:
        number = len(self.names) + 1
        self.names[number] = name
        self.record("client-looks-up", number, name)
        query = dns_query(name, number)
        self.writer.write(struct.pack(">H", len(query)) + query)
        return number

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                size = struct.unpack(">H", await self.reader.readexactly(2))[0]
                data = await self.reader.readexactly(size)
                number, flags = struct.unpack(">HH", data[:4])
                self.replies.setdefault(number, []).append(RCODES.get(flags & 15, str(flags & 15)))
                self.record("client-got-reply", number, self.replies[number][-1])
        self.ended = True
        self.record("client-connection-ended")


def main(case, folder: Path, seconds: float = 100) -> None:
    """Runs `case(record, temporary)`, a coroutine that returns a list of violations; exits with 0, 1 or 2."""
    record = Record(folder)
    record("trouble", int(trouble()))
    # A script that is told to end ends its processes too: asyncio.run cancels the case, which stops them.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, Path(temporary)), seconds))
        except (CannotRunError, OSError, asyncio.TimeoutError) as error:
            record("cannot-run", repr(error))
            print("cannot run:", repr(error), file=sys.stderr)
            sys.exit(CANNOT_RUN)
        finally:
            for log in sorted(Path(temporary).glob("**/log")):
                for line in log.read_text(errors="replace").splitlines()[-60:]:
                    record("log", log.parent.name, line.replace(str(ROOT), "."))
    for line in broken:
        record("BROKEN", line)
        print("BROKEN:", line)
    record("result", "broken" if broken else "held")
    print("broken" if broken else "held")
    sys.exit(BROKEN if broken else HOLDS)
