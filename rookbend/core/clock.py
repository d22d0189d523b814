"""The one place where Unix time and the monotonic clock meet."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Microseconds that start at the Unix time of the anchoring and go on with the monotonic clock.

    All times inside the program are on this clock. Purges and deadlines of other processes are on the system's Unix
    clock, so the anchor is renewed (`anchor`) with the coordinator's events; it only ever moves forward.
    """

    def __init__(self, monotonic: Callable[[], float], unix: Callable[[], float] = time.time) -> None:
        self._monotonic = monotonic
        self._unix = unix
        self._offset_us = self._read_offset_us()

    def _read_offset_us(self) -> int:
        return int(self._unix() * 1e6) - int(self._monotonic() * 1e6)

    def anchor(self) -> None:
        """Reads the system's Unix clock again."""
        # Guards against a system clock that is stepped back: deadlines already passed on must not move away.
        self._offset_us = max(self._offset_us, self._read_offset_us())

    def now(self) -> int:
        """This moment, in microseconds."""
        return int(self._monotonic() * 1e6) + self._offset_us

    def monotonic_us(self) -> int:
        """Microseconds that no step of the system's clock moves."""
        return int(self._monotonic() * 1e6)

    def monotonic_at(self, now_us: int) -> float:
        """The monotonic reading, in seconds, at which this clock shows `now_us`."""
        # Half a microsecond more: rounded down, a sleeper would wake before its time and sleep again, without end
        # where the clock moves only while every task sleeps.
        return (now_us - self._offset_us + 0.5) / 1e6
