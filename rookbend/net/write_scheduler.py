"""Sends the buffered bytes of all sockets once in each turn of the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio


class BufferedWriter(Protocol):
    """Something that buffers bytes until they are sent."""

    def send(self) -> None:
        """Sends the buffered bytes."""


class WriteScheduler:
    """Sends all sockets written to during a turn of the event loop at its end: one send call for many answers.

    `before_send` is called before each send; it may withdraw what is buffered.
    """

    def __init__(self) -> None:
        self.before_send: Callable[[], None] = lambda: None
        self._pending: list[BufferedWriter] = []
        self._wakeup = trio.Event()

    def add(self, writer: BufferedWriter) -> None:
        """Schedules the writer to be sent at the end of this turn."""
        if not self._pending:
            self._wakeup.set()
        self._pending.append(writer)

    def flush(self) -> None:
        """Sends the buffered bytes of all scheduled sockets."""
        pending, self._pending = self._pending, []
        for writer in pending:
            self.before_send()
            writer.send()

    async def run(self) -> None:
        """Flushes at the end of each turn that wrote to a socket; runs until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            self.flush()
