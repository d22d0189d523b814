"""One connection to a member, with what is out on it, and reading what comes on it."""

from __future__ import annotations

import errno
import math
import socket
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

from rookbend.core.model import Attempt, AttemptResult
from rookbend.interface import AttemptStatus
from rookbend.net.buffered_socket import Channel, prepare
from rookbend.protocol import cache_lines

if TYPE_CHECKING:
    from rookbend.net.member_pool import MemberPool

GONE_US = 500_000  # a connection closed on our side is dropped if the other has not by then
UNREAD = 1 << 20  # bytes passed over on it in that time
IDS_KEPT = 512  # ids of past requests that a connection remembers
ANSWER_US = 500_000  # an answer that has begun is whole by then, or it never will be


class Span(NamedTuple):
    """Where a request stands in the bytes written on a connection."""

    start: int
    end: int


class MemberConnection:
    """One connection to a member, and the attempts that are out on it."""

    def __init__(self, member_pool: MemberPool, channel: Channel, load_report_fields: tuple[str, ...]):
        self.member_pool, self.channel, self.parser = member_pool, channel, cache_lines.AnswerParser(load_report_fields)
        self.open: dict[str, Attempt] = {}
        self.spans: dict[str, Span] = {}  # of the requests in `open`
        self.undone: dict[str, None] = {}  # ids given up here; the member may not know it yet
        self.answered: dict[str, None] = {}  # ids answered here; a second copy of it may still come
        self.heard_us = self.used_us = 0
        self.unused = True
        self.suspect = False  # silent: nothing new goes out on it
        self.ended = False  # closed on our side, the other side's end is awaited
        self.reading = trio.CancelScope()

    def takes(self, rid: str) -> bool:
        """Whether a request may go out on it at all. An id given up here may still have an answer on its
        way: it is not used here again."""
        return (
            not self.suspect
            and not self.channel.queued
            and not self.channel.broken
            and rid not in self.undone
            and rid not in self.open
        )

    def ended_by_member(self) -> bool:
        """Whether the member has closed this idle connection, though its reader has not got to it yet.

        Guards writes: written there, one would be reset, and a write that was reset may have run.
        """
        if not self.open and self.channel.peer_has_closed():
            self.suspect = True
        return self.suspect

    def whole(self, rid: str) -> bool:
        """Whether the request's last byte has been written."""
        return self.channel.written >= self.spans[rid].end


class Reading:
    """The part of `MemberPool` that opens connections and hears answers on them."""

    async def _connect(self) -> None:
        engine, sock, refused = self.pool.engine, None, False
        began = engine.clock.now()
        due = began + self.pool.connect_timeout_us
        try:
            with trio.CancelScope(deadline=engine.clock.monotonic_at(due)):
                sock = await open_socket(self.entry.address)
        except OSError as error:
            refused = error.errno == errno.ECONNREFUSED
        finally:
            self.connecting -= 1
            if sock is None:
                self.pool.open_connections -= 1
        if sock is None:
            self.restart.connect_failed(refused, bool(self.connections))
            return self._connect_failed(began)
        self.pool.counters.connects += 1
        connection = MemberConnection(
            self, Channel(sock, self.pool.nursery, self.pool.outbox), self.pool.load_report_fields
        )
        connection.channel.on_drained = self.pump
        connection.used_us = connection.heard_us = engine.clock.now()
        self.connections.append(connection)
        if self.restart.connected():
            engine.member_restarted(self.entry.member.server)
        self.pump()
        await self._read(connection)

    def _connect_failed(self, began_us: int) -> None:
        engine = self.pool.engine
        if any(connection.heard_us >= began_us and not connection.suspect for connection in self.connections):
            # It answers, but takes no more connections: those there are get shared for a while.
            self.share_until_us = engine.clock.now() + self.pool.connect_timeout_us
            return self.pump()
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            engine.finished(attempt, AttemptResult(AttemptStatus.CONNECT_FAILED))

    async def _read(self, connection: MemberConnection) -> None:
        try:
            with connection.reading:
                await self._read_answers(connection)
            if connection.reading.cancelled_caught and not connection.ended:
                await self._spoilt(connection, "an answer stopped short")
        except cache_lines.LineError as error:
            self._take(connection, error.answers)
            if not connection.ended:
                await self._spoilt(connection, str(error))
        finally:
            self._lost(connection)

    async def _read_answers(self, connection: MemberConnection) -> None:
        """Reads until the connection ends, or until an answer has begun that is not whole in time. Guards
        against one that stops short: nothing else would come on that connection."""
        clock = self.pool.engine.clock
        while data := await connection.channel.receive():
            connection.heard_us = now = clock.now()
            self._take(connection, connection.parser.feed(data))
            if connection.ended:
                continue
            if not connection.parser.begun:
                connection.reading.deadline = math.inf
            elif connection.reading.deadline == math.inf:
                connection.reading.deadline = clock.monotonic_at(now + ANSWER_US)
            if self.waiting:
                self.pump()
            self.tidy(connection)

    async def _spoilt(self, connection: MemberConnection, why: str) -> None:
        """Ends a connection of no further use. What is out on it may go again once the member knows: it
        may still be sending what we take no more of."""
        self.pool.counters.garbage += 1
        self.pool.engine.log("member_garbage", "warning", member=self.entry.name, reason=why)
        connection.reading, unread = trio.CancelScope(), 0
        self._end(connection)
        with connection.reading:
            while unread < UNREAD and (data := await connection.channel.receive()):
                unread += len(data)

    def _take(self, connection: MemberConnection, answers: list[cache_lines.CacheAnswer]) -> None:
        for answer in answers:
            attempt = connection.open.pop(answer.rid, None)
            if attempt is not None:
                del connection.spans[answer.rid]
                keep_bounded(connection.answered, answer.rid)
                self.pool.counters.written += 1
                if not connection.open and self.connections[-1] is not connection and self.pool.share == 1:
                    self.connections.remove(connection)
                    self.connections.append(connection)
                self.pool.engine.finished(attempt, answer.result_for(attempt.request.known_version))
            # Else a second copy, an id that is none of ours, or one that its client withdrew: passed over.

    def _lost(self, connection: MemberConnection) -> None:
        self.connections.remove(connection)
        self.restart.connection_lost(connection.channel.reset)
        self.pool.open_connections -= 1
        lost = [(attempt, connection.whole(rid)) for rid, attempt in connection.open.items()]
        self.pool.counters.written += sum(whole for _, whole in lost)
        connection.open.clear()
        connection.channel.on_drained = None
        connection.channel.close()
        for attempt, whole in lost:
            # Only a request that had not gone out whole is proven not to have run.
            status = AttemptStatus.RESET if whole else AttemptStatus.CONNECT_FAILED
            self.pool.engine.finished(attempt, AttemptResult(status))
        self._release()
        self.pump()

    def _release(self) -> None:
        held, self.held = self.held, []
        for attempt in held:
            if not attempt.is_finished:
                (self.held if self._still_out(attempt.request.request_id) else self.waiting).append(attempt)


def keep_bounded(ids: dict[str, None], rid: str) -> None:
    """Keeps an id, and forgets the oldest beyond IDS_KEPT."""
    ids[rid] = None
    if len(ids) > IDS_KEPT:
        del ids[next(iter(ids))]


async def open_socket(address: tuple[str, int]) -> socket.socket:
    """A connected non-blocking socket; an OSError says that the connect failed."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = prepare(socket.socket(family, socket.SOCK_STREAM))
    try:
        try:
            sock.connect(address)
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                raise OSError(error, "connect failed") from None
        return sock
    except BaseException:
        sock.close()
        raise
