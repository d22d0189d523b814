"""Connections to caches, parents and the origin: multiplexed, bounded, closed when idle."""

from __future__ import annotations

import math
import socket
from collections import deque

import trio

from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.core.model import Attempt, Entry, Result
from rookbend.interface import Status
from rookbend.net.channel import Channel, Outbox, prepare
from rookbend.protocol import lines

CONNECTING = 8              # connects under way to one member
CONNECTIONS = 64            # connections to one member, where the budget of all together allows
IDLE_SHARE = 0.8            # closed after this share of the idle time, before the other side does
UNDONE_KEPT = 512           # ids given up on a connection that are not used on it again
SPREAD_MOST = 600           # attempts a second up to which each has a connection of its own
SHARE_STEP = 25             # so many more make one more attempt share a connection before another is opened
FRESH_MOST = 1500           # attempts a second up to which those that need it get a new connection
FRESH_US = 100_000          # a connection not used yet is a new one for so long
GONE_US = 500_000           # a connection closed on our side is dropped if the other has not by then
UNREAD = 1 << 20            # bytes passed over on it in that time
ANSWER_US = 500_000         # an answer that has begun is whole by then, or it never will be


class Link:
    """One connection to a member, and the attempts that are out on it."""

    def __init__(self, upstream: Upstream, channel: Channel, report_fields: tuple[str, ...]):
        self.upstream, self.channel, self.parser = upstream, channel, lines.AnswerParser(report_fields)
        self.open: dict[str, Attempt] = {}
        self.ends: dict[str, int] = {}          # where in the connection's bytes a request ends
        self.undone: dict[str, None] = {}
        self.heard_us = self.used_us = 0
        self.unused = True
        self.suspect = False                    # silent: nothing new goes out on it
        self.ended = False                      # closed on our side, the other side's end is awaited
        self.reading = trio.CancelScope()

    def takes(self, rid: str) -> bool:
        """Whether a request may go out on it at all. An id given up here may still have an answer on its
        way: it is not used here again."""
        return (not self.suspect and not self.channel.queued and rid not in self.undone
                and rid not in self.open)

    def whole(self, rid: str) -> bool:
        """Whether the request's last byte has been written."""
        return self.channel.written >= self.ends[rid]


