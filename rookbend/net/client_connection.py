"""One client connection: reads frames, writes answers, and closes without losing either.

A connection is OPEN until the director closes its sending side, then FINISHING until the client closes too. One whose
client has sent invalid bytes is REJECTED in between, until its open requests are answered.
An answer is not delivered before the client's system has it, so a connection is idle only then. The director reads all
pending bytes, closes its sending side, and goes on reading until the client closes; see `lingering_close`. Requests
received after the director's close are not served.
"""

from __future__ import annotations

import socket
from enum import Enum
from typing import Protocol

import trio

from rookbend.core.counters import Counters
from rookbend.fronts.platform import PlatformFront, PlatformSession
from rookbend.net.buffered_socket import BufferedSocket, set_socket_options
from rookbend.net.client_input import ClientInput
from rookbend.net.connection_age import quiet_us
from rookbend.net.delivery import DeliveryMonitor
from rookbend.net.drop_reason import DropReason
from rookbend.net.lingering_close import LINGER_LIMIT_US, LingeringClose, close_without_reset
from rookbend.net.write_scheduler import WriteScheduler

RECEIVE_BYTES = 1 << 16
FINISH_TIMEOUT_US = 250_000  # until a connection is dropped that its client leaves open and sends nothing on
FLUSH_POLL_S = 0.01


class ClientPhase(Enum):
    """Whether the director still serves a connection."""

    OPEN = "open"  # requests are accepted
    REJECTED = "rejected"  # bytes received are discarded; open requests are still answered
    FINISHING = "finishing"  # the director has closed its side; bytes received until the client closes are discarded


class ClientConnectionOwner(Protocol):
    """The listener that accepted a connection; it is notified when the connection ends."""

    front: PlatformFront
    counters: Counters
    scheduler: WriteScheduler
    processing_turns: trio.Lock

    def connection_closed(self, client: ClientConnection) -> None:
        """The connection has ended."""


