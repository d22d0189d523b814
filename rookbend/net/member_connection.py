"""One connection to a member: the attempts in flight on it, and the loop that reads their answers."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import trio

from rookbend.core.clock import Clock
from rookbend.core.model import Attempt
from rookbend.interface import AttemptStatus
from rookbend.net.buffered_socket import BufferedSocket
from rookbend.protocol import cache_lines

CLOSE_TIMEOUT_US = 500_000  # from the close of our side to dropping a connection that the member leaves open
MAX_DISCARDED_BYTES = 1 << 20  # read and dropped on it in that time
MAX_REMEMBERED_IDS = 512
ANSWER_TIMEOUT_US = 500_000  # from the first byte of an answer to its last


class ConnectionState(Enum):
    """The life of a connection. Whether it is idle is no state of its own: see `MemberConnection.is_idle`."""

    NEW = "new"  # no attempt was written yet
    ACTIVE = "active"
    DRAINING = "draining"  # nothing new is written; what is in flight may still be answered
    CLOSED = "closed"  # our side is closed, the member's end is awaited


_NEW, _ACTIVE = ConnectionState.NEW, ConnectionState.ACTIVE  # read for each request: a module's name is cheaper


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt written to a connection, and where its bytes lie in all that was written there."""

    attempt: Attempt
    start_byte: int
    end_byte: int


class ConnectionOwner(Protocol):
    """Who opened a connection: notified of its events, and settles its attempts."""

    def answers_received(self, connection: MemberConnection, answers: Sequence[cache_lines.CacheAnswer]) -> None:
        """Whole answers were read; some may be to requests that are no longer in flight."""

    def read_processed(self, connection: MemberConnection) -> None:
        """All that came with one read was processed: there may be capacity for more."""

    def protocol_violated(self, connection: MemberConnection, reason: str) -> None:
        """The member sent what is no answer; the connection closes next."""

    def connection_lost(self, connection: MemberConnection) -> None:
        """The connection has ended: the owner calls `close`, and settles what was in flight."""

    def cancel(self, connection: MemberConnection, attempt: Attempt) -> AttemptStatus:
        """Gives up an attempt in flight on the connection; see `Backend.abort`."""


