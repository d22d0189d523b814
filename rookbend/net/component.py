"""The interface of a director's optional components, and the context that the director provides to them.

A component is a listener, a stream, a scheduler, or a group of these that belong together.
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
    from rookbend.net.listeners import Listeners
    from rookbend.net.watch import Watch
    from rookbend.net.write_scheduler import WriteScheduler
    from rookbend.operations.handover import ProcessHandover
    from rookbend.settings import Settings


@dataclass
class ComponentContext:
    """What a component may use of its director. The lifecycle is hidden: components are told of the drain."""

    config: Config
    operators: Settings
    engine: Engine
    watch: Watch
    clock: Clock
    counters: Counters
    log: Log
    write_scheduler: WriteScheduler
    max_clients: int
    phase: Callable[[], str]  # name of the lifecycle's phase
    sample: Callable[[], CapacitySample]  # the director's current load
    listeners: Listeners
    # Whether the director may report that it is ready; replaced by a component that delays this.
    may_report_ready: Callable[[], bool] = lambda: True
    # Each function returns gauges for the metrics, by name; components append theirs.
    gauges: list[Callable[[], dict[str, float]]] = field(default_factory=list)
    # Objects that components provide to components built after them, by name.
    built: dict[str, Any] = field(default_factory=dict)
    containment: FaultContainment = field(init=False)

    def __post_init__(self) -> None:
        self.containment = FaultContainment(self.counters, self.log)


class Component:
    """An optional part of a director. No method except `open` may raise.

    `descriptors` is the number of file descriptors that are reserved for it. `has_successor`: in an upgrade, another
    process serves on the same listeners, and new clients are left to it.
    """

    descriptors = 0
    has_successor = False

    def open(self, listeners: Listeners) -> None:
        """Opens its sockets. Raises OSError if an address can't be bound."""

    def start(self, nursery: trio.Nursery) -> None:
        """Starts its tasks in this nursery, which cancels them at the end."""

    def reload(self, settings: Settings) -> None:
        """Applies the operators' settings, which were read again and are valid."""

    def processes_changed(self, handover: ProcessHandover) -> None:
        """Another process of this director has been found, serves or has ended; also called once before the start."""
        self.has_successor = handover.taken_over

    def drain(self, by_us: int) -> None:
        """The director was told to stop; everything accepted is answered by `by_us`."""

    def stop_accepting(self) -> None:
        """The grace time of the drain is over: nothing new is accepted from now on."""

    def shutdown(self) -> None:
        """Everything is answered and the process is about to end."""

    def close_idle_clients(self) -> None:
        """Called again and again from `stop_accepting` on: closes the connections whose clients are owed no answer."""

    def finish_all(self) -> None:
        """The time of the drain is over: answers what is left as far as it can. The process ends right after."""

    @property
    def unfinished(self) -> int:
        """The number of received requests whose answers are not sent yet: the drain waits for them while it can."""
        return 0
