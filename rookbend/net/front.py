"""The driver of the platform's front: accepts client connections and moves their bytes."""

from __future__ import annotations

import socket

import trio

from rookbend.core.counters import Counters
from rookbend.fronts.platform import PlatformFront, PlatformSession
from rookbend.net.accept import accept
from rookbend.net.channel import Channel, Outbox, prepare

PAUSE_ABOVE = 1 << 20       # unsent bytes on a connection above which no more requests are read from it
NEWCOMER_US = 250_000       # a client that says nothing may be let go this long after it connected
WATCH_S = 0.25
UNSENT_STEP_S = 0.01
STALLED_S = 6.0             # a reader that takes nothing for this long is dropped


class FrontServer:
    """Bounds what clients may hold: connections, and unsent bytes of one and of all together."""

    def __init__(self, front: PlatformFront, most_clients: int, most_unsent: int, counters: Counters,
                 outbox: Outbox):
        self.front, self.counters, self.outbox = front, counters, outbox
        self.most_clients, self.most_unsent = most_clients, most_unsent
        self.open: dict[Channel, PlatformSession] = {}
        self.closing = False

    async def serve(self, listener: socket.socket, accepting: trio.CancelScope) -> None:
        """Accepts until `accepting` is cancelled, and serves until the last client has gone."""
        async with trio.open_nursery() as nursery:
            await accept(listener, accepting, lambda sock: self._take(sock, nursery), self._has_room)

    def _take(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        self.counters.clients += 1
        channel = Channel(prepare(sock), nursery, self.outbox)
        session = self.open[channel] = PlatformSession(self.front, channel.write)
        nursery.start_soon(self._client, channel, session)

    def _has_room(self) -> bool:
        """Whether one more client can be taken. In a full house the one that matters least is let go: one
        that says nothing, else one with nothing open; of these the one quiet for longest.

        Guards the usual clients twice. Hundreds that only connect, or ask once and stay, must not keep them
        out; and a newcomer has not asked yet because its request is still on the way: let go first, it
        never got to ask. Where nobody can go, the newcomer waits unaccepted, its request behind it.
        """
        if len(self.open) < self.most_clients:
            return True
        newcomer = self.front.engine.clock.now() - NEWCOMER_US
        idle = [(session.asked, session.quiet_us, i, channel)
                for i, (channel, session) in enumerate(self.open.items())
                if not session.live and not channel.unsent
                and (session.asked or session.quiet_us <= newcomer)]
        if not idle:
            return False
        self._let_go(min(idle)[3])
        return True

    def _let_go(self, channel: Channel) -> None:
        self.counters.clients_dropped += 1
        del self.open[channel]
        channel.send()
        channel.close()

    async def _client(self, channel: Channel, session: PlatformSession) -> None:
        drained = trio.Event()

        def on_drained():
            nonlocal drained
            drained.set()
            drained = trio.Event()

        channel.on_drained = on_drained
        try:
            if self.closing:
                session.say_closing()
            while data := await channel.receive():
                if not session.feed(data):
                    self.counters.clients_dropped += 1
                    return
                if channel.queued > PAUSE_ABOVE:
                    await drained.wait()
            # A client may close only its sending side: what it asked for is still answered, and goes out
            # whole. Guards against an answer of this very turn, of which the socket takes only a part.
            while session.live or channel.unsent:
                if channel.closed or channel.broken:
                    break
                await trio.sleep(UNSENT_STEP_S)
        finally:
            session.gone()
            self.open.pop(channel, None)
            channel.on_drained = None
            channel.send()
            channel.close()

    async def watch_clients(self) -> None:
        """Lets go those whose time is up, drops readers that take nothing, and the fullest while all together
        hold too much."""
        clock = self.front.engine.clock
        while True:
            await trio.sleep(WATCH_S)
            now, stale = clock.now(), trio.current_time() - STALLED_S
            for channel, session in list(self.open.items()):
                if not channel.unsent and (due := session.due_us) is not None and due <= now:
                    if session.begun_us:
                        session.reject()
                    self._let_go(channel)
            full = sorted((c for c in self.open if c.queued), key=lambda c: c.queued)
            unsent = sum(c.queued for c in full)
            for channel in reversed(full):
                if channel.progress_at < stale or unsent > self.most_unsent:
                    unsent -= channel.queued
                    self.counters.clients_dropped += 1
                    channel.shut()

    def say_closing(self) -> None:
        self.closing = True
        for session in self.open.values():
            session.say_closing()

    @property
    def unsent(self) -> int:
        return sum(c.unsent for c in self.open)