class ClientConnection:
    """A client's socket and session. Owns the socket once `run` is started."""

    def __init__(
        self, owner: ClientConnectionOwner, sock: socket.socket, nursery: trio.Nursery, waited_us: int = 0
    ) -> None:
        """`waited_us` is the time for which the connection has waited to be accepted."""
        self.owner = owner
        self.phase = ClientPhase.OPEN
        self.socket = BufferedSocket(set_socket_options(sock), nursery, owner.scheduler, RECEIVE_BYTES)
        self.socket.on_drained = self._drained
        self.session = PlatformSession(owner.front, self.socket.write, waited_us)
        if not self.socket.peek():
            self.session.all_read()  # no bytes have waited
        self._input = ClientInput(self.session, self.socket, owner.processing_turns)
        self._clock = owner.front.engine.clock
        self._delivery = DeliveryMonitor(self.socket, self._clock.now())
        self._read_scope = trio.CancelScope()
        self._finish_timeout_us = FINISH_TIMEOUT_US
        self._linger_limit_us = LINGER_LIMIT_US

    def is_idle(self) -> bool:
        """Whether no answer is pending for this client or on its way to it, so that its connection may be closed."""
        return not (self._is_answering() or self.is_delivering())

    def _is_answering(self) -> bool:
        is_finishing = self.phase is ClientPhase.FINISHING
        return bool(is_finishing or self._input.is_processing or self.session.open_streams or self.socket.unsent_bytes)

    def is_delivering(self) -> bool:
        """Whether answers are on their way to the client, which counts as activity."""
        now_us = self._clock.now()
        is_delivering = self._delivery.is_delivering(now_us)
        if is_delivering and self._delivery.progress_us == now_us:
            self.session.activity.delivered(now_us)
        return is_delivering

    def has_stalled(self, since_us: int) -> bool:
        """Whether a client with answers on their way has received none of them since then, and has no open request."""
        return not self._is_answering() and self._delivery.is_stalled(since_us)

    def has_expired(self, now_us: int) -> bool:
        """Whether a client that has its answers has been inactive for too long: it has sent nothing, or only part of a
        frame. A rejected client has no time left then."""
        if self._is_answering():
            return False
        if self.phase is ClientPhase.REJECTED:
            return True
        deadline_us = self.session.inactivity_deadline_us
        return deadline_us is not None and deadline_us <= now_us

    @property
    def expiry_reason(self) -> DropReason:
        """Why the connection is ended if it has expired."""
        if self.phase is ClientPhase.REJECTED:
            return DropReason.INVALID_BYTES
        return DropReason.INCOMPLETE_FRAME if self.session.activity.message_since_us else DropReason.INACTIVE

    @property
    def buffered_bytes(self) -> int:
        """Bytes in memory for this client: unread answers, and the requests queued until they are read."""
        return self.socket.backlog_bytes + self.session.requests.queued_bytes

    @property
    def peer_name(self) -> str:
        """The client's address as HOST:PORT; empty once the connection is broken."""
        try:
            host, port, *_ = self.socket.sock.getpeername()
        except OSError:
            return ""
        return f"{host}:{port}"

    async def run(self) -> None:
        """Serves the client until the connection has ended."""
        try:
            with self._read_scope:
                await self._read()
                if self.phase is not ClientPhase.FINISHING and not self.socket.reset:
                    await self._send_pending_answers()
            if self.phase is ClientPhase.FINISHING and self._finish_timeout_us:
                lingering = LingeringClose(self.socket, self._delivery, self._clock)
                await lingering.wait(self._finish_timeout_us, self._linger_limit_us)
        finally:
            self.session.connection_lost()
            self.owner.connection_closed(self)
            self.socket.on_drained = None
            close_without_reset(self.socket)

    async def _read(self) -> None:
        # No variable of this task refers to received bytes while it waits for more.
        while await self._handle_received(await self.socket.receive()):
            pass
        if self.phase is not ClientPhase.FINISHING and not self.socket.reset:
            self.session.client_closed()

    async def _handle_received(self, data: bytes) -> bool:
        """Returns whether to go on reading."""
        if not data:
            return False
        if self.phase is ClientPhase.OPEN:
            self.session.receive_data(data)
            del data  # it may take many turns to process
            if not await self._input.process(self._is_open):
                self._reject()
            self.session.all_read()
        return True

    def loop_paused(self, pause_us: int) -> None:
        """The event loop stood still: what can be read now may have waited for that long."""
        if self._input.is_processing:
            self.session.note_wait(pause_us, pause_us)  # what is processed now was read before the pause
        elif self.socket.peek():
            self.session.note_wait(pause_us, min(pause_us, quiet_us(self.socket.sock)))

    def _is_open(self) -> bool:
        return self.phase is ClientPhase.OPEN

    def _reject(self) -> None:
        """Reads nothing more from a client that has broken the protocol; its open requests are still answered."""
        if not self.session.is_rejected:
            self._linger_limit_us = FINISH_TIMEOUT_US  # it reads nothing
            self.drop(DropReason.UNREAD_REJECTIONS)
        elif self.session.open_streams or self.socket.backlog_bytes:
            self.phase = ClientPhase.REJECTED
        else:
            self.drop(DropReason.INVALID_BYTES)

    def _drained(self) -> None:
        if not self.socket.broken:
            self._input.drained()

    async def _send_pending_answers(self) -> None:
        """Waits until the pending answers are sent: the client may have closed only its sending side."""
        sock = self.socket
        while (self.session.open_streams or sock.unsent_bytes) and not (sock.closed or sock.broken):
            await trio.sleep(FLUSH_POLL_S)

    def finish_if_idle(self, timeout_us: int = FINISH_TIMEOUT_US, reason: DropReason | None = None) -> bool:
        """Closes the connection of an idle client, which counts as a drop if a `reason` is given. If unread bytes have
        arrived, leaves it open for them to be processed and returns False."""
        unread = self.socket.peek()
        if unread and self.phase is ClientPhase.OPEN:
            return False
        if unread != b"":  # at the end of the stream, `run` ends by itself
            if reason is not None:
                if reason is DropReason.INCOMPLETE_FRAME:
                    self.session.reject_connection()
                self._count_drop(reason)
            self.finish(timeout_us)
        return True

    def drop(self, reason: DropReason) -> None:
        """Ends the connection of a client that misbehaves; see `finish`."""
        self._count_drop(reason)
        self.finish()

    def abort(self, reason: DropReason) -> None:
        """Ends the connection at once, without its unsent answers."""
        self._count_drop(reason)
        self.socket.abort()

    def _count_drop(self, reason: DropReason) -> None:
        session, counters = self.session, self.owner.counters
        open_requests = len(session.open_streams)
        counters.clients_dropped += 1
        counters.requests_dropped += open_requests
        engine = self.owner.front.engine
        now_us = self._clock.now()
        incomplete_since_us = session.activity.message_since_us
        engine.log(
            "client_dropped",
            "warning" if open_requests else "info",
            reason=reason.value,
            client=self.peer_name,
            open_requests=open_requests,
            inactive_ms=(now_us - session.activity.last_activity_us) // 1000,
            frame_age_ms=(now_us - incomplete_since_us) // 1000 if incomplete_since_us else None,
            unsent_bytes=self.socket.unsent_bytes,
            undelivered_bytes=self.socket.undelivered_bytes,
        )

    def finish(self, timeout_us: int = FINISH_TIMEOUT_US) -> None:
        """Closes the sending side; `run` goes on until the client closes, or has its answers and sends nothing for
        `timeout_us`."""
        if self.phase is ClientPhase.FINISHING:
            return
        self.phase = ClientPhase.FINISHING
        self._finish_timeout_us = timeout_us
        self.session.connection_lost()
        self.socket.finish()
        self._read_scope.cancel()
