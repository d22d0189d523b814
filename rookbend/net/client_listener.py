"""The driver of the platform's front: accepts client connections and bounds what they take together."""

from __future__ import annotations

import socket

import trio

from rookbend.core.counters import Counters
from rookbend.fronts.platform import PlatformFront
from rookbend.net.acceptor import accept
from rookbend.net.buffered_socket import WriteScheduler
from rookbend.net.client_connection import FINISH_TIMEOUT_US, ClientConnection, ClientPhase

NEW_CLIENT_GRACE_US = 250_000  # from its connect a client that has sent nothing is not evicted for so long
REAPER_PERIOD_S = 0.25
STALL_TIMEOUT_S = 6.0  # a client that reads nothing for so long is dropped
REQUEST_TRANSIT_US = 50_000  # a request that crosses a close within this time is sent again by its client
EVICTION_BATCH_DIVISOR = 32  # of all places: each eviction goes over all clients
MAX_FINISHING = 16  # connections that are being ended at a time to free places


class ClientListener:
    """Bounds what clients may take: connections, and unsent bytes of one and of all together."""

    def __init__(
        self,
        front: PlatformFront,
        max_clients: int,
        max_unsent_bytes: int,
        counters: Counters,
        scheduler: WriteScheduler,
    ) -> None:
        """`max_clients` connections are accepted at most; `max_unsent_bytes` is bytes, of all of them."""
        self.front = front
        self.counters = counters
        self.scheduler = scheduler
        self.max_clients = max_clients
        self.max_unsent_bytes = max_unsent_bytes
        self.open: dict[ClientConnection, None] = {}  # in the order in which they came
        self.closing = False
        self.accepted_all = trio.Event()  # the listener is closed, and what waited in its backlog was accepted

    async def serve(self, listener: socket.socket, accepting: trio.CancelScope) -> None:
        """Accepts until `accepting` is cancelled, and serves until the last client has left."""
        async with trio.open_nursery() as nursery:
            await accept(listener, accepting, lambda sock: self._accepted(sock, nursery), self._make_capacity)
            self.accepted_all.set()

    def _accepted(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        self.counters.clients += 1
        client = ClientConnection(self, sock, nursery)
        self.open[client] = None
        if self.closing:
            client.session.announce_closing()
        nursery.start_soon(client.run)

    def connection_closed(self, client: ClientConnection) -> None:
        """See `ClientConnectionOwner`."""
        self.open.pop(client, None)

    def _make_capacity(self) -> bool:
        """Whether one more client can be accepted. Where all places are taken the idle ones that matter least are
        evicted: those that have sent nothing, else those idle for longest.

        Guards the usual clients twice. Hundreds that only connect, or send one request and stay, must not keep
        them out; and a newcomer has sent nothing yet because its request is still on the way: evicted first, it
        would never get to send it. Where nobody can go, the newcomer waits unaccepted, its request behind it.
        """
        if len(self.open) < self.max_clients:
            return True
        new_clients_since_us = self.front.engine.clock.now() - NEW_CLIENT_GRACE_US
        idle = self._idle_clients(new_clients_since_us)
        idle.sort(key=lambda client: (client.session.has_received_frame, client.session.last_activity_us))
        evicted = 0
        for client in idle[: max(1, self.max_clients // EVICTION_BATCH_DIVISOR)]:
            if client.session.last_activity_us > new_clients_since_us:
                break
            # Its last answer is long delivered, so a close takes nothing along: the place is free at once.
            evicted += self._evict(client, 0)
        if evicted:
            return True
        finishing = sum(client.phase is ClientPhase.FINISHING for client in self.open)
        for client in idle[: max(0, MAX_FINISHING - finishing)]:
            self._evict(client, REQUEST_TRANSIT_US)
        return False

    def _idle_clients(self, new_clients_since_us: int) -> list[ClientConnection]:
        """The clients that are owed nothing, but for those that have just connected and sent nothing yet."""
        return [
            client
            for client in self.open
            if client.is_idle()
            and (client.session.has_received_frame or client.session.last_activity_us <= new_clients_since_us)
        ]

    async def watch_clients(self) -> None:
        """Ends idle connections in time, and those that read nothing or have most unsent; runs until cancelled."""
        while True:
            await trio.sleep(REAPER_PERIOD_S)
            self._end_expired(self.front.engine.clock.now())
            self._drop_stalled(trio.current_time() - STALL_TIMEOUT_S)

    def _end_expired(self, now_us: int) -> None:
        for client in list(self.open):
            if not client.has_expired(now_us):
                continue
            if client.session.partial_frame_since_us:
                client.session.reject_connection()
                client.finish()
                self.counters.clients_dropped += 1
            else:
                self._evict(client, FINISH_TIMEOUT_US)

    def _drop_stalled(self, stalled_since_s: float) -> None:
        """Drops clients that read nothing since then, and those with most bytes while all exceed the limit."""
        by_size = sorted((c for c in self.open if c.buffered_bytes), key=lambda c: c.buffered_bytes)
        total_bytes = sum(client.buffered_bytes for client in by_size)
        for client in reversed(by_size):
            stalled = client.socket.backlog_bytes and client.socket.last_progress_s < stalled_since_s
            if stalled or total_bytes > self.max_unsent_bytes:
                total_bytes -= client.buffered_bytes
                self.counters.clients_dropped += 1
                client.socket.abort()

    def _evict(self, client: ClientConnection, timeout_us: int) -> bool:
        """Ends an idle client's connection; returns False where something has come on it just now."""
        finished = client.finish_if_idle(timeout_us)
        self.counters.clients_dropped += finished
        if finished and not timeout_us:
            self.connection_closed(client)  # it closes within this turn of the loop
        return finished

    def close_idle_clients(self) -> None:
        """Ends the connections on which nothing is owed: the director leaves. The request of a client that
        has just connected is on its way, and is still answered."""
        for client in self._idle_clients(self.front.engine.clock.now() - REQUEST_TRANSIT_US):
            client.finish_if_idle()

    def announce_closing(self) -> None:
        """Notifies all clients, and those who come from now on, to send no new request."""
        self.closing = True
        for client in self.open:
            if client.phase is ClientPhase.OPEN:
                client.session.announce_closing()
