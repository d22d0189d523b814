"""Notices that the event loop has stood still for a while: the process was stopped, or got no processor time.

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
    """Calls each of `on_pause` with the length of a pause of the loop, in microseconds.

    It looks in each turn of the loop before any task runs. A process may be stopped in the middle of a turn too:
    `check` is called before what must not be done on old knowledge.
    """

    def __init__(self, clock: Clock) -> None:
        self.on_pause: list[Callable[[int], None]] = []
        self._monotonic_s = clock.monotonic_s
        self._last_check_s = clock.monotonic_s()

    def after_io_wait(self, timeout: float) -> None:
        """See trio.abc.Instrument."""
        self.check()

    def check(self) -> None:
        """Reports a pause since the last check."""
        now_s = self._monotonic_s()
        pause_s = now_s - self._last_check_s
        self._last_check_s = now_s
        if pause_s >= MIN_PAUSE_S:
            for callback in self.on_pause:
                callback(int(pause_s * 1e6))
