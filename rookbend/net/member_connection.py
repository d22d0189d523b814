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

CLOSE_TIMEOUT_US = 500_000  # from the director's close to dropping a connection that the member leaves open
MAX_DISCARDED_BYTES = 1 << 20  # read and discarded within that time
MAX_REMEMBERED_IDS = 512
ANSWER_STALL_TIMEOUT_US = 500_000  # without a byte, within an answer


class ConnectionState(Enum):
    """The state of a connection. Being idle is not a state of its own: see `MemberConnection.is_idle`."""

    NEW = "new"  # no attempt has been written yet
    ACTIVE = "active"
    DRAINING = "draining"  # nothing new is written; what is in flight may still be answered
    CLOSED = "closed"  # the director has closed its side and waits for the member's close


_NEW, _ACTIVE = ConnectionState.NEW, ConnectionState.ACTIVE  # read for each request: cheaper than an enum lookup


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt written to a connection, and the position of its bytes in the stream written there.

    `id_was_answered`: an earlier attempt with the same id was answered on this connection.
    """

    attempt: Attempt
    start_byte: int
    end_byte: int
    id_was_answered: bool


class ConnectionOwner(Protocol):
    """The pool that opened a connection: it is notified of events and settles the attempts."""

    def answers_received(self, connection: MemberConnection, answers: Sequence[cache_lines.CacheAnswer]) -> None:
        """Complete answers were read; some may belong to requests that are no longer in flight."""

    def read_processed(self, connection: MemberConnection) -> None:
        """All bytes of one read were processed; there may be capacity for more attempts."""

    def protocol_violated(self, connection: MemberConnection, reason: str) -> None:
        """The member sent a malformed answer; the connection is about to be closed."""

    def connection_lost(self, connection: MemberConnection) -> None:
        """The connection has ended: the owner calls `close` and settles the attempts in flight."""

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
        self.cancelled_ids: dict[str, None] = {}  # cancelled here; the member may not have read the cancel yet
        self.answered_ids: dict[str, None] = {}  # answered here; a duplicate of the answer may still arrive
        self.last_received_us = clock.now()
        self.last_used_us = self.last_received_us
        self._read_scope = trio.CancelScope()

    def accepts(self, request_id: str) -> bool:
        """Whether the request may be written here. An id that was cancelled on this connection is not used on it
        again, since the answer to the cancelled attempt may still arrive."""
        return (
            (self.state is _ACTIVE or self.state is _NEW)
            and not self.socket.backlog_bytes
            and not self.socket.broken
            and request_id not in self.cancelled_ids
            and request_id not in self.in_flight
        )

    def closed_by_peer(self) -> bool:
        """Whether the member has closed this idle connection, even if the reading task has not seen it yet.

        An attempt written after the member's close would be reset. A write request that was reset can't be retried,
        since it may have run.
        """
        if not self.in_flight and self.socket.peer_has_closed():
            self.stop_accepting()
            return True
        return False

    def is_new(self, since_us: int) -> bool:
        """Whether it was opened at `since_us` or later and nothing has been written on it yet."""
        return self.state is _NEW and self.last_used_us >= since_us

    def is_open(self) -> bool:
        """Whether new attempts may be written on it."""
        return self.state is _ACTIVE or self.state is _NEW

    def is_idle(self) -> bool:
        """Whether nothing is in flight."""
        return not self.in_flight

    def has_expired(self, before_us: int) -> bool:
        """Whether it is idle and was last written to at `before_us` or earlier."""
        return self.is_idle() and self.last_used_us <= before_us

    def is_sent(self, pending: InFlightAttempt) -> bool:
        """Whether the kernel has taken the last byte of the attempt."""
        return self.socket.sent_bytes >= pending.end_byte

    def send(self, attempt: Attempt, data: bytes, now_us: int) -> None:
        """Writes the attempt's command."""
        start = self.socket.accepted_bytes
        request_id = attempt.request.request_id
        self.in_flight[request_id] = InFlightAttempt(attempt, start, start + len(data), request_id in self.answered_ids)
        self.last_used_us = now_us
        self.state = _ACTIVE
        attempt.connection = self
        self.socket.write(data)

    def send_cancel(self, request_id: str) -> None:
        """Sends the member a cancel for the request."""
        remember(self.cancelled_ids, request_id)
        self.socket.write(cache_lines.write_cancel(request_id))

    def withdraw(self, pending: InFlightAttempt) -> bool:
        """Removes an attempt from the send buffer if none of its bytes was sent; returns whether it did.

        Otherwise a request whose client has left, or whose deadline has passed, would still be sent when the member
        reads again, and would start long after that.
        """
        if self.socket.accepted_bytes != pending.end_byte:
            return False
        return self.socket.withdraw(pending.end_byte - pending.start_byte)

    def abort_partly_sent(self, pending: InFlightAttempt) -> bool:
        """Shuts the connection down if the attempt is not sent completely and no other one is in flight, so that
        the member never receives the rest. Returns whether it did."""
        if self.is_sent(pending) or self.in_flight:
            return False
        self.abort()
        return True

    def stop_accepting(self) -> None:
        """No new attempts are written on this connection from now on."""
        if self.state is not ConnectionState.CLOSED:
            self.state = ConnectionState.DRAINING

    def abort(self) -> None:
        """Shuts the connection down both ways, which ends `run`."""
        self.stop_accepting()
        self.socket.abort()

    def finish(self) -> None:
        """Closes the sending side; `run` goes on until the member closes, for CLOSE_TIMEOUT_US at most."""
        self.state = ConnectionState.CLOSED
        if self.socket.backlog_bytes:
            self.socket.abort()
        else:
            self.socket.finish()
        self._read_scope.deadline = self.clock.monotonic_at(self.clock.now() + CLOSE_TIMEOUT_US)

    def close(self) -> list[InFlightAttempt]:
        """Closes the socket at once; returns the attempts that were in flight."""
        lost = list(self.in_flight.values())
        self.in_flight.clear()
        self.socket.on_drained = None
        self.socket.close()
        return lost

    async def run(self) -> None:
        """Reads answers until the connection ends."""
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
        """Reads until the connection ends, or until nothing arrives for ANSWER_STALL_TIMEOUT_US within an answer:
        behind an answer that is cut off, no other one would arrive on that connection.

        An answer whose bytes keep arriving is read to its end, or until its attempt times out. If no attempt is in
        flight, nobody waits for its rest, and the time counts from its first byte.
        """
        # No variable of this task refers to received bytes while it waits for more.
        while self._handle_received(await self.socket.receive()):
            pass

    def _handle_received(self, data: bytes) -> bool:
        """Returns whether to go on reading."""
        if not data:
            return False
        parser, clock = self.parser, self.clock
        self.last_received_us = now = clock.now()
        self.owner.answers_received(self, parser.feed(data))
        if self.state is ConnectionState.CLOSED:
            return True
        if not parser.has_partial:
            self._read_scope.deadline = math.inf
        elif self.in_flight or self._read_scope.deadline == math.inf:
            self._read_scope.deadline = clock.monotonic_at(now + ANSWER_STALL_TIMEOUT_US)
        self.owner.read_processed(self)
        return True

    async def _close_after_violation(self, reason: str) -> None:
        """Closes the sending side, and discards bytes until the member closes too. The attempts in flight are settled,
        and may be retried, only after that: before it sees the close, the member may still be answering them."""
        self.owner.protocol_violated(self, reason)
        self._read_scope = trio.CancelScope()
        self.finish()
        discarded = 0
        with self._read_scope:
            while discarded < MAX_DISCARDED_BYTES and (size := len(await self.socket.receive())):
                discarded += size


def remember(ids: dict[str, None], request_id: str) -> None:
    """Adds an id; above MAX_REMEMBERED_IDS, removes the oldest one."""
    ids[request_id] = None
    if len(ids) > MAX_REMEMBERED_IDS:
        del ids[next(iter(ids))]
