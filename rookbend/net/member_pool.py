"""The pool of one member: its connections, and the attempts that wait for a connection."""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Callable, Sequence

import trio

from rookbend.core.model import Attempt, AttemptResult, Endpoint
from rookbend.core.restart_detection import RestartDetector
from rookbend.interface import AttemptStatus
from rookbend.net.buffered_socket import BufferedSocket
from rookbend.net.connection_set import ConnectionSet
from rookbend.net.connector import open_socket
from rookbend.net.member_connection import ConnectionState, MemberConnection, remember
from rookbend.net.pool_context import PoolContext
from rookbend.net.unconfirmed_cancels import UnconfirmedCancels
from rookbend.net.unsent_attempts import return_unsent, split_attempts, take_unsent
from rookbend.protocol import cache_lines

MAX_CONNECTING = 8  # connects in progress to one member


class MemberPool:
    """The connections to one member, and the attempts that wait for a connection."""

    def __init__(self, context: PoolContext, endpoint: Endpoint) -> None:
        self.context = context
        self.endpoint = endpoint
        self.connections = ConnectionSet(context)
        self.waiting: deque[Attempt] = deque()
        self.unconfirmed_cancels = UnconfirmedCancels(self.connections, self._finish_if_unused)
        self.retired = False
        self.restart_detector = RestartDetector()

    def send(self, attempt: Attempt) -> None:
        """Writes the attempt on a connection that accepts it, or queues it until there is one."""
        if attempt.number and self.unconfirmed_cancels.must_wait(attempt):
            return self.unconfirmed_cancels.waiting.append(attempt)
        connection = self.connections.select(attempt)
        if connection is not None:
            return self._write(connection, attempt)
        self.waiting.append(attempt)
        self._connect_as_needed()

    def _connect_as_needed(self) -> None:
        connections = self.connections
        while len(self.waiting) > connections.connecting < MAX_CONNECTING and connections.may_connect():
            connections.connecting += 1
            self.context.open_connections += 1
            self.context.nursery.start_soon(self._connect)

    async def _connect(self) -> None:
        """Opens a connection and reads its answers until it ends."""
        context, clock = self.context, self.context.engine.clock
        began_us = clock.now()
        sock = None
        refused = False
        try:
            with trio.CancelScope(deadline=clock.monotonic_at(began_us + context.connect_timeout_us)):
                sock = await open_socket(self.endpoint.address)
        except OSError as error:
            refused = error.errno == errno.ECONNREFUSED
        finally:
            self.connections.connecting -= 1
            if sock is None:
                context.open_connections -= 1
        if sock is None:
            self.restart_detector.connect_failed(refused, bool(self.connections))
            return self._connect_failed(began_us)
        context.counters.connects += 1
        with sock:
            await self._run_connection(BufferedSocket(sock, context.nursery, context.scheduler))

    async def _run_connection(self, buffered_socket: BufferedSocket) -> None:
        context = self.context
        buffered_socket.on_drained = self.dispatch_waiting
        connection = MemberConnection(self, buffered_socket, context.engine.clock, context.load_report_fields)
        self.connections.open.append(connection)
        if self.restart_detector.connected():
            context.engine.member_restarted(self.endpoint.member.server)
        self.dispatch_waiting()
        if self.retired:  # the member was removed during the connect
            self._finish_if_unused(connection)
        await connection.run()

    def _connect_failed(self, began_us: int) -> None:
        engine = self.context.engine
        if any(c.last_received_us >= began_us and c.is_open() for c in self.connections):
            # The member answers on its open connections but accepts no more: they are shared until the backoff ends.
            self.connections.backoff_until_us = engine.clock.now() + self.context.connect_timeout_us
            return self.dispatch_waiting()
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            engine.finished(attempt, AttemptResult(AttemptStatus.CONNECT_FAILED))

    def dispatch_waiting(self) -> None:
        """Writes waiting attempts to the connections that accept them now, and opens more connections as needed."""
        waiting = self.waiting
        for _ in range(len(waiting)):
            attempt = waiting.popleft()
            if attempt.is_finished:
                continue
            connection = self.connections.select(attempt)
            if connection is None:
                waiting.append(attempt)
            else:
                self._write(connection, attempt)
        if waiting:
            self._connect_as_needed()

    def _write(self, connection: MemberConnection, attempt: Attempt) -> None:
        """Writes the attempt right after the last check that it may be written, with no other event in between."""
        engine = self.context.engine
        reason = engine.withhold_reason(attempt)
        if reason is not None:
            return engine.withhold(attempt, reason)
        now = engine.clock.now()
        source = engine.endpoints[attempt.source].name if attempt.source else ""
        connection.send(attempt, cache_lines.write_command(attempt, now, source), now)

    def cancel(self, connection: MemberConnection, attempt: Attempt) -> AttemptStatus:
        """Cancels an attempt in flight on this connection; see `Backend.abort`."""
        request_id, now = attempt.request.request_id, self.context.engine.clock.now()
        pending = connection.in_flight.pop(request_id)
        if connection.withdraw(pending):
            self._finish_if_unused(connection)
            return AttemptStatus.CONNECT_FAILED
        if connection.abort_partly_sent(pending):
            return AttemptStatus.CONNECT_FAILED
        connection.send_cancel(request_id)
        self.context.counters.undone += 1
        self.context.counters.written += 1  # its last byte is sent before the cancel
        late = attempt.due_us <= now
        silent = (
            connection.last_received_us < attempt.sent_us and now - attempt.sent_us > self.context.connect_timeout_us
        )
        if late or silent:
            # A host that has vanished leaves its connections open and silent, and no answer may ever follow an
            # overdue one: later attempts use other connections.
            connection.stop_accepting()
        self._finish_if_unused(connection)
        # A write may have run: it was sent, or will be, since other attempts keep the connection open.
        return AttemptStatus.TIMEOUT

    # Events of the connections: see `ConnectionOwner`.

    def answers_received(self, connection: MemberConnection, answers: Sequence[cache_lines.CacheAnswer]) -> None:
        """Settles the answered attempts."""
        connections, context = self.connections, self.context
        for answer in answers:
            pending = connection.in_flight.get(answer.request_id)
            if pending is not None and pending.id_was_answered and answer.result.status is not AttemptStatus.OK:
                self._end_ambiguous(connection, pending.attempt)
            elif pending is not None:
                del connection.in_flight[answer.request_id]
                remember(connection.answered_ids, answer.request_id)
                context.counters.written += 1
                if (
                    not connection.in_flight
                    and connections.open[-1] is not connection
                    and context.streams_per_connection == 1
                ):
                    connections.mark_used(connection)
                attempt = pending.attempt
                context.engine.finished(attempt, answer.result_for(attempt.request.known_version))
            # Otherwise a duplicate, an unknown id, or the answer to a cancelled attempt: ignored.

    def _end_ambiguous(self, connection: MemberConnection, attempt: Attempt) -> None:
        """Ends an attempt whose id was answered on this connection before, after an answer that is no success.

        That may be a late duplicate of the earlier answer while the attempt runs, so it proves nothing. The attempt is
        cancelled, and counts as one that may have run.
        """
        status = self.cancel(connection, attempt)
        self.context.counters.ambiguous += 1
        is_unsent = status is AttemptStatus.CONNECT_FAILED
        self.context.engine.finished(attempt, AttemptResult(status if is_unsent else AttemptStatus.ERROR))

    def read_processed(self, connection: MemberConnection) -> None:
        """Writes waiting attempts; closes the connection if it is no longer used."""
        if self.waiting:
            self.dispatch_waiting()
        if self.retired or connection.state is not ConnectionState.ACTIVE:
            self._finish_if_unused(connection)

    def protocol_violated(self, connection: MemberConnection, reason: str) -> None:
        """Counts and logs the violation."""
        self.context.counters.garbage += 1
        self.context.engine.log("member_garbage", "warning", member=self.endpoint.name, reason=reason)

    def connection_lost(self, connection: MemberConnection) -> None:
        """Settles the attempts in flight: only one that was not sent completely is known not to have run."""
        self.connections.open.remove(connection)
        self.restart_detector.connection_lost(connection.socket.reset)
        self.context.open_connections -= 1
        lost = [(pending.attempt, connection.is_sent(pending)) for pending in connection.close()]
        self.context.counters.written += sum(sent for _, sent in lost)
        for attempt, sent in lost:
            status = AttemptStatus.RESET if sent else AttemptStatus.CONNECT_FAILED
            self.context.engine.finished(attempt, AttemptResult(status))
        self.waiting += self.unconfirmed_cancels.take_confirmed()
        self.dispatch_waiting()

    def _finish_if_unused(self, connection: MemberConnection) -> None:
        """Closes a connection that takes no new attempts, once nothing is in flight on it."""
        state = connection.state
        unused = state is ConnectionState.DRAINING or (self.retired and state is not ConnectionState.CLOSED)
        if unused and not connection.in_flight:
            connection.finish()

    def close_idle(self, before_us: int) -> None:
        """Closes the connections that have nothing in flight and were last written to at `before_us` or earlier."""
        self.connections.close_idle(before_us)

    def retire(self) -> None:
        """The member was removed or has a new address: closes each connection once nothing is in flight on it."""
        self.retired = True
        unsent = self.take_unsent(lambda attempt: True)
        self.context.nursery.start_soon(return_unsent, self.context.engine, unsent)

    def take_unsent(self, is_taken: Callable[[Attempt], bool]) -> list[Attempt]:
        """Removes the attempts of which no byte was sent and for which `is_taken` returns true."""
        taken, kept = split_attempts(self.waiting, is_taken)
        self.waiting = deque(kept)
        taken += self.unconfirmed_cancels.take(is_taken)
        for connection in list(self.connections):
            taken += take_unsent(connection, is_taken)
            self._finish_if_unused(connection)
        return taken

    def rewrite_unsent(self) -> None:
        """Dispatches the attempts in the connections' buffers again: a command tells how long its answer is awaited."""
        for connection in list(self.connections):
            self.waiting.extendleft(take_unsent(connection, lambda attempt: True))
        self.dispatch_waiting()
