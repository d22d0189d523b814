"""Stand-ins that the cases share: clients, caches, the origin and the coordinator on loopback sockets, and the
director as a process of its own, started with the command `run` of deploy/balancer.toml.

Only the standard library is used. Stand-ins follow PROTOCOL; times are Unix times in microseconds.
"""

from __future__ import annotations

import asyncio
import copy
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OUTCOMES = {0: "served", 14: "refused", 2: "failed"}
HELD, BROKEN, UNUSABLE = 0, 1, 2  # exit codes

# The settings of a small deployment: one location with one director, and the classes of the brief.
SETTINGS = {
    "lanes": [
        {"name": "tour-video", "aimUs": 600_000, "aimStretch": 2.0, "hardLimitUs": 5_000_000, "effect": "free",
         "gain": 2.0, "lateWorth": 0.15, "group": "all", "repeatWindowUs": 5_000_000, "streaming": False},
        {"name": "page-image", "aimUs": 300_000, "aimStretch": 2.0, "hardLimitUs": 2_500_000, "effect": "free",
         "gain": 1.0, "lateWorth": 0.2, "group": "all", "repeatWindowUs": 5_000_000, "streaming": False},
        {"name": "submit-app", "aimUs": 600_000, "hardLimitUs": 3_000_000, "effect": "single_shot",
         "gain": 3.0, "lateWorth": 0.0, "group": "all", "repeatWindowUs": 5_000_000, "streaming": False},
    ],
    "familyInfo": {
        "classFreshUs": [0, 8_000_000, 0], "graceForUs": [0, 10_000_000, 0], "classStaleWorth": [0.7, 0.7, 0.7],
        "goesThrough": [False, False, True], "inPieces": [False, False, False], "seatsByZone": [0, 1],
        "homeHub": [0, 0], "inletKbPerS": [0.0, 82231.0], "neighbours": "none", "paceKbPerS": 6800.0,
        "parentFallMultiple": 2.0, "parentWarmsInUs": 22_000_000, "upperColdFrom": 0.064, "purgeGraceUs": 500_000,
        "purgeTakesUs": 6_000_000, "secondTierKind": 1, "sourceKind": 2, "collapses": True, "detail": "all",
        "direct": True,
    },
    "invariants": {"drainGraceUs": 500_000, "fallUs": 1_500_000, "startCapacity": 0.15, "tipMultiple": 4.0,
                   "warmUpUs": 15_000_000, "graceToAnswerUs": 8_000, "askWithinUs": 10_000_000},
    "limits": {"cancelling": True, "connectTimeoutUs": 400_000, "idleCloseUs": 15_000_000, "maxAttempts": 6,
               "maxOpen": 20_000, "maxRetryAfterUs": 500_000, "maxStreams": 100, "mayTell": False, "probes": False,
               "retryAfter": True, "secondCopies": False},
    "kinds": ["standard", "parent", "origin"], "zones": ["north-hub", "edge-1"], "zone": 1, "me": 0, "siblings": 1,
    "registryMode": "push", "report": {"fields": ["utilization", "outstanding", "x1"], "source": "answers"},
    "weights": "nominal", "quantumUs": 2_000,
}


def now_us() -> int:
    return time.time_ns() // 1000


def trouble() -> bool:
    """Whether the disruption is on: TROUBLE=0 turns it off."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt of a case: one line for each thing sent, answered or run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started_us = now_us()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def __call__(self, *words: object) -> None:
        at_s = (now_us() - self.started_us) / 1e6
        self.file.write(f"{at_s:9.4f} {' '.join(map(str, words))}\n")
        self.file.flush()


def frame(kind: int, stream: int, fields: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    data = b""
    if fields is not None:
        data = bytes([len(fields)])
        for name, value in fields.items():
            data += bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode()
    return struct.pack(">IBI", 5 + len(data) + len(body), kind, stream) + data + body


class Client:
    """One connection of a client: `request` sends a request and `outcome` waits for its answer."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.last_stream = 0
        self.waiting: dict[int, asyncio.Future] = {}
        self.ended = ""  # how the connection ended: "close" or "reset"; empty while it is open
        self.going_away = False

    async def open(self, address: tuple[str, int]) -> Client:
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self._read())
        return self

    def encode(self, method: str, rid: str, obj: str, budget_ms: int, body: bytes = b"", **more: str):
        """A request on a new stream: its frame, and the future of its answer (outcome, fields, body, time)."""
        self.last_stream += 1
        future = self.waiting[self.last_stream] = asyncio.get_running_loop().create_future()
        fields = {"method": method, "rid": rid, "budget": str(budget_ms), "obj": obj, "chunk": "0", "tag": "17", **more}
        return frame(7, self.last_stream, fields, body), future

    async def request(self, *args, **more) -> asyncio.Future:
        data, future = self.encode(*args, **more)
        self.writer.write(data)
        await self.writer.drain()
        return future

    async def ready(self) -> bool:
        """Asks whether the director is ready (type 1)."""
        future = self.waiting[0] = asyncio.get_running_loop().create_future()
        self.writer.write(frame(1, 0, {}))
        return (await future)[0] == "served"

    async def _read(self) -> None:
        try:
            while True:
                size = int.from_bytes(await self.reader.readexactly(4), "big")
                data = await self.reader.readexactly(size)
                kind, stream = data[0], int.from_bytes(data[1:5], "big")
                if kind == 3:
                    self.going_away = True
                    continue
                fields, at = {}, 7
                for _ in range(data[6]):
                    name_end = at + 1 + data[at]
                    value_end = name_end + 2 + int.from_bytes(data[name_end : name_end + 2], "big")
                    fields[data[at + 1 : name_end].decode()] = data[name_end + 2 : value_end].decode()
                    at = value_end
                future = self.waiting.pop(stream, None)
                if future is None:
                    self.record(self.name, "answer for no open stream", stream, OUTCOMES.get(data[5], data[5]))
                elif not future.done():
                    future.set_result((OUTCOMES.get(data[5], str(data[5])), fields, data[at:], now_us()))
        except asyncio.IncompleteReadError:
            self.ended = "close"
        except OSError:
            self.ended = "reset"
        for future in self.waiting.values():
            if not future.done():
                future.set_result((f"lost: {self.ended} of the connection", {}, b"", now_us()))

    def close(self) -> None:
        self.task.cancel()
        self.writer.close()


