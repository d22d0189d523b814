"""Sends the buffered bytes of all sockets once in each turn of the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio

from rookbend.net.loop_pause import let_readers_run


class BufferedWriter(Protocol):
    """Something that buffers bytes until they are sent."""

    def send(self) -> None:
        """Sends the buffered bytes."""


class WriteScheduler:
    """Sends all sockets written to during a turn of the event loop at its end: one send call for many answers.

    `before_send` is called before each send; it may withdraw what is buffered, and call `wait_for_reads`.
    """

    def __init__(self) -> None:
        self.before_send: Callable[[], None] = lambda: None
        self._pending: list[BufferedWriter] = []
        self._wakeup = trio.Event()
        self._must_wait = False

    def add(self, writer: BufferedWriter) -> None:
        """Schedules the writer to be sent at the end of this turn."""
        if not self._pending:
            self._wakeup.set()
        self._pending.append(writer)

    def wait_for_reads(self) -> None:
        """Sends nothing until every task has run whose socket is readable now: a client may have left, for which an
        attempt is withdrawn."""
        self._must_wait = True

    def flush(self) -> None:
        """Sends the buffered bytes of all scheduled sockets; the rest waits if `wait_for_reads` is called meanwhile."""
        pending, self._pending = self._pending, []
        for index, writer in enumerate(pending):
            self.before_send()
            if self._must_wait:
                self._pending[:0] = pending[index:]
                self._wakeup.set()
                return
            writer.send()

    async def run(self) -> None:
        """Flushes at the end of each turn that wrote to a socket; runs until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            while self._must_wait:
                self._must_wait = False
                await let_readers_run()
            self.flush()