class Upstream:
    """One member: its connections, and the attempts that wait for one."""

    def __init__(self, pool: Pool, entry: Entry):
        self.pool, self.entry = pool, entry
        self.links: list[Link] = []
        self.waiting: deque[Attempt] = deque()
        self.held: list[Attempt] = []       # given up here before, and the member may not know it yet
        self.connecting = 0
        self.share_until_us = 0     # until then no further connection is tried
        self.retired = False

    def send(self, attempt: Attempt) -> None:
        if attempt.number and self._still_out(attempt.request.rid):
            return self.held.append(attempt)
        link = self._link_for(attempt)
        if link is not None:
            return self._write(link, attempt)
        self.waiting.append(attempt)
        self._connect_as_needed()

    def _still_out(self, rid: str) -> bool:
        """Whether the member may still be at work on an earlier attempt of this request.

        Guards against a second copy: an `undo` on one connection and a `do` on the next have no order
        between them, and the `do` came first in one case of three. The end of the old connection, seen
        from the member's side, proves that it has read the `undo`.
        """
        out = False
        for link in self.links:
            if rid in link.undone:
                out = link.suspect = True
                self.tidy(link)
        return out

    def _link_for(self, attempt: Attempt) -> Link | None:
        """A connection with nothing out on it, while the director is not too busy to keep one for each.

        Guards against a spoilt answer, or one that never comes: the connection is of no further use then,
        and all that is out on it is lost with it. Shared, each took a dozen other attempts along.
        """
        pool, rid, least = self.pool, attempt.request.rid, None
        share, fresh_since = pool.share, 0
        if attempt.fresh and pool.rate <= FRESH_MOST and self._may_connect():
            fresh_since = pool.engine.clock.now() - FRESH_US
        for link in reversed(self.links):   # the one used last comes first; what is spare ages and closes
            if fresh_since and not (link.unused and link.used_us >= fresh_since):
                continue
            if link.takes(rid):
                if len(link.open) < share:
                    return link
                if least is None or len(link.open) < len(least.open):
                    least = link
        if least is None or len(least.open) >= pool.max_streams or self._may_connect():
            return None
        return least

    def _may_connect(self) -> bool:
        pool = self.pool
        return (len(self.links) + self.connecting < CONNECTIONS and pool.connections < pool.most_connections
                and pool.engine.clock.now() >= self.share_until_us)

    def _connect_as_needed(self) -> None:
        while len(self.waiting) > self.connecting < CONNECTING and self._may_connect():
            self.connecting += 1
            self.pool.connections += 1
            self.pool.nursery.start_soon(self._connect)

    def pump(self) -> None:
        """Gives waiting attempts the room there is now."""
        waiting = self.waiting
        for _ in range(len(waiting)):
            attempt = waiting.popleft()
            if attempt.over:
                continue
            link = self._link_for(attempt)
            if link is None:
                waiting.append(attempt)
            else:
                self._write(link, attempt)
        if waiting:
            self._connect_as_needed()

    def _write(self, link: Link, attempt: Attempt) -> None:
        """The last check, then the bytes, with nothing in between."""
        engine = self.pool.engine
        if not engine.may_write(attempt):
            engine.counters.withheld += 1
            return engine.finished(attempt, Result(Status.MOOT))
        now = engine.clock.now()
        source = engine.entries[attempt.source].name if attempt.source else ""
        data = lines.write_do(attempt, now, source)
        rid, channel = attempt.request.rid, link.channel
        link.open[rid] = attempt
        link.ends[rid] = channel.accepted + len(data)
        link.used_us, link.unused = now, False
        attempt.link = link
        channel.write(data)

    def undo(self, link: Link, attempt: Attempt) -> Status:
        rid, now = attempt.request.rid, self.pool.engine.clock.now()
        del link.open[rid], link.ends[rid]
        link.undone[rid] = None
        if len(link.undone) > UNDONE_KEPT:
            del link.undone[next(iter(link.undone))]
        link.channel.write(lines.write_undo(rid))
        self.pool.engine.counters.undone += 1
        late = attempt.due_us <= now
        silent = link.heard_us < attempt.sent_us and now - attempt.sent_us > self.pool.connect_timeout_us
        if late or silent:
            # A vanished machine leaves its connections open and silent, and an answer that did not come in
            # its time leaves one of no further use: what comes next takes another.
            link.suspect = True
        self.tidy(link)
        # Guards a write: what the socket has not taken yet still goes out, before the `undo`. Taken for
        # proof that it never ran, it was sent again elsewhere.
        return Status.TIMEOUT

    def tidy(self, link: Link) -> None:
        if (link.suspect or self.retired) and not link.open and not link.ended:
            self._end(link)

    def _end(self, link: Link) -> None:
        """Closes our side; the reader waits a while for the member's."""
        link.suspect = link.ended = True
        link.channel.finish()
        clock = self.pool.engine.clock
        link.reading.deadline = clock.monotonic_at(clock.now() + GONE_US)

    async def _connect(self) -> None:
        engine, sock = self.pool.engine, None
        began = engine.clock.now()
        due = began + self.pool.connect_timeout_us
        try:
            with trio.CancelScope(deadline=engine.clock.monotonic_at(due)):
                sock = await open_socket(self.entry.address)
        except OSError:
            pass
        finally:
            self.connecting -= 1
            if sock is None:
                self.pool.connections -= 1
        if sock is None:
            return self._connect_failed(began)
        self.pool.counters.connects += 1
        link = Link(self, Channel(sock, self.pool.nursery, self.pool.outbox), self.pool.report_fields)
        link.channel.on_drained = self.pump
        link.used_us = link.heard_us = engine.clock.now()
        self.links.append(link)
        self.pump()
        await self._read(link)

    def _connect_failed(self, began_us: int) -> None:
        engine = self.pool.engine
        if any(link.heard_us >= began_us and not link.suspect for link in self.links):
            # It answers, but takes no more connections: those there are get shared for a while.
            self.share_until_us = engine.clock.now() + self.pool.connect_timeout_us
            return self.pump()
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            engine.finished(attempt, Result(Status.CONNECT_FAILED))

    async def _read(self, link: Link) -> None:
        try:
            with link.reading:
                await self._read_answers(link)
            if link.reading.cancelled_caught and not link.ended:
                await self._spoilt(link, "an answer stopped short")
        except lines.LineError as error:
            self._take(link, error.answers)
            if not link.ended:
                await self._spoilt(link, str(error))
        finally:
            self._lost(link)

    async def _read_answers(self, link: Link) -> None:
        """Reads until the connection ends, or until an answer has begun that is not whole in time. Guards
        against one that stops short: nothing else would come on that connection."""
        clock = self.pool.engine.clock
        while data := await link.channel.receive():
            link.heard_us = now = clock.now()
            self._take(link, link.parser.feed(data))
            if link.ended:
                continue
            if not link.parser.begun:
                link.reading.deadline = math.inf
            elif link.reading.deadline == math.inf:
                link.reading.deadline = clock.monotonic_at(now + ANSWER_US)
            if self.waiting:
                self.pump()
            self.tidy(link)

    async def _spoilt(self, link: Link, why: str) -> None:
        """Ends a connection of no further use. What is out on it may go again once the member knows: it
        may still be sending what we take no more of."""
        self.pool.counters.garbage += 1
        self.pool.engine.log("member_garbage", "warning", member=self.entry.name, reason=why)
        link.reading, unread = trio.CancelScope(), 0
        self._end(link)
        with link.reading:
            while unread < UNREAD and (data := await link.channel.receive()):
                unread += len(data)

    def _take(self, link: Link, answers: list[lines.CacheAnswer]) -> None:
        for answer in answers:
            attempt = link.open.pop(answer.rid, None)
            if attempt is not None:
                del link.ends[answer.rid]
                if not link.open and self.links[-1] is not link and self.pool.share == 1:
                    self.links.remove(link)
                    self.links.append(link)
                self.pool.engine.finished(attempt, answer.result)
            # Else a second copy, an id that is none of ours, or one that its client withdrew: passed over.

    def _lost(self, link: Link) -> None:
        self.links.remove(link)
        self.pool.connections -= 1
        lost = [(attempt, link.whole(rid)) for rid, attempt in link.open.items()]
        link.open.clear()
        link.channel.on_drained = None
        link.channel.close()
        for attempt, whole in lost:
            # Only a request that had not gone out whole is proven not to have run.
            status = Status.RESET if whole else Status.CONNECT_FAILED
            self.pool.engine.finished(attempt, Result(status))
        self._release()
        self.pump()

    def _release(self) -> None:
        held, self.held = self.held, []
        for attempt in held:
            if not attempt.over:
                (self.held if self._still_out(attempt.request.rid) else self.waiting).append(attempt)

    def close_idle(self, before_us: int) -> None:
        for link in self.links:
            if not link.open and link.used_us <= before_us:
                link.suspect = True     # nothing new on it while it closes
                link.channel.shut()

    def retire(self) -> None:
        """The member has gone or moved: its connections end with what is out on them."""
        self.retired = True
        for link in list(self.links):
            self.tidy(link)
        self.waiting += self.held       # each finds that it may not be written, and is placed anew
        self.held = []
        self.pump()