class Member:
    """A cache, a parent or the origin. `serve(command)` is a coroutine that answers one command."""

    def __init__(self, record: Record, name: str, kind: str, zone: str, size: float = 8.0) -> None:
        self.record, self.name, self.kind, self.zone, self.size = record, name, kind, zone, size
        self.serve = self.serve_at_once
        self.received: list[Command] = []
        self.host = "127.0.0.1"

    async def open(self, backlog: int = 100) -> Member:
        self.sock = socket.socket()
        self.sock.bind((self.host, 0))
        self.port = self.sock.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, sock=self.sock, backlog=backlog)
        return self

    def row(self, phase: str = "SERVING") -> dict:
        """This member's entry in the coordinator's list."""
        return {"id": self.name, "host_port": f"{self.host}:{self.port}", "locality": self.zone, "flavor": self.kind,
                "cell": 0, "phase": phase, "size": self.size, "up_since_ms": 0}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        running: dict[str, asyncio.Task] = {}
        try:
            while True:
                first = await reader.read(1)
                if not first:
                    break
                first_us = now_us()
                words = (first + await reader.readuntil(b"\r\n")).decode().split()
                if words[0] == "undo":
                    self.record(self.name, "undo", words[1])
                    if task := running.pop(words[1], None):
                        task.cancel()
                    continue
                body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                fields = dict(pair.split("=", 1) for pair in words[2].split(","))
                command = Command(self, words[1], fields, body, writer, first_us)
                self.received.append(command)
                self.record(self.name, "do", words[1], words[2], f"body={len(body)}")
                running[words[1]] = asyncio.create_task(self.serve(command))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for task in running.values():  # closing a connection gives up everything that is open on it
                task.cancel()
            writer.close()

    async def serve_at_once(self, command: Command) -> None:
        await command.answer("ok", b"bytes of " + command.fields["k"].encode(), note="mem")


