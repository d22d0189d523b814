"""One client connection: reads its frames, writes its answers, and closes without losing either.

A connection is OPEN until the director closes its own side, then FINISHING until the client closes too. A
socket that is closed over unread bytes sends a reset, and a reset takes answers along that the client has not
read yet. So the director reads until nothing is there, closes its sending side, and goes on reading until
the client's end; what comes after its own end is never served.
"""

from __future__ import annotations

import socket
from enum import Enum
from typing import TYPE_CHECKING

import trio

from rookbend.fronts.platform import PlatformSession
from rookbend.net.buffered_socket import BufferedSocket, prepare

if TYPE_CHECKING:
    from rookbend.net.client_listener import FrontServer

PAUSE_ABOVE_BYTES = 1 << 20  # unsent bytes above which the client's new requests wait until they are gone
FINISH_US = 250_000  # a client that has not closed so long after our end is closed on
DROPPED_MOST_BYTES = 1 << 20  # and one that still sends so much
OWED_STEP_S = 0.01


class ClientPhase(Enum):
    """What the director still does with a connection."""

    OPEN = "open"  # its requests are taken
    FINISHING = "finishing"  # our side is closed; what still comes is dropped, until the client's end


class ClientConnection:
    """A client's channel and session, and the way both end."""

    def __init__(self, server: FrontServer, sock: socket.socket, nursery: trio.Nursery):
        self.server, self.phase = server, ClientPhase.OPEN
        self.socket = BufferedSocket(prepare(sock), nursery, server.outbox)
        self.socket.on_drained = self._drained
        self.session = PlatformSession(server.front, self.socket.write)
        self._reading = trio.CancelScope()
        self._dropped = 0  # bytes that came after our end

    @property
    def idle(self) -> bool:
        """Whether nothing is owed to this client, and its connection may be ended."""
        return self.phase is ClientPhase.OPEN and not self.session.open_streams and not self.socket.unsent_bytes

    @property
    def held_bytes(self) -> int:
        """Memory that this client holds: answers that it has not taken, and requests that wait for that."""
        return self.socket.backlog_bytes + self.session.held_bytes

    async def run(self) -> None:
        """Serves the client until the connection has ended."""
        try:
            with self._reading:
                await self._read()
                if self.phase is ClientPhase.OPEN and not self.socket.reset:
                    await self._answer_what_is_owed()
        finally:
            self.session.gone()
            self.server.forget(self)
            self.socket.on_drained = None
            self.socket.send()
            self.socket.close()

    async def _read(self) -> None:
        while data := await self.socket.receive():
            if self.phase is ClientPhase.OPEN:
                self._take(data + self.socket.receive_now())
            else:
                self._dropped += len(data)
                if self._dropped > DROPPED_MOST_BYTES:
                    return
        if self.phase is ClientPhase.OPEN and not self.socket.reset:
            self.session.client_left()

    def _take(self, data: bytes) -> None:
        if self.socket.eof_received:
            # Guards a request whose client has left already: it may have waited unread behind a late loop or
            # in the listener's backlog, and no attempt begins for a client that has gone.
            self.session.client_left()
        self.session.paused = self.socket.backlog_bytes > PAUSE_ABOVE_BYTES
        if not self.session.feed(data):
            self.server.counters.clients_dropped += 1
            self.finish()

    def _drained(self) -> None:
        if not self.socket.broken:
            self.session.resume()

    async def _answer_what_is_owed(self) -> None:
        """A client may close only its sending side: an answer that is on its way still goes out whole."""
        sock = self.socket
        while (self.session.open_streams or sock.unsent_bytes) and not (sock.closed or sock.broken):
            await trio.sleep(OWED_STEP_S)

    def let_go(self, wait_us: int = FINISH_US) -> bool:
        """Ends the connection of an idle client, unless something has come on it that was not read yet;
        tells whether it did."""
        if data := self.socket.receive_now():
            self._take(data)
            return False
        if not self.socket.eof_received:
            self.finish(wait_us)
        return True

    def finish(self, wait_us: int = FINISH_US) -> None:
        """Closes our side; `run` goes on to the client's end, but no longer than `wait_us`."""
        if self.phase is ClientPhase.FINISHING:
            return
        self.phase = ClientPhase.FINISHING
        self.session.gone()
        self.socket.finish()
        clock = self.server.front.engine.clock
        self._reading.deadline = clock.monotonic_at(clock.now() + wait_us)
