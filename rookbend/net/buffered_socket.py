"""A non-blocking TCP connection that batches all writes of one event loop turn into one send."""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from collections.abc import Callable

import trio

from rookbend.net.send_queue import held_back_bytes
from rookbend.net.write_scheduler import WriteScheduler

RECEIVE_BYTES = 1 << 18
_RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BYTES))  # shared: a new block for each read is mapped and unmapped
MAX_SEND_PARTS = 512  # buffers in one `sendmsg` call


class BufferedSocket:
    """A socket that accepts writes at any time and keeps in a backlog the bytes that the kernel has not taken yet.

    Socket errors are not raised: `broken` is set, and the reader sees the end of the connection.
    Owns `sock`: `close` must be called.
    """

    def __init__(
        self,
        sock: socket.socket,
        nursery: trio.Nursery,
        scheduler: WriteScheduler,
        receive_bytes: int = RECEIVE_BYTES,
    ) -> None:
        """`receive_bytes` is the most that one read returns."""
        self.sock = sock
        self._receive_bytes = receive_bytes
        self._nursery = nursery
        self._scheduler = scheduler
        self._buffered: list[bytes] = []  # written in this turn
        self._backlog: deque[memoryview] = deque()
        self.backlog_bytes = 0
        self.accepted_bytes = 0  # accepted by `write`
        self.sent_bytes = 0  # taken by the kernel
        self.last_progress_s = 0.0  # trio's time when the kernel last took bytes, since a backlog exists
        self.closed = False
        self.broken = False  # shut down both ways, by an error or by `abort`
        self.eof_received = False  # the end of the stream or a reset was read
        self.reset = False  # it was a reset
        self._finishing = False  # the sending side is closed once the backlog is sent
        self.on_drained: Callable[[], None] | None = None  # called once the backlog is sent or dropped
        self._drained = trio.Event()  # set by the same, for the tasks that wait now

    @property
    def unsent_bytes(self) -> int:
        """Bytes accepted that the kernel has not taken; 0 once the connection is closed or broken."""
        return 0 if self.closed or self.broken else self.accepted_bytes - self.sent_bytes

    @property
    def undelivered_bytes(self) -> int:
        """Bytes accepted that are still on this machine; 0 once the connection is closed or broken.

        Bytes that the kernel has taken may wait there for a slow reader, and a reset would discard them.
        """
        return 0 if self.closed or self.broken else self.unsent_bytes + held_back_bytes(self.sock)

    def write(self, data: bytes) -> None:
        """Buffers the bytes for the end of this turn; ignored once the connection is closed, broken or finishing."""
        if self.closed or self.broken or self._finishing:
            return
        if not self._buffered:
            self._scheduler.add(self)
        self._buffered.append(data)
        self.accepted_bytes += len(data)

    def withdraw(self, size: int) -> bool:
        """Removes the last `size` bytes from the buffer if none of them was sent; returns whether it did."""
        if self.closed or self.broken or self.accepted_bytes - self.sent_bytes < size:
            return False
        unsent = b"".join(self._buffered) if self._buffered else b""
        if unsent:
            if len(unsent) < size:
                return False
            self._buffered = [unsent[:-size]] if len(unsent) > size else []
        elif self._backlog and len(self._backlog[-1]) >= size:
            if remaining := self._backlog.pop()[:-size]:
                self._backlog.append(remaining)
            self.backlog_bytes -= size
        else:
            return False
        self.accepted_bytes -= size
        return True

    def send(self) -> None:
        """Sends the buffered bytes; those that the kernel does not take go to the backlog."""
        buffered, self._buffered = self._buffered, []
        if self.closed or self.broken or not buffered:
            return
        if len(buffered) > MAX_SEND_PARTS:
            buffered = [b"".join(buffered)]
        size, sent = self.accepted_bytes - self.sent_bytes - self.backlog_bytes, 0
        if not self._backlog:
            try:
                # Sends all parts in one call without joining them into one buffer.
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
                    break  # the backlog was cleared by `abort`, `close` or `withdraw` during the wait
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
        self._notify_drained()

    def _notify_drained(self) -> None:
        self._drained.set()
        self._drained = trio.Event()
        if self.on_drained is not None:
            self.on_drained()

    async def sent(self) -> None:
        """Waits until the kernel has taken all bytes written so far, or the connection has ended."""
        self.send()
        while self._backlog:
            await self._drained.wait()

    async def receive(self) -> bytes:
        """The next bytes; empty at the end of the connection, whether by a close, a reset or an error."""
        while not (self.closed or self.eof_received):
            try:
                await trio.lowlevel.wait_readable(self.sock)
            except trio.ClosedResourceError:
                break
            if data := self.receive_now():
                return data
        return b""

    def receive_now(self) -> bytes:
        """The bytes that can be read without waiting; empty if there are none, or at the end (`eof_received`)."""
        if self.closed or self.eof_received:
            return b""
        try:
            size = self.sock.recv_into(_RECEIVE_BUFFER, self._receive_bytes)
        except BlockingIOError:
            return b""
        except OSError:
            self.eof_received = self.reset = True
            return b""
        self.eof_received = not size
        return bytes(_RECEIVE_BUFFER[:size])

    def peek(self) -> bytes | None:
        """The first byte of the next read, which is not consumed; empty at the end of the stream or after a reset, None
        if there is nothing to read."""
        if self.closed or self.eof_received:
            return b""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def peer_has_closed(self) -> bool:
        """Whether the next read returns the end of the stream or a reset."""
        return self.peek() == b""

    def finish(self) -> None:
        """Closes the sending side once all buffered bytes are sent; the reader continues until the peer closes."""
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
        """Shuts the connection down both ways and drops the backlog; the reader sees the end and closes the socket."""
        if self.closed or self.broken:
            return
        self.broken = True
        self._backlog.clear()
        self.backlog_bytes = 0
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self._notify_drained()

    def discard_received(self, limit: int) -> None:
        """Reads and discards what has arrived, up to about `limit` bytes: a close over unread bytes sends a reset."""
        while limit > 0 and (data := self.receive_now()):
            limit -= len(data)

    def close(self) -> None:
        """Closes the socket at once and wakes the tasks that wait on it."""
        if not self.closed:
            self.closed = True
            self._backlog.clear()
            self.backlog_bytes = 0
            self._drained.set()
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()


def set_socket_options(sock: socket.socket) -> socket.socket:
    """Makes the socket non-blocking and disables Nagle's algorithm (TCP_NODELAY) if it can; returns the same socket."""
    sock.setblocking(False)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
