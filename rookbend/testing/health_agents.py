"""Stand-ins for what a member's machine runs beside its cache: an agent, an HTTP or a gRPC health service.

A `Manner` says how the next askers are answered, and may be changed at any time:

    say       the text, whole (an agent's line, an HTTP answer), then a close
    stall     the first half of the text, then nothing, for as long as the asker stays
    dribble   the text, a byte a second
    flood     the text again and again, `most` bytes at the most, as fast as the asker reads
    silent    accepts and says nothing
    reset     the first half of the text, then a reset
    leave     closes without a word
    grpc      speaks grpc.health.v1; `serving` is what it says; `deaf` reads on but answers no more

Every asker is counted, with what it sent: `asked`, `heard`.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

KEPT = 64  # of what askers sent, the newest
LINGER = struct.pack("ii", 1, 0)


@dataclass
class Manner:
    kind: str = "say"
    text: bytes = b"up ready\n"
    most: int = 10 << 20
    serving: bool = True
    deaf: bool = False


def http_answer(status: int, body: str, *headers: str) -> bytes:
    """A whole HTTP/1.1 answer (RFC 9112), with further header lines."""
    data = body.encode()
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(data)}", "Connection: close", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


class HealthPeer:
    """One listener. `on_asked(text)` is called with each asker's first bytes, or none where it sent none."""

    def __init__(self, host: str, manner: Manner | None = None, on_asked: Callable[[bytes], None] = lambda data: None):
        self.host, self.port = host, 0
        self.manner = manner or Manner()
        self.on_asked = on_asked
        self.asked = self.open = self.sent = 0
        self.heard: deque[bytes] = deque(maxlen=KEPT)
        self._scope = trio.CancelScope()
        self._grpc: dict[trio.SocketStream, object] = {}

    async def listen(self, nursery: trio.Nursery, port: int = 0) -> None:
        """Raises OSError where the port can't be had."""
        listeners = await trio.open_tcp_listeners(port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        self._scope = trio.CancelScope()
        nursery.start_soon(self._serve, listeners)

    async def _serve(self, listeners: list) -> None:
        with self._scope:
            await trio.serve_listeners(self._answer, listeners)

    def close(self) -> None:
        """Stops listening, and drops whoever is connected: the next asker is refused."""
        self._scope.cancel()

    async def _answer(self, stream: trio.SocketStream) -> None:
        self.asked += 1
        self.open += 1
        try:
            async with stream:
                await self._speak(stream, self.manner)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the asker has left
        finally:
            self.open -= 1
            self._grpc.pop(stream, None)

    async def _speak(self, stream: trio.SocketStream, manner: Manner) -> None:
        if manner.kind == "grpc":
            return await self._speak_grpc(stream)
        first = b""
        if manner.text.startswith(b"HTTP"):  # an agent may be asked without a word, HTTP can't
            first = await stream.receive_some(65536)
        self.heard.append(first)
        self.on_asked(first)
        await getattr(self, f"_{manner.kind}")(stream, manner)

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        await stream.send_all(data)
        self.sent += len(data)

    async def _say(self, stream, manner) -> None:
        await self._send(stream, manner.text)
        await stream.send_eof()
        while await stream.receive_some(65536):
            pass  # else bytes left unread would reset the connection under our own answer

    async def _stall(self, stream, manner) -> None:
        await self._send(stream, manner.text[: len(manner.text) // 2])
        while await stream.receive_some(65536):
            pass

    async def _silent(self, stream, manner) -> None:
        while await stream.receive_some(65536):
            pass

    async def _dribble(self, stream, manner) -> None:
        for byte in manner.text:
            await self._send(stream, bytes([byte]))
            await trio.sleep(1)

    async def _flood(self, stream, manner) -> None:
        block = manner.text * max(1, 65536 // len(manner.text))
        sent = 0
        while sent < manner.most:
            await self._send(stream, block)
            sent += len(block)

    async def _reset(self, stream, manner) -> None:
        await self._send(stream, manner.text[: len(manner.text) // 2])
        stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, LINGER)

    async def _leave(self, stream, manner) -> None:
        pass

    async def _speak_grpc(self, stream: trio.SocketStream) -> None:
        from rookbend.protocol.grpc_health_messages import ServingStatus
        from rookbend.protocol.grpc_health_server import GrpcHealthServer

        grpc = GrpcHealthServer(lambda: ServingStatus.SERVING if self.manner.serving else ServingStatus.NOT_SERVING)
        self._grpc[stream] = grpc
        self.on_asked(b"grpc")
        await self._send(stream, grpc.start())
        while not grpc.ended:
            out = grpc.feed(await stream.receive_some(65536))
            if out and not self.manner.deaf:
                await self._send(stream, out)

    async def set_serving(self, serving: bool) -> None:
        """Changes the gRPC status and tells those who watch."""
        self.manner.serving = serving
        for stream, grpc in list(self._grpc.items()):
            await self._send(stream, grpc.changed())


async def listen_together(peers: list[HealthPeer], nursery: trio.Nursery) -> int:
    """Has all of them listen on one port, each on its own host; gives the port."""
    for tries_left in reversed(range(20)):
        try:
            await peers[0].listen(nursery)
            for peer in peers[1:]:
                await peer.listen(nursery, peers[0].port)
            return peers[0].port
        except OSError:
            for peer in peers:
                peer.close()
            if not tries_left:
                raise
    raise AssertionError("not reached")
