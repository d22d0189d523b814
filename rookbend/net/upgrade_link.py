"""A connection between two processes of one director, during an upgrade."""

from __future__ import annotations

import array
import contextlib
import socket
from collections.abc import Callable, Sequence

import trio

from rookbend.protocol import upgrade as upgrade_protocol

MAX_BACKLOG_BYTES = 1 << 20  # of messages to a process that reads none: then the connection is ended

Rights = tuple[int, int, "array.array[int]"]  # ancillary data: level, type, descriptors


class Link:
    """Messages are sent in order. Those that the socket does not take at once wait for `run_writer`."""

    def __init__(self, raw: socket.socket):
        raw.setblocking(False)
        self.raw = raw
        self.sock = trio.socket.from_stdlib_socket(raw)
        self.reader = upgrade_protocol.MessageReader()
        self.handle: Callable[[upgrade_protocol.Message], None] = lambda message: None
        self.shares_ids = False  # the other process takes SharedIds
        self._backlog = bytearray()
        self._has_backlog = trio.Event()

    def send(self, message: upgrade_protocol.Message, rights: Sequence[Rights] = ()) -> None:
        """Sends at once as much as the socket takes; `rights` go with the first byte."""
        data = upgrade_protocol.encode(message)
        sent = 0
        if not self._backlog:
            with contextlib.suppress(OSError):
                sent = self.raw.sendmsg([data], rights)
            if rights and not sent:
                return self.end()  # without its descriptors the message would be wrong
        if sent < len(data):
            self._backlog += data[sent:]
            self._has_backlog.set()
        if len(self._backlog) > MAX_BACKLOG_BYTES:
            self.end()

    async def run_writer(self) -> None:
        """Sends what waits, until cancelled or the connection has ended."""
        while True:
            await self._has_backlog.wait()
            self._has_backlog = trio.Event()
            while self._backlog:
                try:
                    sent = await self.sock.send(bytes(self._backlog))
                except (OSError, trio.ClosedResourceError):
                    return
                del self._backlog[:sent]

    def receive_now(self) -> list[upgrade_protocol.Message]:
        """The messages that have arrived, without waiting. Raises UpgradeError if one can't be parsed."""
        messages: list[upgrade_protocol.Message] = []
        with contextlib.suppress(OSError):
            while data := self.raw.recv(upgrade_protocol.MAX_LINE_BYTES):
                messages += self.reader.feed(data)
        return messages

    def end(self) -> None:
        """Shuts the connection down both ways: its readers see the end."""
        self._backlog.clear()
        with contextlib.suppress(OSError):
            self.raw.shutdown(socket.SHUT_RDWR)
