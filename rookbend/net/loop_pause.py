"""Notices that the event loop has run no task for a while: the process was stopped, or got no processor time.

What arrived in the meantime waits in the sockets, and the tasks that read them run in no particular order.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from rookbend.core.clock import Clock

TURNS_TO_READ = 2  # the rest of the present turn, and one that begins with a look at all sockets
MIN_PAUSE_S = 0.1  # a loop that is idle wakes more often, see `ProcessMetrics.measure_lag`


async def let_readers_run() -> None:
    """Returns once every task has run whose socket was readable at the call."""
    for _ in range(TURNS_TO_READ):
        await trio.lowlevel.checkpoint()


class LoopPauseInstrument(trio.abc.Instrument):
    """Calls each of `on_pause` with the length of a pause of the loop, in microseconds, before any task runs."""

    def __init__(self, clock: Clock) -> None:
        self.on_pause: list[Callable[[int], None]] = []
        self._monotonic_s = clock.monotonic_s
        self._last_step_s = clock.monotonic_s()

    def before_task_step(self, task: trio.lowlevel.Task | None = None) -> None:
        """Reports a pause since the last call; see trio.abc.Instrument."""
        now_s = self._monotonic_s()
        pause_s = now_s - self._last_step_s
        self._last_step_s = now_s
        if pause_s >= MIN_PAUSE_S:
            for callback in self.on_pause:
                callback(int(pause_s * 1e6))