class Pool:
    """The engine's backend on sockets."""

    def __init__(self, engine: Engine, counters: Counters, nursery: trio.Nursery, outbox: Outbox,
                 max_streams: int, idle_close_us: int, most_connections: int):
        self.engine, self.counters, self.nursery, self.outbox = engine, counters, nursery, outbox
        self.max_streams = max(1, max_streams)
        self.idle_us = int(IDLE_SHARE * idle_close_us)
        self.connect_timeout_us = engine.settings.connect_timeout_us
        self.report_fields = engine.settings.report_fields
        self.members: dict[int, Upstream] = {}
        self.sent = self.sent_before = 0        # attempts of this second, and of the one before
        self.connections, self.most_connections = 0, most_connections   # under way or open, to all members

    @property
    def rate(self) -> int:
        """Attempts a second."""
        return max(self.sent, self.sent_before)

    @property
    def share(self) -> int:
        """How many attempts a connection takes before another is opened. Guards the CPU: each connection is
        read by itself, and at thousands of attempts a second one to each made a director too slow for all
        its requests."""
        return min(1 + max(0, self.rate - SPREAD_MOST) // SHARE_STEP, self.max_streams)

    def send(self, attempt: Attempt, entry: Entry) -> None:
        self.sent += 1
        upstream = self.members.get(attempt.server)
        if upstream is None:
            upstream = self.members[attempt.server] = Upstream(self, entry)
        upstream.send(attempt)

    def undo(self, attempt: Attempt) -> Status:
        link = attempt.link
        if link is None or link.open.get(attempt.request.rid) is not attempt:
            return Status.CONNECT_FAILED        # never written: it waits for a connection, or has none
        return link.upstream.undo(link, attempt)

    def forget(self, server: int) -> None:
        upstream = self.members.pop(server, None)
        if upstream is not None:
            upstream.retire()

    def close_idle(self, server: int) -> None:
        if server in self.members:
            self.members[server].close_idle(self.engine.clock.now())

    async def close_idle_links(self) -> None:
        while True:
            await trio.sleep(1)
            self.sent_before, self.sent = self.sent, 0
            before = self.engine.clock.now() - self.idle_us
            for upstream in list(self.members.values()):
                upstream.close_idle(before)


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
