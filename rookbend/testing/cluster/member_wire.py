"""The wire of the stage's members: the platform's lines, and the page for directors' checks."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from rookbend.testing.cache_store import Copy
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.relay import reset
from rookbend.testing.cluster.shared_state import Got, Sent, digest, group_of
from rookbend.testing.cluster.traffic_classes import WRITES
from rookbend.testing.invariant_events import AttemptAnswered, AttemptReceived


@dataclass(slots=True)
class Open:
    """A command that is being worked on."""

    asked_us: int
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    told: bool = False


class Line:
    """A director's connection: one answer at a time is written to it."""

    def __init__(self, stream: trio.SocketStream):
        self.stream, self.writing, self.works = stream, trio.Lock(), {}


class Wire:
    """The part of `Box` that speaks."""

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self.down:
            return reset(stream)
        self._streams.add(stream)
        line = Line(stream)
        works = line.works
        data, first = b"", 0
        try:
            async with trio.open_nursery() as nursery:
                async for more in stream:
                    first = now_us() if not data else first
                    data += more
                    while (end := data.find(b"\r\n")) >= 0:
                        words = data[:end].decode("ascii").split(" ")
                        if words[0] != "do":
                            data = data[end + 2 :]
                            if words[0] == "undo" and (work := works.get(words[1])) is not None:
                                work.scope.cancel()
                            continue
                        used = end + 2 + int(words[3]) + 2
                        if len(data) < used:
                            break
                        data = data[used:]
                        work = works[words[1]] = Open(first)
                        fields = dict(pair.split("=", 1) for pair in words[2].split(","))
                        nursery.start_soon(self._do, line, work, words[1], fields, first)
                        first = now_us()
                nursery.cancel_scope.cancel()  # closing the connection gives up all that is open on it
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._streams.discard(stream)

    async def _do(self, line: Line, work: Open, rid: str, fields: dict, first: int) -> None:
        key, part = fields["k"], int(fields.get("p", 0))
        source = self.world.members.get(fields.get("next", ""))
        write = fields["c"] in WRITES
        self.asked += 1
        self.record.feed(
            AttemptReceived(now_us(), rid, self.name, first, fields.get("next", ""), self.work_of(key, part))
        )
        group = group_of(key)
        try:
            with work.scope:
                limit = int(fields.get("agelim", 0)) * 1000
                oldest = now_us() - limit if limit else 0
                if write:
                    got = await self._write(rid, key)
                else:
                    got = await self.get(
                        key,
                        part,
                        group,
                        oldest,
                        source,
                        int(fields.get("admit", 0)),
                        "wait-for" in fields.get("ways", ""),
                    )
                await self._answer(line, work, rid, key, part, got)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            line.works.pop(rid, None)
            if not work.told:  # given up, or its connection has gone: it may have run
                self.record.feed(AttemptAnswered(now_us(), rid, self.name, True))

    async def _write(self, rid: str, key: str) -> Got:
        """A write runs at the origin, whatever becomes of its answer."""
        origin = next(b for b in self.world.members.values() if b.role == "origin")
        takes = origin.admit(origin.make.first_s)
        if takes is None:
            return Got("refused")
        self.world.ran.setdefault(key, []).append(rid)
        await trio.sleep(takes)
        return Got("ok", "origin", Copy(0, now_us()))

    async def _answer(self, line: Line, work: Open, rid: str, key: str, part: int, got: Got) -> None:
        body = self.world.bytes_of(key, part, got.copy.t0_us) if got.copy is not None else b""
        load = f"inflight:{len(self._log)};util:{min(1.0, self._total / self.make.capacity):.2f}"
        fields = [f"load={load}"]
        if got.note:
            fields.append(f"note={got.note}")
        if got.copy is not None:
            fields += [f"sum={digest(body)}", f"t0={got.copy.t0_us // 1000}"]
        if got.waited_s:
            fields.append(f"slow={got.waited_s * 1000:.0f}")
        if got.copy is not None:
            self.world.copies.append(Sent(work.asked_us, key, got.copy.t0_us, self.name))
        work.told = True
        self.record.feed(
            AttemptAnswered(
                now_us(),
                rid,
                self.name,
                got.word in ("ok", "error"),
                got.copy is not None,
                got.copy.t0_us if got.copy is not None else 0,
                digest(body),
            )
        )
        head = f"{rid} {got.word} {','.join(fields)} {len(body)}\r\n"
        async with line.writing:
            await line.stream.send_all(head.encode() + body + b"\r\n")

    async def listen_health(self, nursery: trio.Nursery) -> None:
        """`GET /health` for the directors' checks; each is counted."""
        listeners = await trio.open_tcp_listeners(0, host=self.host)
        self.health = listeners[0].socket.getsockname()[:2]
        nursery.start_soon(trio.serve_listeners, self._serve_health, listeners)

    async def _serve_health(self, stream: trio.SocketStream) -> None:
        self.checks += 1
        self.record.note("check", self.name)
        if self.down:
            return reset(stream)
        try:
            with trio.move_on_after(5.0):
                data = b""
                while b"\r\n\r\n" not in data and (more := await stream.receive_some(4096)):
                    data += more
                status = "503 Service Unavailable" if self.ill else "200 OK"
                await stream.send_all(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the one who asked has died
