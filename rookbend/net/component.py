"""The interface of a director's optional components, and what a component may use of its director.

A component is a listener, a stream, a scheduler, or several that belong together.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import trio

from rookbend.net.fault_containment import FaultContainment

if TYPE_CHECKING:
    from rookbend.config import Config
    from rookbend.core.clock import Clock
    from rookbend.core.counters import Counters
    from rookbend.core.engine import Engine
    from rookbend.health.spare_capacity import CapacitySample
    from rookbend.logs import Log
    from rookbend.net.buffered_socket import WriteScheduler
    from rookbend.net.listeners import Listeners
    from rookbend.net.watch import Watch
    from rookbend.settings import Settings


@dataclass
class ComponentContext:
    """What a component may use of its director. The lifecycle is not in it: components are notified of the drain."""

    config: Config
    operators: Settings
    engine: Engine
    watch: Watch
    clock: Clock
    counters: Counters
    log: Log
    write_scheduler: WriteScheduler
    max_clients: int
    phase: Callable[[], str]  # of the lifecycle, by its name
    sample: Callable[[], CapacitySample]  # the director's load now
    listeners: Listeners
    # Whether the director may report that it is ready; a component that holds that back replaces it.
    may_report_ready: Callable[[], bool] = lambda: True
    # What returns gauges for the metrics, by name; components append theirs.
    gauges: list[Callable[[], dict[str, float]]] = field(default_factory=list)
    # What components offer to those that are built after them, by name.
    built: dict[str, Any] = field(default_factory=dict)
    containment: FaultContainment = field(init=False)

    def __post_init__(self) -> None:
        self.containment = FaultContainment(self.counters, self.log)


class Component:
    """An optional part of a director. All methods but `open` must not fail.

    `descriptors` is how many file descriptors are reserved for it.
    """

    descriptors = 0

    def open(self, listeners: Listeners) -> None:
        """Opens its sockets. Raises OSError where an address can't be bound."""

    def start(self, nursery: trio.Nursery) -> None:
        """Starts its tasks; they are cancelled with the nursery."""

    def reload(self, settings: Settings) -> None:
        """Applies the operators' settings that were read again and can be used."""

    def drain(self, by_us: int) -> None:
        """The director was requested to stop; everything is answered at `by_us`."""

    def stop_taking(self) -> None:
        """The grace time of the drain is over: nothing new is accepted from here on."""

    def leave(self) -> None:
        """Everything is answered, the process ends next."""

    @property
    def busy(self) -> bool:
        """Whether something that it owes has not gone out yet."""
        return False
