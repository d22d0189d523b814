"""What the service asks of each of its parts: a listener, a stream, a scheduler, or several that belong
together. A part is built by what the settings ask for, and knows nothing of the others."""

from __future__ import annotations

import trio


class Part:
    """`descriptors` are kept back for it. All methods but `open` must not fail."""

    descriptors = 0

    def open(self) -> None:
        """Takes its sockets. Raises OSError where an address can't be had."""

    def start(self, nursery: trio.Nursery) -> None:
        """Starts its tasks; the nursery's end is theirs."""

    def reload(self, settings) -> None:
        """The operators' settings were read again and can be used."""

    def drain(self, by_us: int) -> None:
        """The director has been told to stop; everything is settled at `by_us`."""

    def stop_taking(self) -> None:
        """The time for latecomers is over: nothing new is taken from here on."""

    @property
    def busy(self) -> bool:
        """Whether something it owes has not gone out yet."""
        return False
