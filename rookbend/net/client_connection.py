"""One client connection: reads its frames, writes its answers, and closes without losing either.

A connection is OPEN until the director closes its own side, then FINISHING until the client closes too. A
socket that is closed over unread bytes sends a reset, and a reset takes answers along that the client has not
read yet. So the director reads until nothing is there, closes its sending side, and goes on reading until
the client's end; what comes after its own end is never served.
"""

from __future__ import annotations

import socket
from enum import Enum
from typing import Protocol

import trio

from rookbend.core.counters import Counters
from rookbend.fronts.platform import PlatformFront, PlatformSession
from rookbend.net.buffered_socket import BufferedSocket, WriteScheduler, set_socket_options

PAUSE_ABOVE_BYTES = 1 << 20  # unsent bytes above which the client's new requests are queued until all are sent
FINISH_TIMEOUT_US = 250_000  # from the close of our side to dropping a connection that the client leaves open
MAX_DISCARDED_BYTES = 1 << 20  # received and dropped in that time
FLUSH_POLL_S = 0.01


class ClientPhase(Enum):
    """What the director still does with a connection."""

    OPEN = "open"  # its requests are taken
    FINISHING = "finishing"  # our side is closed; what still comes is discarded, until the client's end


class ClientConnectionOwner(Protocol):
    """Who accepted a connection: what all of them share, and who is notified of their end."""

    front: PlatformFront
    counters: Counters
    scheduler: WriteScheduler

    def connection_closed(self, client: ClientConnection) -> None:
        """The connection has ended."""


class ClientConnection:
    """A client's socket and session, and the way both end. Owns the socket once `run` is started."""

    def __init__(self, owner: ClientConnectionOwner, sock: socket.socket, nursery: trio.Nursery) -> None:
        self.owner = owner
        self.phase = ClientPhase.OPEN
        self.socket = BufferedSocket(set_socket_options(sock), nursery, owner.scheduler)
        self.socket.on_drained = self._drained
        self.session = PlatformSession(owner.front, self.socket.write)
        self._read_scope = trio.CancelScope()
        self._discarded_bytes = 0

    def is_idle(self) -> bool:
        """Whether no answer is owed to this client, and its connection may be ended."""
        return self.phase is ClientPhase.OPEN and not self.session.open_streams and not self.socket.unsent_bytes

    def has_expired(self, now_us: int) -> bool:
        """Whether the client has sent nothing, or only a part of a frame, for too long."""
        if self.phase is not ClientPhase.OPEN or self.socket.unsent_bytes:
            return False
        deadline_us = self.session.idle_deadline_us
        return deadline_us is not None and deadline_us <= now_us

    @property
    def buffered_bytes(self) -> int:
        """Memory of this client: answers that it has not read, and requests that are queued for that."""
        return self.socket.backlog_bytes + self.session.queued_bytes

    async def run(self) -> None:
        """Serves the client until the connection has ended."""
        try:
            with self._read_scope:
                await self._read()
                if self.phase is ClientPhase.OPEN and not self.socket.reset:
                    await self._send_pending_answers()
        finally:
            self.session.connection_lost()
            self.owner.connection_closed(self)
            self.socket.on_drained = None
            self.socket.send()
            self.socket.close()

    async def _read(self) -> None:
        while data := await self.socket.receive():
            if self.phase is ClientPhase.OPEN:
                self._process(data + self.socket.receive_now())
            else:
                self._discarded_bytes += len(data)
                if self._discarded_bytes > MAX_DISCARDED_BYTES:
                    return
        if self.phase is ClientPhase.OPEN and not self.socket.reset:
            self.session.client_closed()

    def _process(self, data: bytes) -> None:
        if self.socket.eof_received:
            # Guards a request whose client has left already: it may have waited unread behind a late loop or
            # in the listener's backlog, and no attempt begins for a client that has left.
            self.session.client_closed()
        self.session.paused = self.socket.backlog_bytes > PAUSE_ABOVE_BYTES
        if not self.session.feed(data):
            self.owner.counters.clients_dropped += 1
            self.finish()

    def _drained(self) -> None:
        if not self.socket.broken:
            self.session.resume()

    async def _send_pending_answers(self) -> None:
        """A client may close only its sending side: an answer that is on its way is still sent whole."""
        sock = self.socket
        while (self.session.open_streams or sock.unsent_bytes) and not (sock.closed or sock.broken):
            await trio.sleep(FLUSH_POLL_S)

    def finish_if_idle(self, timeout_us: int = FINISH_TIMEOUT_US) -> bool:
        """Ends the connection of an idle client, unless something has come on it that was not read yet;
        returns whether it did."""
        if data := self.socket.receive_now():
            self._process(data)
            return False
        if not self.socket.eof_received:
            self.finish(timeout_us)
        return True

    def finish(self, timeout_us: int = FINISH_TIMEOUT_US) -> None:
        """Closes our side; `run` goes on to the client's end, but no longer than `timeout_us`."""
        if self.phase is ClientPhase.FINISHING:
            return
        self.phase = ClientPhase.FINISHING
        self.session.connection_lost()
        self.socket.finish()
        clock = self.owner.front.engine.clock
        self._read_scope.deadline = clock.monotonic_at(clock.now() + timeout_us)
