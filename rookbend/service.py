"""The lifecycle of a director.

The objects that every director has are built here. Those that the operators' settings enable come from
`rookbend.components` and have the interface of `net/component.py`.
"""

from __future__ import annotations

import gc
import signal
import time
from collections.abc import AsyncIterator, Callable
from socket import socket

import msgspec
import trio

from rookbend.assembly import ListenError, build_engine, build_pool, build_watch, open_sockets
from rookbend.components import build_components
from rookbend.config import Config
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.input_budget import InputBudget
from rookbend.drain import Drain, DrainContext
from rookbend.fronts.platform import PlatformFront
from rookbend.logs import Log
from rookbend.net.client_listener import ClientListener
from rookbend.net.component import Component, ComponentContext
from rookbend.net.listeners import Listeners
from rookbend.net.peers import PeerSocket
from rookbend.net.pool import Pool
from rookbend.net.write_scheduler import WriteScheduler
from rookbend.phase import Phase
from rookbend.process_metrics import ProcessMetrics, resident_bytes
from rookbend.reload import ReadConfig, Reload, ReloadContext
from rookbend.resource_budget import ResourceBudget
from rookbend.resource_monitor import ResourceMonitor
from rookbend.settings import Settings

__all__ = ["ListenError", "Phase", "Service", "serve"]

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class Service:
    """A director. `run` serves until `stop` is called; `ready` is set and `address` known once it listens."""

    def __init__(
        self,
        config: Config,
        operators: Settings | None = None,
        wall_clock: Callable[[], float] = time.time,
        read_config: ReadConfig | None = None,
    ) -> None:
        """`wall_clock` returns Unix time in seconds; `read_config` reads the files again at a reload."""
        self.config = config
        self.operators = operators or Settings()
        self.phase = Phase.STARTING
        self.ready = trio.Event()
        self.address: tuple[str, int] | None = None  # where clients connect
        self.pool: Pool | None = None
        self.peers: PeerSocket | None = None
        self._stopping = trio.Event()
        self.counters = Counters()
        self.write_scheduler = WriteScheduler()
        self.listeners = Listeners()
        self.budget = ResourceBudget(config.limits)
        self.clock = Clock(trio.lowlevel.current_clock().current_time, wall_clock)
        self.log = Log(self.clock.now, **msgspec.structs.asdict(self.operators.log))
        self._build_core()
        self._build_components()
        self._build_lifecycle(read_config or (lambda previous: (config, self.operators)))

    def _build_core(self) -> None:
        """Builds the engine, the watch of the coordinator, the listener for clients and the process metrics."""
        self.resident_at_start = resident_bytes()
        self.input_budget = InputBudget(self.budget.max_input_bytes(self.resident_at_start))
        self.engine = build_engine(self.config, self.clock, self.counters, self.log)
        self.client_listener = ClientListener(
            PlatformFront(self.engine, self.is_ready, self.is_closed, self.input_budget),
            self.budget.max_clients,
            self.budget.max_unsent_bytes(),
            self.counters,
            self.write_scheduler,
        )
        self.metrics = ProcessMetrics(self.engine, self.client_listener, self.budget, self.operators.headroom.lag_us)
        self.watch = build_watch(self.config, self.engine, self.write_scheduler, self.client_listener, self.metrics)
        self.resource_monitor = ResourceMonitor(self.engine, self.client_listener, self.budget, self.metrics)

    def _build_components(self) -> None:
        """Builds the components that the operators' settings enable. Attributes of disabled ones are None or empty."""
        self.context = ComponentContext(
            self.config,
            self.operators,
            self.engine,
            self.watch,
            self.clock,
            self.counters,
            self.log,
            self.write_scheduler,
            self.client_listener.max_clients,
            self.reported_phase,
            self.metrics.sample,
            self.listeners,
            gauges=[self.metrics.gauges, self.watch.gauges],
        )
        self.components: list[Component] = build_components(self.context)
        self.budget.component_descriptors = sum(component.descriptors for component in self.components)
        built = self.context.built
        self.dns = built.get("dns")
        self.health = built.get("health")
        self.admin = built.get("admin")
        self.balancer: list[Component] = built.get("balancer", [])
        self.operations = built.get("operations")
        self.upgrade = built.get("upgrade")
        if self.upgrade is not None:
            self.upgrade.on_change = self._divide_budget

    def _build_lifecycle(self, read_config: ReadConfig) -> None:
        """Builds what SIGHUP and SIGTERM start: the reload and the drain."""
        self.reload = Reload(
            ReloadContext(
                self.config,
                self.operators,
                self.engine,
                self.watch,
                self.components,
                self.counters,
                self.log,
                self._apply_connection_limits,
                self.health is not None,
            ),
            read_config,
        )
        context = DrainContext(self.clock, self.engine, self.client_listener, self.components, self.upgrade, self.log)
        self.drain = Drain(context)

    def is_ready(self) -> bool:
        """Whether requests can be served, which needs at least one member in service."""
        return self.phase is Phase.READY and self.engine.is_able_to_serve() and self.context.may_report_ready()

    def reported_phase(self) -> str:
        """The phase reported to balancers in front: `starting` for as long as readiness is delayed."""
        may_report_ready = self.context.may_report_ready() and not self.engine.held_requests.is_holding
        return (self.phase if may_report_ready or self.phase is not Phase.READY else Phase.STARTING).value

    def is_closed(self) -> bool:
        """Whether new requests are rejected, since the drain's grace period is over."""
        return self.drain.is_grace_over()

    def stop(self) -> None:
        """Starts the drain. A second call has no effect."""
        self._stopping.set()

    async def run(self, signals: AsyncIterator[int] | None = None) -> None:
        """Serves until `stop` is called, or a signal requests it, and everything accepted is answered."""
        if self.upgrade is not None:
            await self.upgrade.inherit()
        sockets = open_sockets(self.context, self.components)
        self.address = sockets.listener.getsockname()[:2]
        self.peers = sockets.peers
        self.engine.peers = sockets.peers
        async with trio.open_nursery() as nursery:
            accept_scope = self._start_tasks(nursery, sockets.listener, signals)
            for component in self.components:
                component.start(nursery)
            # The objects built so far stay: scanning them in each garbage collection would stall requests for nothing.
            gc.freeze()
            self._enter(Phase.READY)
            self.ready.set()
            await self._stopping.wait()
            self._enter(Phase.DRAINING)
            await self.drain.run(accept_scope)
            for component in self.components:
                component.shutdown()
            nursery.cancel_scope.cancel()
        self._enter(Phase.STOPPED)
        self._log_counters()

    def _start_tasks(
        self, nursery: trio.Nursery, listener: socket, signals: AsyncIterator[int] | None
    ) -> trio.CancelScope:
        """Starts the tasks of every director; returns the cancel scope of the task that accepts clients."""
        pool = build_pool(self.config, self.engine, self.counters, nursery, self.write_scheduler, self.budget)
        self.pool = self.metrics.pool = self.engine.backend = pool
        self._divide_budget()
        self.watch.apply_known_events(self.config.known)
        if signals is not None:
            nursery.start_soon(self._handle_signals, signals)
        if self.peers is not None:
            nursery.start_soon(self.peers.run)
        for task in (
            self.write_scheduler.run,
            self.metrics.run_timers,
            self.metrics.measure_lag,
            self.resource_monitor.run,
            self.client_listener.watch_clients,
            self.watch.run,
            pool.close_idle_connections,
        ):
            nursery.start_soon(task)
        accept_scope = trio.CancelScope()
        nursery.start_soon(self.client_listener.serve, listener, accept_scope)
        return accept_scope

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.log(phase.value, director=self.config.name)

    def _log_counters(self) -> None:
        self.log("counters", "info", **self.counters.fields())

    def _apply_connection_limits(self, max_streams: int, idle_close_us: int) -> None:
        if self.pool is not None:
            self.pool.apply_settings(max_streams, idle_close_us)

    def _divide_budget(self) -> None:
        """Applies this process's share of the limits: called when another process starts, serves or exits."""
        if self.upgrade is None or self.pool is None:
            return
        handover = self.upgrade.handover
        self.pool.max_connections = self.budget.max_member_connections(handover.processes)
        self.engine.set_active_processes(handover.active_processes)
        self.input_budget.max_bytes = self.budget.max_input_bytes(self.resident_at_start, handover.processes)
        self.client_listener.max_unsent_bytes = self.budget.max_unsent_bytes(handover.processes)
        if self.peers is not None:
            self.peers.set_receiving(not handover.taken_over)
        for component in self.components:
            component.processes_changed(handover)

    async def _handle_signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            if number == signal.SIGUSR1:
                self._log_counters()
            elif number == signal.SIGHUP:
                self.reload()
            else:
                self.stop()


async def serve(
    config: Config,
    operators: Settings,
    read_config: ReadConfig,
    on_signals_received: Callable[[], None] = lambda: None,
) -> None:
    """Runs a director until SIGTERM or SIGINT; `on_signals_received` is called once the signal handlers are set."""
    with trio.open_signal_receiver(*SIGNALS) as signals:
        on_signals_received()
        await Service(config, operators, read_config=read_config).run(signals)
