"""One member: its connections, and the attempts that wait for one."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from rookbend.core.model import Attempt, AttemptResult, Endpoint
from rookbend.core.restart_detection import RestartDetector
from rookbend.interface import AttemptStatus
from rookbend.net.member_connection import GONE_US, MemberConnection, Reading, Span, keep_bounded
from rookbend.protocol import cache_lines

if TYPE_CHECKING:
    from rookbend.net.pool import Pool

CONNECTING = 8  # connects under way to one member
CONNECTIONS = 64  # connections to one member, where the budget of all together allows
FRESH_MOST = 1500  # attempts a second up to which those that need it get a new connection
FRESH_US = 100_000  # a connection not used yet is a new one for so long


class MemberPool(Reading):
    """One member: its connections, and the attempts that wait for one."""

    def __init__(self, pool: Pool, entry: Endpoint):
        self.pool, self.entry = pool, entry
        self.connections: list[MemberConnection] = []
        self.waiting: deque[Attempt] = deque()
        self.held: list[Attempt] = []  # given up here before, and the member may not know it yet
        self.connecting = 0
        self.share_until_us = 0  # until then no further connection is tried
        self.retired = False
        self.restart = RestartDetector()

    @property
    def out_whole(self) -> int:
        """Attempts that are out and whose last byte has gone."""
        return sum(connection.whole(rid) for connection in self.connections for rid in connection.open)

    def send(self, attempt: Attempt) -> None:
        """Writes the attempt on a connection that takes it, or has it wait for one."""
        if attempt.number and self._still_out(attempt.request.request_id):
            return self.held.append(attempt)
        connection = self._connection_for(attempt)
        if connection is not None:
            return self._write(connection, attempt)
        self.waiting.append(attempt)
        self._connect_as_needed()

    def _still_out(self, rid: str) -> bool:
        """Whether the member may still be at work on an earlier attempt of this request.

        Guards against a second copy: an `undo` on one connection and a `do` on the next have no order
        between them, and the `do` came first in one case of three. The end of the old connection, seen
        from the member's side, proves that it has read the `undo`.
        """
        out = False
        for connection in self.connections:
            if rid in connection.undone:
                out = connection.suspect = True
                self.tidy(connection)
        return out

    def _connection_for(self, attempt: Attempt) -> MemberConnection | None:
        """A connection with nothing out on it, while the director is not too busy to keep one for each.

        Guards against a spoilt answer, or one that never comes: the connection is of no further use then,
        and all that is out on it is lost with it. Shared, each took a dozen other attempts along.
        """
        pool, rid, least, answered = self.pool, attempt.request.request_id, None, None
        share, fresh_since = pool.share, 0
        if attempt.new_connection and pool.rate <= FRESH_MOST and self._may_connect():
            fresh_since = pool.engine.clock.now() - FRESH_US
        for connection in reversed(self.connections):  # the one used last comes first; what is spare ages and closes
            if fresh_since and not (connection.unused and connection.used_us >= fresh_since):
                continue
            if connection.takes(rid) and not connection.ended_by_member():
                if rid in connection.answered:
                    answered = connection  # a second copy of that answer would be taken for this attempt's
                    continue
                if len(connection.open) < share:
                    return connection
                if least is None or len(connection.open) < len(least.open):
                    least = connection
        if self._may_connect():
            return None
        least = least or answered
        return least if least is not None and len(least.open) < pool.max_streams else None

    def _may_connect(self) -> bool:
        pool = self.pool
        return (
            len(self.connections) + self.connecting < CONNECTIONS
            and pool.open_connections < pool.most_connections
            and pool.engine.clock.now() >= self.share_until_us
        )

    def _connect_as_needed(self) -> None:
        while len(self.waiting) > self.connecting < CONNECTING and self._may_connect():
            self.connecting += 1
            self.pool.open_connections += 1
            self.pool.nursery.start_soon(self._connect)

    def pump(self) -> None:
        """Gives waiting attempts the room there is now."""
        waiting = self.waiting
        for _ in range(len(waiting)):
            attempt = waiting.popleft()
            if attempt.is_finished:
                continue
            connection = self._connection_for(attempt)
            if connection is None:
                waiting.append(attempt)
            else:
                self._write(connection, attempt)
        if waiting:
            self._connect_as_needed()

    def _write(self, connection: MemberConnection, attempt: Attempt) -> None:
        """The last check, then the bytes, with nothing in between."""
        engine = self.pool.engine
        if not engine.may_write(attempt):
            engine.counters.withheld += 1
            return engine.finished(attempt, AttemptResult(AttemptStatus.MOOT))
        now = engine.clock.now()
        source = engine.endpoints[attempt.source].name if attempt.source else ""
        data = cache_lines.write_do(attempt, now, source)
        rid, channel = attempt.request.request_id, connection.channel
        connection.open[rid] = attempt
        connection.spans[rid] = Span(channel.accepted, channel.accepted + len(data))
        connection.used_us, connection.unused = now, False
        attempt.connection = connection
        channel.write(data)

    def undo(self, connection: MemberConnection, attempt: Attempt) -> AttemptStatus:
        """Gives an attempt up that was written to this connection; see `Backend.undo`."""
        rid, now = attempt.request.request_id, self.pool.engine.clock.now()
        span = connection.spans.pop(rid)
        del connection.open[rid]
        if self._taken_back(connection, span):
            return AttemptStatus.CONNECT_FAILED
        keep_bounded(connection.undone, rid)
        connection.channel.write(cache_lines.write_undo(rid))
        self.pool.counters.undone += 1
        self.pool.counters.written += 1  # before the `undo`, in any case
        late = attempt.due_us <= now
        silent = connection.heard_us < attempt.sent_us and now - attempt.sent_us > self.pool.connect_timeout_us
        if late or silent:
            # A vanished machine leaves its connections open and silent, and an answer that did not come in
            # its time leaves one of no further use: what comes next takes another.
            connection.suspect = True
        self.tidy(connection)
        # Guards a write: it is out, or shares a connection that goes on, and may have run.
        return AttemptStatus.TIMEOUT

    def _taken_back(self, connection: MemberConnection, span: Span) -> bool:
        """Whether the member will never see this request whole: its bytes wait here behind a full socket.

        Guards those whose client has left, or whose time is over: sent on once the member reads again, the
        request would begin long after that.
        """
        channel = connection.channel
        if channel.accepted == span.end and channel.withdraw(span.end - span.start):
            self.tidy(connection)
            return True
        if channel.written < span.end and not connection.open:
            connection.suspect = True
            channel.shut()  # a part is out, and the rest never follows
            return True
        return False

    def tidy(self, connection: MemberConnection) -> None:
        """Ends a connection that is of no further use, once nothing is out on it."""
        if (connection.suspect or self.retired) and not connection.open and not connection.ended:
            self._end(connection)

    def _end(self, connection: MemberConnection) -> None:
        """Closes our side; the reader waits a while for the member's."""
        connection.suspect = connection.ended = True
        if connection.channel.queued:
            connection.channel.shut()
        else:
            connection.channel.finish()
        clock = self.pool.engine.clock
        connection.reading.deadline = clock.monotonic_at(clock.now() + GONE_US)

    def close_idle(self, before_us: int) -> None:
        """Ends connections on which nothing was written since."""
        for connection in self.connections:
            if not connection.open and connection.used_us <= before_us:
                connection.suspect = True  # nothing new on it while it closes
                connection.channel.shut()

    def retire(self) -> None:
        """The member has gone or moved: its connections end with what is out on them."""
        self.retired = True
        for connection in list(self.connections):
            self.tidy(connection)
        self.waiting += self.held  # each finds that it may not be written, and is placed anew
        self.held = []
        self.pump()
