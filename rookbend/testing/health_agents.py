"""Test doubles of the health services on a member's host: a text agent, an HTTP or a gRPC health service.

They count polls and record the bytes that pollers sent. `Behavior` selects the response and may change at any time.
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

MAX_RECORDED_POLLS = 64
BLOCK_BYTES = 65536
SHARED_PORT_TRIES = 20
_ABORTING_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER with a time-out of 0: closing resets the connection


class ResponseMode(StrEnum):
    """How a poll is answered; the values are used in the scenarios of tests."""

    RESPOND = "say"  # sends the complete text (an agent's line, an HTTP response), then closes
    STALL = "stall"  # sends the first half of the text, then nothing until the poller disconnects
    DRIBBLE = "dribble"  # sends the text at one byte per second
    FLOOD = "flood"  # sends the text repeatedly, as fast as the poller reads
    SILENT = "silent"  # sends nothing and keeps the connection open
    RESET = "reset"  # sends the first half of the text, then resets the connection
    CLOSE = "leave"  # closes without sending anything
    GRPC = "grpc"  # grpc.health.v1


@dataclass
class Behavior:
    """How polls are answered; `is_serving` and `ignores_grpc` (keeps reading but sends nothing) apply to gRPC."""

    mode: ResponseMode = ResponseMode.RESPOND
    text: bytes = b"up ready\n"
    max_flood_bytes: int = 10 << 20
    is_serving: bool = True
    ignores_grpc: bool = False


def http_response(status: int, body: str, *headers: str) -> bytes:
    """Returns a complete HTTP/1.1 response (RFC 9112) with additional header lines."""
    data = body.encode()
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(data)}", "Connection: close", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


def _ignore(data: bytes) -> None:
    pass


class HealthAgent:
    """One listener. Calls `on_poll(data)` with the first bytes of each poller, or none if it sends none."""

    def __init__(self, host: str, behavior: Behavior | None = None, on_poll: Callable[[bytes], None] = _ignore) -> None:
        self.host = host
        self.port = 0
        self.behavior = behavior or Behavior()
        self.on_poll = on_poll
        self.polls = 0
        self.open_connections = 0
        self.sent_bytes = 0
        self.received: deque[bytes] = deque(maxlen=MAX_RECORDED_POLLS)
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
        """Listens on the port, 0 for any free one. Raises OSError if it can't be bound."""
        listeners = await trio.open_tcp_listeners(port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        self._scope = trio.CancelScope()
        nursery.start_soon(self._serve, listeners)

    async def _serve(self, listeners: list[trio.SocketListener]) -> None:
        with self._scope:
            await trio.serve_listeners(self._serve_connection, listeners)

    def close(self) -> None:
        """Stops listening and closes open connections; the next connection is refused."""
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
            pass  # the poller has disconnected
        finally:
            self.open_connections -= 1
            self._grpc_servers.pop(stream, None)

    async def _serve_text(self, stream: trio.SocketStream, behavior: Behavior) -> None:
        data = b""
        if behavior.text.startswith(b"HTTP"):  # an HTTP poller sends a request, an agent's poller may send nothing
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
        # Closing with unread bytes would reset the connection before the poller has read the response.
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
        """Sends nothing; the caller closes the connection."""

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
        """Changes the gRPC status and notifies the watching clients."""
        self.behavior.is_serving = is_serving
        for stream, server in list(self._grpc_servers.items()):
            await self._send(stream, server.changed())


async def _read_to_end(stream: trio.SocketStream) -> None:
    while await stream.receive_some(BLOCK_BYTES):
        pass


async def listen_on_shared_port(agents: list[HealthAgent], nursery: trio.Nursery) -> int:
    """Listens with all agents on the same port, each on its own host, and returns the port.

    Raises OSError after SHARED_PORT_TRIES failed attempts.
    """
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