class MemberConnection:
    """One connection to a member, and the attempts in flight on it, by request id."""

    def __init__(
        self, owner: ConnectionOwner, sock: BufferedSocket, clock: Clock, load_report_fields: tuple[str, ...]
    ) -> None:
        self.owner = owner
        self.socket = sock
        self.clock = clock
        self.parser = cache_lines.AnswerParser(load_report_fields)
        self.state = ConnectionState.NEW
        self.in_flight: dict[str, InFlightAttempt] = {}
        self.cancelled_ids: dict[str, None] = {}  # cancelled here; the member may not know it yet
        self.answered_ids: dict[str, None] = {}  # answered here; a second copy of the answer may still come
        self.last_received_us = clock.now()
        self.last_used_us = self.last_received_us
        self._read_scope = trio.CancelScope()

    def accepts(self, request_id: str) -> bool:
        """Whether the request may be written here. An id cancelled here may still be answered: it is not
        used here again."""
        return (
            (self.state is _ACTIVE or self.state is _NEW)
            and not self.socket.backlog_bytes
            and not self.socket.broken
            and request_id not in self.cancelled_ids
            and request_id not in self.in_flight
        )

    def closed_by_peer(self) -> bool:
        """Whether the member has closed this idle connection, though its reader has not got to it yet.

        Guards writes: written there, one would be reset, and a write that was reset may have run.
        """
        if not self.in_flight and self.socket.peer_has_closed():
            self.stop_accepting()
            return True
        return False

    def is_new(self, since_us: int) -> bool:
        """Whether it was opened since then, and nothing was written on it yet."""
        return self.state is _NEW and self.last_used_us >= since_us

    def is_open(self) -> bool:
        """Whether new attempts may be written on it at all."""
        return self.state is _ACTIVE or self.state is _NEW

    def is_idle(self) -> bool:
        """Whether nothing is in flight."""
        return not self.in_flight

    def has_expired(self, before_us: int) -> bool:
        """Whether it is idle, and nothing was written on it after `before_us`."""
        return self.is_idle() and self.last_used_us <= before_us

    def is_sent(self, pending: InFlightAttempt) -> bool:
        """Whether the last byte of the attempt was taken by the kernel."""
        return self.socket.sent_bytes >= pending.end_byte

    def send(self, attempt: Attempt, data: bytes, now_us: int) -> None:
        """Writes the attempt's command."""
        start = self.socket.accepted_bytes
        self.in_flight[attempt.request.request_id] = InFlightAttempt(attempt, start, start + len(data))
        self.last_used_us = now_us
        self.state = _ACTIVE
        attempt.connection = self
        self.socket.write(data)

    def send_cancel(self, request_id: str) -> None:
        """Notifies the member that nobody waits for the request any more."""
        remember(self.cancelled_ids, request_id)
        self.socket.write(cache_lines.write_cancel(request_id))

    def withdraw(self, pending: InFlightAttempt) -> bool:
        """Takes back an attempt of which no byte was sent; returns whether it did.

        Guards those whose client has left, or whose time is over: sent on once the member reads again, the
        request would begin long after that.
        """
        if self.socket.accepted_bytes != pending.end_byte:
            return False
        return self.socket.withdraw(pending.end_byte - pending.start_byte)

    def abort_partly_sent(self, pending: InFlightAttempt) -> bool:
        """Breaks the connection if the attempt was the last in flight, and is not sent whole: the member
        never sees the rest. Returns whether it did."""
        if self.is_sent(pending) or self.in_flight:
            return False
        self.abort()
        return True

    def stop_accepting(self) -> None:
        """Nothing new is written here any more."""
        if self.state is not ConnectionState.CLOSED:
            self.state = ConnectionState.DRAINING

    def abort(self) -> None:
        """Breaks the connection both ways; `run` ends next."""
        self.stop_accepting()
        self.socket.abort()

    def finish(self) -> None:
        """Closes our side; `run` goes on to the member's end, for CLOSE_TIMEOUT_US at most."""
        self.state = ConnectionState.CLOSED
        if self.socket.backlog_bytes:
            self.socket.abort()
        else:
            self.socket.finish()
        self._read_scope.deadline = self.clock.monotonic_at(self.clock.now() + CLOSE_TIMEOUT_US)

    def close(self) -> list[InFlightAttempt]:
        """Closes the socket at once; returns what was in flight."""
        lost = list(self.in_flight.values())
        self.in_flight.clear()
        self.socket.on_drained = None
        self.socket.close()
        return lost

    async def run(self) -> None:
        """Reads answers until the connection has ended."""
        try:
            with self._read_scope:
                await self._read_answers()
            if self._read_scope.cancelled_caught and self.state is not ConnectionState.CLOSED:
                await self._close_after_violation("an answer stopped short")
        except cache_lines.LineError as error:
            self.owner.answers_received(self, error.answers)
            if self.state is not ConnectionState.CLOSED:
                await self._close_after_violation(str(error))
        finally:
            self.owner.connection_lost(self)

    async def _read_answers(self) -> None:
        """Reads until the connection ends, or until an answer has begun that is not whole in time. Guards
        against one that stops short: nothing else would come on that connection."""
        parser, clock = self.parser, self.clock
        while data := await self.socket.receive():
            self.last_received_us = now = clock.now()
            self.owner.answers_received(self, parser.feed(data))
            if self.state is ConnectionState.CLOSED:
                continue
            if not parser.has_partial:
                self._read_scope.deadline = math.inf
            elif self._read_scope.deadline == math.inf:
                self._read_scope.deadline = clock.monotonic_at(now + ANSWER_TIMEOUT_US)
            self.owner.read_processed(self)

    async def _close_after_violation(self, reason: str) -> None:
        """Closes our side. What is in flight may go again once the member knows: it may still be sending
        what is discarded here."""
        self.owner.protocol_violated(self, reason)
        self._read_scope = trio.CancelScope()
        self.finish()
        discarded = 0
        with self._read_scope:
            while discarded < MAX_DISCARDED_BYTES and (data := await self.socket.receive()):
                discarded += len(data)


def remember(ids: dict[str, None], request_id: str) -> None:
    """Adds an id, and forgets the oldest beyond MAX_REMEMBERED_IDS."""
    ids[request_id] = None
    if len(ids) > MAX_REMEMBERED_IDS:
        del ids[next(iter(ids))]
