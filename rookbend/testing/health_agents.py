"""Stand-ins for what a member's machine runs beside its cache: an agent, an HTTP or a gRPC health service.

Each poll is counted, and what it sent is remembered. How polls are answered may change at any time (`Behavior`).
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from rookbend.protocol.grpc_health_server import GrpcHealthServer

REMEMBERED_POLLS = 64
BLOCK_BYTES = 65536
SHARED_PORT_TRIES = 20
_ABORTING_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER of no time: closing resets the connection


class ResponseMode(StrEnum):
    """What a poller gets; the values are words of the tests' scenarios."""

    RESPOND = "say"  # the text, whole (an agent's line, an HTTP response), then a close
    STALL = "stall"  # the first half of the text, then nothing for as long as the poller stays
    DRIBBLE = "dribble"  # the text, a byte a second
    FLOOD = "flood"  # the text again and again, as fast as the poller reads
    SILENT = "silent"  # nothing; the connection stays
    RESET = "reset"  # the first half of the text, then a reset
    CLOSE = "leave"  # nothing, and a close
    GRPC = "grpc"  # grpc.health.v1


@dataclass
class Behavior:
    """How polls are answered. `is_serving` and `ignores_grpc` (reads on, sends nothing more) are gRPC's."""

    mode: ResponseMode = ResponseMode.RESPOND
    text: bytes = b"up ready\n"
    max_flood_bytes: int = 10 << 20
    is_serving: bool = True
    ignores_grpc: bool = False


def http_response(status: int, body: str, *headers: str) -> bytes:
    """A whole HTTP/1.1 response (RFC 9112), with further header lines."""
    data = body.encode()
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(data)}", "Connection: close", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


def _ignore(data: bytes) -> None:
    pass


class HealthAgent:
    """One listener. `on_poll(data)` is called with each poller's first bytes, or none where it sent none."""

    def __init__(self, host: str, behavior: Behavior | None = None, on_poll: Callable[[bytes], None] = _ignore) -> None:
        self.host = host
        self.port = 0
        self.behavior = behavior or Behavior()
        self.on_poll = on_poll
        self.polls = 0
        self.open_connections = 0
        self.sent_bytes = 0
        self.received: deque[bytes] = deque(maxlen=REMEMBERED_POLLS)
        self._scope = trio.CancelScope()
        self._grpc_servers: dict[trio.SocketStream, GrpcHealthServer] = {}
        self._responders: dict[ResponseMode, Callable[[trio.SocketStream, Behavior], Awaitable[None]]] = {
            ResponseMode.RESPOND: self._respond,
            ResponseMode.STALL: self._stall,
            ResponseMode.DRIBBLE: self._dribble,
            ResponseMode.FLOOD: self._flood,
            ResponseMode.SILENT: self._stay_silent,
            ResponseMode.RESET: self._reset,
            ResponseMode.CLOSE: self._close,
        }

    async def listen(self, nursery: trio.Nursery, port: int = 0) -> None:
        """Raises OSError where the port can't be had."""
        listeners = await trio.open_tcp_listeners(port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        self._scope = trio.CancelScope()
        nursery.start_soon(self._serve, listeners)

    async def _serve(self, listeners: list[trio.SocketListener]) -> None:
        with self._scope:
            await trio.serve_listeners(self._serve_connection, listeners)

    def close(self) -> None:
        """Stops listening, and drops whoever is connected: the next poller is refused."""
        self._scope.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self.polls += 1
        self.open_connections += 1
        try:
            async with stream:
                if self.behavior.mode == ResponseMode.GRPC:
                    await self._serve_grpc(stream)
                else:
                    await self._serve_text(stream, self.behavior)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the poller has left
        finally:
            self.open_connections -= 1
            self._grpc_servers.pop(stream, None)

    async def _serve_text(self, stream: trio.SocketStream, behavior: Behavior) -> None:
        data = b""
        if behavior.text.startswith(b"HTTP"):  # an agent may be polled without a byte, HTTP can't
            data = await stream.receive_some(BLOCK_BYTES)
        self.received.append(data)
        self.on_poll(data)
        await self._responders[behavior.mode](stream, behavior)

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        await stream.send_all(data)
        self.sent_bytes += len(data)

    async def _respond(self, stream: trio.SocketStream, behavior: Behavior) -> None:
        await self._send(stream, behavior.text)
        await stream.send_eof()
        # Bytes left unread would reset the connection under our own response.
        await _read_to_end(stream)

    async def _stall(self, stream: trio.SocketStream, behavior: Behavior) -> None:
        await self._send(stream, behavior.text[: len(behavior.text) // 2])
        await _read_to_end(stream)

    async def _stay_silent(self, stream: trio.SocketStream, behavior: Behavior) -> None:
        await _read_to_end(stream)

    async def _dribble(self, stream: trio.SocketStream, behavior: Behavior) -> None:
        for byte in behavior.text:
            await self._send(stream, bytes([byte]))
            await trio.sleep(1)

    async def _flood(self, stream: trio.SocketStream, behavior: Behavior) -> None:
        block = behavior.text * max(1, BLOCK_BYTES // len(behavior.text))
        sent_bytes = 0
        while sent_bytes < behavior.max_flood_bytes:
            await self._send(stream, block)
            sent_bytes += len(block)

    async def _reset(self, stream: trio.SocketStream, behavior: Behavior) -> None:
        await self._send(stream, behavior.text[: len(behavior.text) // 2])
        stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, _ABORTING_LINGER)

    async def _close(self, stream: trio.SocketStream, behavior: Behavior) -> None:
        """Nothing: the connection is closed behind it."""

    async def _serve_grpc(self, stream: trio.SocketStream) -> None:
        from rookbend.protocol.grpc_health_messages import ServingStatus
        from rookbend.protocol.grpc_health_server import GrpcHealthServer

        def status() -> ServingStatus:
            return ServingStatus.SERVING if self.behavior.is_serving else ServingStatus.NOT_SERVING

        server = GrpcHealthServer(status)
        self._grpc_servers[stream] = server
        self.on_poll(b"grpc")
        await self._send(stream, server.start())
        while not server.ended:
            data = server.feed(await stream.receive_some(BLOCK_BYTES))
            if data and not self.behavior.ignores_grpc:
                await self._send(stream, data)

    async def set_serving(self, is_serving: bool) -> None:
        """Changes the gRPC status and notifies those who watch."""
        self.behavior.is_serving = is_serving
        for stream, server in list(self._grpc_servers.items()):
            await self._send(stream, server.changed())


async def _read_to_end(stream: trio.SocketStream) -> None:
    while await stream.receive_some(BLOCK_BYTES):
        pass


async def listen_on_shared_port(agents: list[HealthAgent], nursery: trio.Nursery) -> int:
    """Has all agents listen on one port, each on its own host; the port. Raises OSError after many tries."""
    for tries_left in reversed(range(SHARED_PORT_TRIES)):
        try:
            await agents[0].listen(nursery)
            for agent in agents[1:]:
                await agent.listen(nursery, agents[0].port)
            return agents[0].port
        except OSError:
            for agent in agents:
                agent.close()
            if not tries_left:
                raise
    raise AssertionError("not reached")
