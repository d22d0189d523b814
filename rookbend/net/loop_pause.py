"""Notices that the event loop has run no task for a while: the process was stopped, or got no processor time.

What arrived in the meantime waits in the sockets, and the tasks that read them run in no particular order.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from rookbend.core.clock import Clock

MIN_PAUSE_S = 0.1  # a loop that is idle wakes more often, see `ProcessMetrics.measure_lag`


class LoopPauseInstrument(trio.abc.Instrument):
    """Calls `on_pause(pause_us)` after a pause of the loop, before any task runs."""

    def __init__(self, clock: Clock, on_pause: Callable[[int], None]) -> None:
        self._monotonic_s = clock.monotonic_s
        self._on_pause = on_pause
        self._last_step_s = clock.monotonic_s()

    def before_task_step(self, task: trio.lowlevel.Task | None = None) -> None:
        """Reports a pause since the last call; see trio.abc.Instrument."""
        now_s = self._monotonic_s()
        pause_s = now_s - self._last_step_s
        self._last_step_s = now_s
        if pause_s >= MIN_PAUSE_S:
            self._on_pause(int(pause_s * 1e6))
