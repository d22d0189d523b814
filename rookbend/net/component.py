"""What the service asks of each of its parts: a listener, a stream, a scheduler, or several that belong
together; and what a part may see of the director it belongs to."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from rookbend.config import Config
    from rookbend.core.clock import Clock
    from rookbend.core.counters import Counters
    from rookbend.core.engine import Engine
    from rookbend.health.spare_capacity import Sample
    from rookbend.logs import Log
    from rookbend.net.buffered_socket import WriteScheduler
    from rookbend.net.listeners import Listeners
    from rookbend.net.watch import Watch
    from rookbend.settings import Settings


@dataclass
class ComponentContext:
    """What a part may see of its director. The lifecycle is not in it: a part is told of the drain."""

    config: Config
    operators: Settings
    engine: Engine
    watch: Watch
    clock: Clock
    counters: Counters
    log: Log
    outbox: WriteScheduler
    most_clients: int
    phase: Callable[[], str]  # the lifecycle's, by name
    sample: Callable[[], Sample]  # what is measured of ourselves
    listeners: Listeners
    # Whether the director may say that it is ready; a part that keeps it from that puts its own here.
    admits: Callable[[], bool] = lambda: True
    # Figures that go up and down, by name; a part adds its own.
    gauges: list[Callable[[], dict[str, float]]] = field(default_factory=list)
    # What parts built before offer to those built after, by name.
    built: dict[str, Any] = field(default_factory=dict)


class Component:
    """`descriptors` are kept back for it. All methods but `open` must not fail."""

    descriptors = 0

    def open(self, listeners: Listeners) -> None:
        """Takes its sockets. Raises OSError where an address can't be had."""

    def start(self, nursery: trio.Nursery) -> None:
        """Starts its tasks; the nursery's end is theirs."""

    def reload(self, settings) -> None:
        """The operators' settings were read again and can be used."""

    def drain(self, by_us: int) -> None:
        """The director has been told to stop; everything is settled at `by_us`."""

    def stop_taking(self) -> None:
        """The time for latecomers is over: nothing new is taken from here on."""

    def leave(self) -> None:
        """Everything is settled, the process ends next."""

    @property
    def busy(self) -> bool:
        """Whether something it owes has not gone out yet."""
        return False
