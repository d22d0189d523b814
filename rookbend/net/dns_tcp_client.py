"""One client of the DNS front over TCP (RFC 7766): its queries, in any number at a time, and their replies."""

from __future__ import annotations

import dns.message
import trio

from rookbend.core.clock import Clock
from rookbend.core.inactivity import ConnectionActivity, InactivityLimits
from rookbend.fronts.dns import DnsFront
from rookbend.net.buffered_socket import BufferedSocket
from rookbend.net.lingering_close import finish_and_linger
from rookbend.protocol import dns_tcp
from rookbend.protocol.dns import encode_reply

INACTIVITY_LIMITS = InactivityLimits(
    first_message_us=10_000_000,
    idle_us=10_000_000,
    stall_us=10_000_000,
    message_us=30_000_000,
)
MAX_UNSENT_BYTES = 1 << 16  # replies that the client has not read, above which no more of its queries are read
ID_BYTES = 2


class DnsTcpClient:
    """A connection is idle once it has sent replies to all queries received on it (RFC 7766, section 3).

    The inactivity of one that is not idle does not end it. Each lookup is answered by its deadline.
    """

    def __init__(self, channel: BufferedSocket, front: DnsFront, clock: Clock):
        self.channel = channel
        self._front = front
        self._clock = clock
        self._reader = dns_tcp.MessageReader()
        self._open_queries: set[int] = set()  # message ids, which a client does not use twice at a time
        self._activity = ConnectionActivity(INACTIVITY_LIMITS, clock.now())
        self._scope = trio.CancelScope()
        self._all_replied = trio.Event()

    async def run(self) -> None:
        """Receives queries until the client closes or is idle for too long, then waits for the pending replies."""
        self._set_deadline()
        with self._scope:
            await self._serve()
        if self._scope.cancelled_caught and self.channel.undelivered_bytes:
            self.channel.abort()  # it has been idle for too long and has read no replies
        await finish_and_linger(self.channel, self._clock)

    async def _serve(self) -> None:
        client = ("tcp", *self.channel.sock.getpeername())
        # No variable of this task refers to received bytes while it waits for more.
        while self._process(await self.channel.receive(), client):
            if self.channel.backlog_bytes > MAX_UNSENT_BYTES:
                await self.channel.sent()
        # The client may have closed only its sending side.
        self._all_replied = trio.Event()
        if self._open_queries and not self.channel.broken:
            await self._all_replied.wait()
        await self.channel.sent()

    def finish_if_idle(self) -> None:
        """Closes the connection if all queries received on it have replies, and the client has these."""
        has_more = self.channel.peek() not in (None, b"")
        if not (self._open_queries or self.channel.undelivered_bytes or has_more):
            self._scope.cancel()

    def _process(self, data: bytes, client: tuple[str | int, ...]) -> bool:
        """Returns whether to go on reading."""
        if not data:
            return False
        messages = self._reader.feed(data)
        self._activity.received(self._clock.now(), bool(messages), self._reader.has_partial)
        for wire in messages:
            query_id = int.from_bytes(wire[:ID_BYTES], "big")
            self._open_queries.add(query_id)
            if not self._front.query(wire, client, self._respond):
                self._open_queries.discard(query_id)
        self._set_deadline()
        return True

    def _respond(self, reply: dns.message.Message) -> None:
        self._open_queries.discard(reply.id)
        self.channel.write(dns_tcp.frame(encode_reply(reply, b"", over_udp=False)))
        self._activity.answered(self._clock.now())
        self._set_deadline()
        if not self._open_queries:
            self._all_replied.set()

    def _set_deadline(self) -> None:
        deadline_us = self._activity.deadline_us(bool(self._open_queries))
        self._scope.deadline = float("inf") if deadline_us is None else self._clock.monotonic_at(deadline_us)
