"""The driver of the platform's front: accepts client connections and bounds what they hold together."""

from __future__ import annotations

import socket

import trio

from rookbend.core.counters import Counters
from rookbend.fronts.platform import PlatformFront
from rookbend.net.acceptor import accept
from rookbend.net.buffered_socket import WriteScheduler
from rookbend.net.client_connection import FINISH_US, ClientConnection, ClientPhase

NEWCOMER_US = 250_000  # a client that says nothing may be let go this long after it connected
WATCH_S = 0.25
STALLED_S = 6.0  # a reader that takes nothing for this long is dropped
CROSSING_US = 50_000  # a request that crosses a close within this time is sent again by its client
LET_GO_SHARE = 32  # one in so many places is freed at a time: each look goes over all clients
FINISHING_MOST = 16  # connections that are being ended at a time to make room


class FrontServer:
    """Bounds what clients may hold: connections, and unsent bytes of one and of all together."""

    def __init__(
        self, front: PlatformFront, most_clients: int, most_unsent: int, counters: Counters, outbox: WriteScheduler
    ):
        self.front, self.counters, self.outbox = front, counters, outbox
        self.most_clients, self.most_unsent = most_clients, most_unsent
        self.open: dict[ClientConnection, None] = {}  # in the order in which they came
        self.closing = False
        self.accepted_all = trio.Event()  # the listener is closed, and what waited in it was taken

    async def serve(self, listener: socket.socket, accepting: trio.CancelScope) -> None:
        """Accepts until `accepting` is cancelled, and serves until the last client has gone."""
        async with trio.open_nursery() as nursery:
            await accept(listener, accepting, lambda sock: self._take(sock, nursery), self._has_room)
            self.accepted_all.set()

    def _take(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        self.counters.clients += 1
        client = ClientConnection(self, sock, nursery)
        self.open[client] = None
        if self.closing:
            client.session.say_closing()
        nursery.start_soon(client.run)

    def forget(self, client: ClientConnection) -> None:
        """The connection has ended."""
        self.open.pop(client, None)

    def _has_room(self) -> bool:
        """Whether one more client can be taken. Where all places are taken the one that matters least is
        let go: one that says nothing, else one with nothing open; of these the one quiet for longest.

        Guards the usual clients twice. Hundreds that only connect, or ask once and stay, must not keep them
        out; and a newcomer has not asked yet because its request is still on the way: let go first, it
        never got to ask. Where nobody can go, the newcomer waits unaccepted, its request behind it.
        """
        if len(self.open) < self.most_clients:
            return True
        newcomer = self.front.engine.clock.now() - NEWCOMER_US
        idle = [
            client
            for client in self.open
            if client.idle and (client.session.asked or client.session.quiet_us <= newcomer)
        ]
        idle.sort(key=lambda client: (client.session.asked, client.session.quiet_us))
        gone = 0
        for client in idle[: max(1, self.most_clients // LET_GO_SHARE)]:
            if client.session.quiet_us > newcomer:
                break
            # Its last answer is long delivered, so a close takes nothing along: the place is free at once.
            gone += self._let_go(client, 0)
        if gone:
            return True
        finishing = sum(client.phase is ClientPhase.FINISHING for client in self.open)
        for client in idle[: max(0, FINISHING_MOST - finishing)]:
            self._let_go(client, CROSSING_US)
        return False

    async def watch_clients(self) -> None:
        """Lets go those whose time is up, drops readers that take nothing, and the fullest while all together
        hold too much."""
        clock = self.front.engine.clock
        while True:
            await trio.sleep(WATCH_S)
            now, stale = clock.now(), trio.current_time() - STALLED_S
            for client in list(self.open):
                due = client.session.due_us
                if client.phase is ClientPhase.OPEN and not client.socket.unsent_bytes and due and due <= now:
                    if client.session.begun_us:
                        client.session.reject()
                        client.finish()
                        self.counters.clients_dropped += 1
                    else:
                        self._let_go(client, FINISH_US)
            full = sorted((c for c in self.open if c.held_bytes), key=lambda c: c.held_bytes)
            held = sum(c.held_bytes for c in full)
            for client in reversed(full):
                stalled = client.socket.backlog_bytes and client.socket.last_progress_s < stale
                if stalled or held > self.most_unsent:
                    held -= client.held_bytes
                    self.counters.clients_dropped += 1
                    client.socket.abort()

    def _let_go(self, client: ClientConnection, wait_us: int) -> bool:
        """Ends an idle client's connection; False where something has come on it just now."""
        gone = client.let_go(wait_us)
        self.counters.clients_dropped += gone
        if gone and not wait_us:
            self.forget(client)  # it closes within this turn of the loop
        return gone

    def end_idle(self) -> None:
        """Ends the connections on which nothing is owed: the director leaves. The request of a client that
        has just connected is on its way, and is still answered."""
        newcomer = self.front.engine.clock.now() - CROSSING_US
        for client in list(self.open):
            if client.idle and (client.session.asked or client.session.quiet_us <= newcomer):
                client.let_go()

    def say_closing(self) -> None:
        """Tells all clients, and those who come from now on, to send no new request."""
        self.closing = True
        for client in self.open:
            if client.phase is ClientPhase.OPEN:
                client.session.say_closing()