class Command:
    """A command that a member has received whole; `first_us` is the time of its first byte."""

    def __init__(self, member: Member, rid: str, fields: dict, body: bytes, writer, first_us: int) -> None:
        self.member, self.rid, self.fields, self.body, self.writer = member, rid, fields, body, writer
        self.first_us = first_us

    def encode(self, word: str, body: bytes = b"", **fields: object) -> bytes:
        fields["load"] = "inflight:1;util:0.10"
        if word == "ok":
            fields = {"sum": "4be0c1927d55a6f3", "t0": now_us() // 1000, **fields}
        text = ",".join(f"{name}={value}" for name, value in fields.items())
        return f"{self.rid} {word} {text} {len(body)}\r\n".encode() + body + b"\r\n"

    async def answer(self, word: str, body: bytes = b"", **fields: object) -> None:
        self.member.record(self.member.name, "answers", self.rid, word, fields.get("note", ""))
        self.writer.write(self.encode(word, body, **fields))


class Coordinator:
    """Tells numbered events as PROTOCOL describes. `delay_s` is the time from a call to the first byte of its answer."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict] = []
        self.delay_s = 0.0
        self.calls = 0
        self.changed = asyncio.Event()

    async def open(self) -> Coordinator:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def tell(self, event: dict) -> int:
        """Enters an event; returns the time from which it is in the coordinator."""
        self.events.append({"index": len(self.events) + 1, **event})
        self.changed.set()
        self.changed = asyncio.Event()
        return now_us()

    def tell_members(self, rows: list[dict], complete: bool = False) -> int:
        at_us = self.tell({"endpoints": {"revision": len(self.events) + 1, "complete": complete, "members": rows}})
        self.record("coordinator has event", len(self.events), *(f"{row['id']}={row['phase']}" for row in rows))
        return at_us

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        number = self.calls
        gone = asyncio.Event()
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            last = next(int(x.split(":")[1]) for x in head.split("\r\n") if x.lower().startswith("last-event-id"))
            self.record("coordinator is called: call", number, "Last-Event-ID", last)
            watcher = asyncio.create_task(self._watch_end(reader, gone, number))
            try:
                await asyncio.wait_for(gone.wait(), self.delay_s)
                return
            except TimeoutError:
                pass
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n")
            self.record("coordinator answers call", number)
            while not gone.is_set():
                changed = self.changed
                for event in self.events[last:]:
                    text = f"id: {event['index']}\ndata: {json.dumps(event)}\n\n"
                    self.record("coordinator tells event", event["index"], "on call", number)
                    writer.write(text.encode())
                last = len(self.events)
                await writer.drain()
                try:
                    await asyncio.wait_for(changed.wait(), 1.0)
                except TimeoutError:
                    writer.write(b":\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _watch_end(self, reader: asyncio.StreamReader, gone: asyncio.Event, number: int) -> None:
        try:
            while await reader.read(1024):
                pass
        except OSError:
            pass
        self.record("call", number, "was ended by the director")
        gone.set()


class Director:
    """One director, started by the deploy file's `run` from the root of the repository."""

    def __init__(self, record: Record, coordinator: Coordinator, settings: dict | None = None, **config) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="rookbend-review-"))
        pid = os.getpid()  # an address of this run's own, so that no other run takes the port before the director does
        with socket.socket() as probe:
            probe.bind((f"127.77.{pid // 250 % 250}.{pid % 250 + 1}", 0))
            self.address = probe.getsockname()
        self.config = {
            "name": "n0", "listen": "%s:%d" % self.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "coordinator": coordinator.address,
            "peer_listen": "", "peers": [], "peers_all": "", "flow_bytes_per_s": 310_000,
            "link_bytes_per_s": 1_240_000,
            "known": {"index": len(coordinator.events), "updates": list(coordinator.events)},
            "settings": settings or copy.deepcopy(SETTINGS), **config,
        }
        self.process: subprocess.Popen | None = None

    async def start(self) -> Director:
        """Starts the process and waits until it answers that it is ready."""
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        (self.folder / "tmp").mkdir()
        (self.folder / "config.json").write_text(json.dumps(self.config))
        self.log = open(self.folder / "log", "wb")
        env = {name: value for name, value in os.environ.items() if not name.startswith(("NODE_", "ROOKBEND_"))}
        env |= {"NODE_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder / "tmp")}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        self.record("director started, process", self.process.pid)
        for _ in range(300):
            await asyncio.sleep(0.1)
            if self.process.poll() is not None:
                raise Unusable(f"the director ended with {self.process.returncode}: {self.read_log()[-500:]}")
            try:
                client = await Client(self.record, "front").open(self.address)
            except OSError:
                continue
            ready = await asyncio.wait_for(client.ready(), 5)
            client.close()
            if ready:
                self.record("director is ready")
                return self
        raise Unusable("the director was not ready within 30 s")

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def read_log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    def stop(self) -> None:
        """Ends the process, and puts its log into the record."""
        if self.process is not None:
            if self.runs:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            for line in self.read_log().splitlines()[-60:]:
                self.record("log |", line)
        shutil.rmtree(self.folder, ignore_errors=True)


class Unusable(Exception):
    """The case could not run."""


def main(case, file: str) -> None:
    """Runs `case(record, started)`, which returns what broke the rule, or ''; `started` collects what has a `stop`."""
    record = Record(Path(file).resolve().parent)
    record("case", Path(file).resolve().parent.name, "disruption", "on" if trouble() else "off")
    started: list[Director] = []

    async def limited() -> str:
        return await asyncio.wait_for(case(record, started), 110)

    code = UNUSABLE
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNUSABLE))  # so that the director ends as well
    try:
        broken = asyncio.run(limited())
        code = BROKEN if broken else HELD
        record("RESULT:", f"the rule was broken: {broken}" if broken else "the rule held")
        print(f"the rule was broken: {broken}" if broken else "the rule held")
    except Unusable as error:
        record("RESULT: the case could not run:", error)
        print(f"the case could not run: {error}")
    except Exception as error:  # whatever else goes wrong is no result either
        record("RESULT: the case could not run:", repr(error))
        print(f"the case could not run: {error!r}")
    finally:
        for director in started:
            director.stop()
    sys.exit(code)
