"""The operators' door: a listener of its own, one call a connection, every answer within a second.

Guards its promise against three things. Callers that say nothing or half a call hold descriptors: they
are counted apart from clients, let go after `CALL_US`, and in a full house the oldest of them makes room
at once. A loop that is late would be late here too: what an answer takes is one reading of what is in
memory, and no call waits for another. And an answer must not be lost to what its caller sent beyond the
call: after it the door closes its side, and reads on for a moment before it closes the other.
"""

from __future__ import annotations

import socket

import trio

from rookbend.core.clock import Clock
from rookbend.net.acceptor import accept
from rookbend.net.buffered_socket import BufferedSocket, WriteScheduler, prepare
from rookbend.net.component import Part
from rookbend.protocol.http_serve import HttpServe
from rookbend.protocol.operator import OperatorDesk

CALLERS = 24
CALL_US = 1_000_000  # a call that is not whole by then is not answered
LEAVE_US = 250_000  # what a caller sends beyond its call is read for so long


class Door(Part):
    """`desk` answers; callers are held in the order in which they came."""

    descriptors = CALLERS + 2

    def __init__(self, listener: socket.socket, desk: OperatorDesk, clock: Clock, outbox: WriteScheduler):
        self.listener, self.desk, self.clock, self.outbox = listener, desk, clock, outbox
        self.address = listener.getsockname()[:2]
        self.callers: dict[BufferedSocket, trio.CancelScope] = {}
        self.answered = self.let_go = 0

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._serve)

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            await accept(self.listener, trio.CancelScope(), lambda sock: self._take(sock, nursery))

    def _take(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        if len(self.callers) >= CALLERS:
            oldest = next(iter(self.callers))
            self.callers.pop(oldest).cancel()
            oldest.close()  # its descriptor at once: the newcomer's is there already
        channel = BufferedSocket(prepare(sock), nursery, self.outbox)
        scope = self.callers[channel] = trio.CancelScope(deadline=self.clock.monotonic_at(self.clock.now() + CALL_US))
        nursery.start_soon(self._caller, channel, scope)

    async def _caller(self, channel: BufferedSocket, scope: trio.CancelScope) -> None:
        try:
            with scope:
                await self._call(channel, scope)
        finally:
            self.callers.pop(channel, None)
            channel.close()

    async def _call(self, channel: BufferedSocket, scope: trio.CancelScope) -> None:
        http, request = HttpServe(), None
        while request is None and not http.ended:
            request = http.feed(await channel.receive())
        if request is not None:
            channel.write(http.answer(*self.desk.answer(request), close=True))
            self.answered += 1
        elif http.refusal:
            channel.write(http.refusal)
        else:
            return
        channel.finish()
        scope.deadline = self.clock.monotonic_at(self.clock.now() + LEAVE_US)
        while await channel.receive():
            pass
