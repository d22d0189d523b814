"""A non-blocking TCP connection: what one turn of the loop writes goes out together, at its end."""

from __future__ import annotations

import contextlib
import socket
from collections import deque

import trio

RECEIVE = 1 << 18
GATHERED = 512  # parts that one call takes


class Outbox:
    """The channels written to in this turn of the loop. One send for many answers saves most of the calls."""

    def __init__(self):
        self.dirty: list[Channel] = []
        self._woken = trio.Event()

    def add(self, channel: Channel) -> None:
        """The channel has something to send."""
        if not self.dirty:
            self._woken.set()
        self.dirty.append(channel)

    def flush(self) -> None:
        """Sends what all of them have."""
        dirty, self.dirty = self.dirty, []
        for channel in dirty:
            channel.send()

    async def run(self) -> None:
        """Flushes at the end of each turn in which something was written."""
        while True:
            await self._woken.wait()
            self._woken = trio.Event()
            self.flush()


class Channel:
    """Takes bytes at any time; a backlog is what the socket has not taken at once."""

    def __init__(self, sock: socket.socket, nursery: trio.Nursery, outbox: Outbox):
        self.sock, self._nursery, self._outbox = sock, nursery, outbox
        self._fresh: list[bytes] = []  # written in this turn
        self._backlog: deque[memoryview] = deque()
        self.queued = 0  # bytes in the backlog
        self.accepted = 0  # bytes taken by `write`
        self.written = 0  # bytes that the socket has taken
        self.progress_at = 0.0  # when it last took some
        self.closed = self.broken = False
        self.at_end = False  # the other side's end was read, or its reset
        self.reset = False  # that end was a reset
        self._finishing = False  # our side is to be closed once the backlog has gone
        self.on_drained = None  # called when a backlog has gone out, or never will

    @property
    def unsent(self) -> int:
        """Bytes taken that the socket has not; none once the connection is at its end."""
        return 0 if self.closed or self.broken else self.accepted - self.written

    def write(self, data: bytes) -> None:
        """Takes the bytes whole; an error shows at the next read."""
        if self.closed or self.broken or self._finishing:
            return
        if not self._fresh:
            self._outbox.add(self)
        self._fresh.append(data)
        self.accepted += len(data)

    def withdraw(self, size: int) -> bool:
        """Takes the last `size` bytes back if nothing of them is out; tells whether it did."""
        if self.closed or self.broken or self.accepted - self.written < size:
            return False
        unsent = b"".join(self._fresh) if self._fresh else b""
        if unsent:
            if len(unsent) < size:
                return False
            self._fresh = [unsent[:-size]] if len(unsent) > size else []
        elif self._backlog and len(self._backlog[-1]) >= size:
            kept = self._backlog.pop()[:-size]
            if kept:
                self._backlog.append(kept)
            self.queued -= size
        else:
            return False
        self.accepted -= size
        return True

    def send(self) -> None:
        """Hands what is fresh to the socket."""
        fresh, self._fresh = self._fresh, []
        if self.closed or self.broken or not fresh:
            return
        if len(fresh) > GATHERED:
            fresh = [b"".join(fresh)]
        size, sent = self.accepted - self.written - self.queued, 0
        if not self._backlog:
            try:
                # All parts in one call, with none of them copied together first.
                sent = self.sock.send(fresh[0]) if len(fresh) == 1 else self.sock.sendmsg(fresh)
            except BlockingIOError:
                pass
            except OSError:
                return self.shut()
            self.written += sent
            if sent == size:
                return
            self.progress_at = trio.current_time()
            self._nursery.start_soon(self._flush)
        data = fresh[0] if len(fresh) == 1 else b"".join(fresh)
        self._backlog.append(memoryview(data)[sent:])
        self.queued += len(data) - sent

    async def _flush(self) -> None:
        backlog = self._backlog
        try:
            while backlog:
                await trio.lowlevel.wait_writable(self.sock)
                if not backlog:
                    break  # broken, closed or withdrawn while this waited
                sent = self.sock.send(backlog[0])
                self.written += sent
                self.queued -= sent
                self.progress_at = trio.current_time()
                if sent == len(backlog[0]):
                    backlog.popleft()
                else:
                    backlog[0] = backlog[0][sent:]
        except (OSError, trio.ClosedResourceError):
            return self.shut()
        if self.closed or self.broken:
            return
        if self._finishing:
            self._close_sending_side()
        if self.on_drained is not None:
            self.on_drained()

    async def receive(self) -> bytes:
        """The next bytes; empty at the end of the connection, however it came."""
        while not (self.closed or self.at_end):
            try:
                await trio.lowlevel.wait_readable(self.sock)
            except trio.ClosedResourceError:
                break
            if data := self.receive_now():
                return data
        return b""

    def receive_now(self) -> bytes:
        """The bytes that are there already; empty where there are none, or at the end (`at_end`)."""
        if self.closed or self.at_end:
            return b""
        try:
            data = self.sock.recv(RECEIVE)
        except BlockingIOError:
            return b""
        except OSError:
            self.at_end = self.reset = True
            return b""
        self.at_end = not data
        return data

    def peer_has_closed(self) -> bool:
        """Whether the other side's end, or its reset, is the next thing to be read."""
        if self.closed or self.at_end:
            return True
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def finish(self) -> None:
        """Sends what was taken and closes the sending side; the reader goes on to the other side's end."""
        self.send()
        self._finishing = True
        if not (self.closed or self.broken or self._backlog):
            self._close_sending_side()

    def _close_sending_side(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.shut()

    def shut(self) -> None:
        """Breaks the connection both ways; the reader sees its end and closes it."""
        if self.closed or self.broken:
            return
        self.broken = True
        self._backlog.clear()
        self.queued = 0
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        if self.on_drained is not None:
            self.on_drained()

    def close(self) -> None:
        """Ends the connection at once; who waits on it hears of its end."""
        if not self.closed:
            self.closed = True
            self._backlog.clear()
            self.queued = 0
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()


def prepare(sock: socket.socket) -> socket.socket:
    """A socket as channels want it: without blocking, and without delay for small writes."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
