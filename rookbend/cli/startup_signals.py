"""Handles signals that reach a director before its service receives signals, or after it has stopped."""

from __future__ import annotations

import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SERVICE_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)  # used only by the service; by default they end the process


class StartupSignals:
    """Exits with code 0 at a SIGTERM or SIGINT that arrives before the service receives signals itself.

    Until then the director has accepted no requests. Afterwards the service drains at a stop signal, and a signal that
    arrives after the service has stopped receiving them has no effect.
    """

    def __init__(self) -> None:
        self.armed = False

    def arm(self) -> None:
        """Exits at a stop signal from now on. SIGHUP and SIGUSR1 are ignored before the service receives signals, and
        again after it stops, when the handlers set here are restored."""
        self.armed = True
        for number in SERVICE_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_signal)

    def disarm(self) -> None:
        """Disables the exit: the service receives signals from now on."""
        self.armed = False

    def ignore(self) -> None:
        """Ignores stop signals after the drain, so that a late one can't replace exit code 0 by a signal's."""
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        if self.armed:
            raise SystemExit(0)


startup_signals = StartupSignals()
