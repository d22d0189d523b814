"""The director's clock: Unix time, advanced by the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable

MIN_STEP_US = 100_000  # a change of the system's clock between two readings that is no drift


class Clock:
    """Unix time in microseconds, read at the start, and advanced by the monotonic clock.

    All times inside the program are on this clock, and spans of it are spans of real time. Purges and starts of other
    processes are on the system's Unix clock, so `anchor` is called with the coordinator's events: this clock follows it
    forward where it drifts, and not where it is stepped. `monotonic_s` reads the monotonic clock, in seconds.
    """

    def __init__(self, monotonic: Callable[[], float], unix: Callable[[], float] = time.time) -> None:
        self.monotonic_s = monotonic
        self._unix = unix
        self._offset_us = self._read_offset_us()
        self.has_stepped = False  # the system's clock was stepped: it and this one tell different times

    def _read_offset_us(self) -> int:
        return int(self._unix() * 1e6) - int(self.monotonic_s() * 1e6)

    def anchor(self) -> None:
        """Reads the system's Unix clock again."""
        change_us = self._read_offset_us() - self._offset_us
        if abs(change_us) >= MIN_STEP_US:
            self.has_stepped = True
        else:
            # Where the system's clock drifts back, deadlines already handed out must not be postponed.
            self._offset_us += max(0, change_us)

    def now(self) -> int:
        """The current time, in microseconds."""
        return int(self.monotonic_s() * 1e6) + self._offset_us

    def monotonic_us(self) -> int:
        """The monotonic clock, in microseconds: not affected by steps of the system clock."""
        return int(self.monotonic_s() * 1e6)

    def monotonic_at(self, now_us: int) -> float:
        """The monotonic reading, in seconds, at which this clock shows `now_us`."""
        # Half a microsecond is added because a task that sleeps until a time rounded down would wake too early and
        # sleep again, without end where the clock advances only while every task sleeps.
        return (now_us - self._offset_us + 0.5) / 1e6
