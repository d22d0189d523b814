"""Signals that reach a director outside the time in which its service receives them."""

from __future__ import annotations

import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SERVICE_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)  # of use to a service alone; by default they end the process


class StartupSignals:
    """Exits with code 0 at a SIGTERM or SIGINT that comes before the service receives signals itself.

    Until then nothing was accepted. Later the service drains, and a signal that comes once it has stopped
    receiving changes nothing.
    """

    def __init__(self) -> None:
        self.armed = False

    def arm(self) -> None:
        """Exits at a stop signal from now on. The others are ignored where the service does not receive them: before
        it does, and again behind it, when what was in force here is restored."""
        self.armed = True
        for number in SERVICE_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_signal)

    def disarm(self) -> None:
        """The service receives signals now."""
        self.armed = False

    def ignore(self) -> None:
        """Ignores stop signals after the drain: a late one must not turn the exit code into a signal's."""
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        if self.armed:
            raise SystemExit(0)


startup_signals = StartupSignals()
