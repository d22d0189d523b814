"""The members' side of the wire: the platform's line protocol, and the HTTP endpoint for directors' health checks."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from rookbend.testing.cache_store import Copy
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.relay import reset
from rookbend.testing.cluster.shared_state import FetchResult, SentCopy, digest, group_of
from rookbend.testing.cluster.traffic_classes import WRITES
from rookbend.testing.invariant_events import AttemptAnswered, AttemptReceived


@dataclass(slots=True)
class ActiveCommand:
    """A command in progress."""

    received_us: int
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    answered: bool = False


class DirectorConnection:
    """A director's connection; the lock keeps answers from interleaving."""

    def __init__(self, stream: trio.SocketStream):
        self.stream, self.writing, self.commands = stream, trio.Lock(), {}


class MemberProtocol:
    """The part of `SimulatedMember` that serves its connections."""

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self.down:
            return reset(stream)
        self._streams.add(stream)
        connection = DirectorConnection(stream)
        commands = connection.commands
        data, first_byte_us = b"", 0
        try:
            async with trio.open_nursery() as nursery:
                async for more in stream:
                    first_byte_us = now_us() if not data else first_byte_us
                    data += more
                    while (end := data.find(b"\r\n")) >= 0:
                        words = data[:end].decode("ascii").split(" ")
                        if words[0] != "do":
                            data = data[end + 2 :]
                            if words[0] == "undo" and (command := commands.get(words[1])) is not None:
                                command.scope.cancel()
                            continue
                        used = end + 2 + int(words[3]) + 2
                        if len(data) < used:
                            break
                        data = data[used:]
                        command = commands[words[1]] = ActiveCommand(first_byte_us)
                        fields = dict(pair.split("=", 1) for pair in words[2].split(","))
                        nursery.start_soon(self._execute, connection, command, words[1], fields, first_byte_us)
                        first_byte_us = now_us()
                nursery.cancel_scope.cancel()  # closing the connection cancels all its commands
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._streams.discard(stream)

    async def _execute(
        self, connection: DirectorConnection, command: ActiveCommand, rid: str, fields: dict, first_byte_us: int
    ) -> None:
        key, part = fields["k"], int(fields.get("p", 0))
        source = self.shared.members.get(fields.get("next", ""))
        write = fields["c"] in WRITES
        self.request_count += 1
        work_s = self.work_seconds(key, part)
        wait_us = int(fields.get("w", 0)) * 1000
        self.record.feed(
            AttemptReceived(now_us(), rid, self.name, first_byte_us, fields.get("next", ""), work_s, wait_us)
        )
        group = group_of(key)
        try:
            with command.scope:
                limit = int(fields.get("agelim", 0)) * 1000
                oldest = now_us() - limit if limit else 0
                if write:
                    result = await self._write(rid, key)
                else:
                    result = await self.get(
                        key,
                        part,
                        group,
                        oldest,
                        source,
                        int(fields.get("admit", 0)),
                        "wait-for" in fields.get("ways", ""),
                    )
                await self._answer(connection, command, rid, key, part, result)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            connection.commands.pop(rid, None)
            if not command.answered:  # cancelled, or its connection is lost: the command may have run
                self.record.feed(AttemptAnswered(now_us(), rid, self.name, True))

    async def _write(self, rid: str, key: str) -> FetchResult:
        """Runs a write at the origin, also if its answer is lost later."""
        origin = next(b for b in self.shared.members.values() if b.role == "origin")
        duration_s = origin.admit(origin.profile.first_byte_s)
        if duration_s is None:
            return FetchResult("refused")
        self.shared.executions.setdefault(key, []).append(rid)
        await trio.sleep(duration_s)
        return FetchResult("ok", "origin", Copy(0, now_us()))

    async def _answer(
        self, connection: DirectorConnection, command: ActiveCommand, rid: str, key: str, part: int, result: FetchResult
    ) -> None:
        body = self.shared.bytes_of(key, part, result.copy.t0_us) if result.copy is not None else b""
        load = f"inflight:{len(self._window)};util:{min(1.0, self._window_work_s / self.profile.capacity):.2f}"
        fields = [f"load={load}"]
        if result.note:
            fields.append(f"note={result.note}")
        if result.copy is not None:
            fields += [f"sum={digest(body)}", f"t0={result.copy.t0_us // 1000}"]
        if result.waited_s:
            fields.append(f"slow={result.waited_s * 1000:.0f}")
        if result.copy is not None:
            self.shared.sent_copies.append(SentCopy(command.received_us, key, result.copy.t0_us, self.name))
        command.answered = True
        self.record.feed(
            AttemptAnswered(
                now_us(),
                rid,
                self.name,
                result.outcome in ("ok", "error"),
                result.copy is not None,
                result.copy.t0_us if result.copy is not None else 0,
                digest(body),
            )
        )
        head = f"{rid} {result.outcome} {','.join(fields)} {len(body)}\r\n"
        async with connection.writing:
            await connection.stream.send_all(head.encode() + body + b"\r\n")

    async def listen_health(self, nursery: trio.Nursery) -> None:
        """Serves `GET /health` for the directors' checks and counts them."""
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
                status = "503 Service Unavailable" if self.unhealthy else "200 OK"
                await stream.send_all(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the checking director has ended
