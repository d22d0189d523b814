"""A non-blocking TCP connection: what one turn of the event loop writes is sent together, at its end."""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from collections.abc import Callable

import trio

RECEIVE_BYTES = 1 << 18
MAX_SEND_PARTS = 512  # buffers that one `sendmsg` takes


class WriteScheduler:
    """The sockets written to in this turn of the event loop, sent at its end: one send for many answers."""

    def __init__(self) -> None:
        self._pending: list[BufferedSocket] = []
        self._wakeup = trio.Event()

    def add(self, buffered_socket: BufferedSocket) -> None:
        """Has the socket sent at the end of this turn."""
        if not self._pending:
            self._wakeup.set()
        self._pending.append(buffered_socket)

    def flush(self) -> None:
        """Sends what the scheduled sockets have buffered."""
        pending, self._pending = self._pending, []
        for buffered_socket in pending:
            buffered_socket.send()

    async def run(self) -> None:
        """Flushes at the end of each turn in which something was written; runs until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            self.flush()


class BufferedSocket:
    """A socket that takes bytes at any time and keeps in a backlog what the kernel has not taken at once.

    Errors of the socket are not raised: `broken` is set, and the reader sees the end of the connection.
    Owns `sock`: `close` must be called.
    """

    def __init__(self, sock: socket.socket, nursery: trio.Nursery, scheduler: WriteScheduler) -> None:
        self.sock = sock
        self._nursery = nursery
        self._scheduler = scheduler
        self._buffered: list[bytes] = []  # written in this turn
        self._backlog: deque[memoryview] = deque()
        self.backlog_bytes = 0
        self.accepted_bytes = 0  # taken by `write`
        self.sent_bytes = 0  # taken by the kernel
        self.last_progress_s = 0.0  # trio's time of the last send with a backlog
        self.closed = False
        self.broken = False  # shut down both ways, by an error or by `abort`
        self.eof_received = False  # the peer's end was read, or its reset
        self.reset = False  # that end was a reset
        self._finishing = False  # the sending side is closed once the backlog is sent
        self.on_drained: Callable[[], None] | None = None  # called when a backlog is sent, or never will be

    @property
    def unsent_bytes(self) -> int:
        """Bytes accepted that the kernel has not taken; 0 once the connection is closed or broken."""
        return 0 if self.closed or self.broken else self.accepted_bytes - self.sent_bytes

    def write(self, data: bytes) -> None:
        """Buffers the bytes for the end of this turn; ignored once the connection is closed, broken or finishing."""
        if self.closed or self.broken or self._finishing:
            return
        if not self._buffered:
            self._scheduler.add(self)
        self._buffered.append(data)
        self.accepted_bytes += len(data)

    def withdraw(self, size: int) -> bool:
        """Takes the last `size` bytes back if none of them is sent; returns whether it did."""
        if self.closed or self.broken or self.accepted_bytes - self.sent_bytes < size:
            return False
        unsent = b"".join(self._buffered) if self._buffered else b""
        if unsent:
            if len(unsent) < size:
                return False
            self._buffered = [unsent[:-size]] if len(unsent) > size else []
        elif self._backlog and len(self._backlog[-1]) >= size:
            remaining = self._backlog.pop()[:-size]
            if remaining:
                self._backlog.append(remaining)
            self.backlog_bytes -= size
        else:
            return False
        self.accepted_bytes -= size
        return True

    def send(self) -> None:
        """Sends what is buffered; what the kernel does not take goes to the backlog."""
        buffered, self._buffered = self._buffered, []
        if self.closed or self.broken or not buffered:
            return
        if len(buffered) > MAX_SEND_PARTS:
            buffered = [b"".join(buffered)]
        size, sent = self.accepted_bytes - self.sent_bytes - self.backlog_bytes, 0
        if not self._backlog:
            try:
                # All parts in one call, with none of them copied together first.
                sent = self.sock.send(buffered[0]) if len(buffered) == 1 else self.sock.sendmsg(buffered)
            except BlockingIOError:
                pass
            except OSError:
                return self.abort()
            self.sent_bytes += sent
            if sent == size:
                return
            self.last_progress_s = trio.current_time()
            self._nursery.start_soon(self._flush)
        data = buffered[0] if len(buffered) == 1 else b"".join(buffered)
        self._backlog.append(memoryview(data)[sent:])
        self.backlog_bytes += len(data) - sent

    async def _flush(self) -> None:
        backlog = self._backlog
        try:
            while backlog:
                await trio.lowlevel.wait_writable(self.sock)
                if not backlog:
                    break  # broken, closed or withdrawn while this waited
                sent = self.sock.send(backlog[0])
                self.sent_bytes += sent
                self.backlog_bytes -= sent
                self.last_progress_s = trio.current_time()
                if sent == len(backlog[0]):
                    backlog.popleft()
                else:
                    backlog[0] = backlog[0][sent:]
        except (OSError, trio.ClosedResourceError):
            return self.abort()
        if self.closed or self.broken:
            return
        if self._finishing:
            self._close_sending_side()
        if self.on_drained is not None:
            self.on_drained()

    async def receive(self) -> bytes:
        """The next bytes; empty at the end of the connection, whatever ended it."""
        while not (self.closed or self.eof_received):
            try:
                await trio.lowlevel.wait_readable(self.sock)
            except trio.ClosedResourceError:
                break
            if data := self.receive_now():
                return data
        return b""

    def receive_now(self) -> bytes:
        """The bytes that can be read without waiting; empty where there are none, or at the end (`eof_received`)."""
        if self.closed or self.eof_received:
            return b""
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return b""
        except OSError:
            self.eof_received = self.reset = True
            return b""
        self.eof_received = not data
        return data

    def peer_has_closed(self) -> bool:
        """Whether the peer's end, or its reset, is the next thing to be read."""
        if self.closed or self.eof_received:
            return True
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def finish(self) -> None:
        """Sends what is buffered, then closes the sending side; the reader goes on to the peer's end."""
        self.send()
        self._finishing = True
        if not (self.closed or self.broken or self._backlog):
            self._close_sending_side()

    def _close_sending_side(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def abort(self) -> None:
        """Shuts the connection down both ways and drops the backlog; the reader sees its end and closes it."""
        if self.closed or self.broken:
            return
        self.broken = True
        self._backlog.clear()
        self.backlog_bytes = 0
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        if self.on_drained is not None:
            self.on_drained()

    def close(self) -> None:
        """Closes the socket at once; tasks that wait on it are woken."""
        if not self.closed:
            self.closed = True
            self._backlog.clear()
            self.backlog_bytes = 0
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()


def set_socket_options(sock: socket.socket) -> socket.socket:
    """The same socket made non-blocking, and without delay for small writes (TCP_NODELAY)."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
