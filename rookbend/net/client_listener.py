"""The driver of the platform's front: accepts client connections and limits their number and memory."""

from __future__ import annotations

import socket

import trio

from rookbend.core.counters import Counters
from rookbend.core.traffic_classes import longest_deadline_us
from rookbend.fronts.platform import PlatformFront
from rookbend.net.acceptor import accept
from rookbend.net.backlog_wait import BacklogWait
from rookbend.net.client_connection import FINISH_TIMEOUT_US, ClientConnection, ClientPhase
from rookbend.net.drop_reason import DropReason
from rookbend.net.write_scheduler import WriteScheduler

NEW_CLIENT_GRACE_US = 250_000  # a client that has sent nothing is not evicted for this long after its connect
REAPER_PERIOD_S = 0.25
MIN_STALL_TIMEOUT_US = 6_000_000  # see `ClientListener._stall_timeout_us`
WRITING_PAUSE_US = 250_000  # a client may pause for this long within a request that a shutdown waits for
REQUEST_TRANSIT_US = 50_000  # a client resends a request that it sent at most this long before it saw the close
EVICTION_BATCH_DIVISOR = 32  # share of all places freed at a time, since each eviction scans all clients
MAX_FINISHING = 16  # connections in phase FINISHING at a time to free places


class ClientListener:
    """Limits the number of client connections, and the unsent bytes of each and of all together."""

    def __init__(
        self,
        front: PlatformFront,
        max_clients: int,
        max_unsent_bytes: int,
        counters: Counters,
        scheduler: WriteScheduler,
    ) -> None:
        """`max_clients` limits the open connections, `max_unsent_bytes` the unsent bytes of all of them together."""
        self.front = front
        self.counters = counters
        self.scheduler = scheduler
        self.max_clients = max_clients
        self.max_unsent_bytes = max_unsent_bytes
        self.open: dict[ClientConnection, None] = {}  # in the order of their accept
        self.processing_turns = trio.Lock()  # of clients that have sent more than a few requests at once
        self.closing = False
        self._backlog_wait = BacklogWait()
        self.accepted_all = trio.Event()  # the listener is closed and its backlog was accepted

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the clients have not read yet."""
        return sum(client.socket.backlog_bytes for client in self.open)

    async def serve(self, listener: socket.socket, accepting: trio.CancelScope) -> None:
        """Accepts until `accepting` is cancelled, and serves until the last client has left."""
        async with trio.open_nursery() as nursery:
            await accept(listener, accepting, lambda sock: self._accepted(sock, nursery), self._has_capacity)
            self.accepted_all.set()

    def loop_paused(self, pause_us: int) -> None:
        """The event loop stood still: connections and requests that have arrived may have waited for that long."""
        self._backlog_wait.loop_paused(pause_us, self.front.engine.clock.now())
        for client in self.open:
            client.loop_paused(pause_us)

    def _accepted(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        self.counters.clients += 1
        waited_us = self._backlog_wait.waited_us(sock, self.front.engine.clock.now())
        client = ClientConnection(self, sock, nursery, waited_us)
        self.open[client] = None
        if self.closing:
            client.session.announce_closing()
        nursery.start_soon(client.run)

    def connection_closed(self, client: ClientConnection) -> None:
        """See `ClientConnectionOwner`."""
        self.open.pop(client, None)

    def _has_capacity(self) -> bool:
        has_capacity = self._make_capacity()
        if not has_capacity:
            self._backlog_wait.held_back(self.front.engine.clock.now())
        return has_capacity

    def _make_capacity(self) -> bool:
        """Whether one more client can be accepted. When all places are taken, evicts idle clients: first those that
        have sent nothing, then those that have been idle for longest, and at last those that are writing a request.

        Hundreds of clients that only connect, or send one request and stay, must not keep active clients out. A
        client that has just connected is not evicted: it has sent nothing only because its first request is still
        in transit, and evicting it first would lose that request. If no client can be evicted, the new connection
        stays in the listener's backlog together with its request.
        """
        if len(self.open) < self.max_clients:
            return True
        new_clients_since_us = self.front.engine.clock.now() - NEW_CLIENT_GRACE_US
        idle = self._idle_clients(new_clients_since_us)
        idle.sort(key=lambda client: client.session.activity.eviction_order(new_clients_since_us))
        evicted = 0
        for client in idle[: max(1, self.max_clients // EVICTION_BATCH_DIVISOR)]:
            if client.session.activity.last_activity_us > new_clients_since_us:
                break
            # Idle for longer than the grace time: the last answer has been delivered, so the connection can be
            # closed at once without losing anything, and its place is free.
            evicted += self._evict(client, 0)
        if evicted:
            return True
        finishing = sum(client.phase is ClientPhase.FINISHING for client in self.open)
        for client in idle[: max(0, MAX_FINISHING - finishing)]:
            self._evict(client, REQUEST_TRANSIT_US)
        return False

    def _idle_clients(self, new_clients_since_us: int) -> list[ClientConnection]:
        """The clients without a pending answer, except those that connected since then and have sent no request."""
        return [
            client
            for client in self.open
            if client.is_idle() and not client.session.activity.is_new(new_clients_since_us)
        ]

    async def watch_clients(self) -> None:
        """Closes idle connections, and drops those that stall or have most unsent bytes; runs until cancelled."""
        while True:
            await trio.sleep(REAPER_PERIOD_S)
            self._end_expired(self.front.engine.clock.now())
            self._drop_stalled(trio.current_time() - self._stall_timeout_us() / 1e6)

    def _end_expired(self, now_us: int) -> None:
        stalled_since_us = now_us - self._stall_timeout_us()
        for client in list(self.open):
            if client.is_delivering():
                if client.has_stalled(stalled_since_us):
                    client.abort(DropReason.STALLED_READER)
            elif client.has_expired(now_us):
                self._end_idle(client, client.expiry_reason, FINISH_TIMEOUT_US)

    def _stall_timeout_us(self) -> int:
        """A client that reads nothing for this long is dropped: it no longer waits for any request that was open when
        it stopped reading."""
        return max(MIN_STALL_TIMEOUT_US, longest_deadline_us(self.front.engine.settings))

    def _drop_stalled(self, stalled_since_s: float) -> None:
        """Drops clients that have read nothing since then, and the largest ones while the total exceeds the limit."""
        by_size = sorted((c for c in self.open if c.buffered_bytes), key=lambda c: c.buffered_bytes)
        total_bytes = sum(client.buffered_bytes for client in by_size)
        for client in reversed(by_size):
            stalled = client.socket.backlog_bytes and client.socket.last_progress_s < stalled_since_s
            if stalled or total_bytes > self.max_unsent_bytes:
                total_bytes -= client.buffered_bytes
                client.abort(DropReason.STALLED_READER if stalled else DropReason.UNSENT_BYTES)

    def _evict(self, client: ClientConnection, timeout_us: int) -> bool:
        return self._end_idle(client, DropReason.EVICTED, timeout_us)

    def _end_idle(self, client: ClientConnection, reason: DropReason, timeout_us: int) -> bool:
        """Closes an idle client's connection; returns False if unread bytes have arrived on it."""
        finished = client.finish_if_idle(timeout_us, reason)
        if finished and not timeout_us:
            self.connection_closed(client)  # its task closes the socket within this turn of the event loop
        return finished

    def close_idle_clients(self) -> None:
        """Closes the idle connections, as the director shuts down. A client that connected within the last
        `REQUEST_TRANSIT_US` and has sent nothing is kept: its first request may be in transit and is answered. So is
        one that is writing a request."""
        now_us = self.front.engine.clock.now()
        for client in self._idle_clients(now_us - REQUEST_TRANSIT_US):
            if not client.session.activity.is_receiving(now_us - WRITING_PAUSE_US):
                client.finish_if_idle()

    def finish_all(self) -> None:
        """Closes the connections of all clients whose requests are answered, as the time of the shutdown is over."""
        for client in self.open:
            if not client.session.open_streams:
                client.finish()

    def announce_closing(self) -> None:
        """Notifies all present and future clients to send no new requests."""
        self.closing = True
        for client in self.open:
            if client.phase is ClientPhase.OPEN:
                client.session.announce_closing()
