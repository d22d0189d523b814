"""The lifecycle of a director: one object, whose phases are named states.

What every director has is built here; what the operators' settings ask for comes from `parts`, behind the one
interface of `net/part.py`.
"""

from __future__ import annotations

import gc
import signal
import time
from collections.abc import AsyncIterator, Callable
from enum import Enum
from socket import socket

import msgspec
import trio

from rookbend import components
from rookbend.config import Config
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.drain import Drain
from rookbend.fronts.platform import PlatformFront
from rookbend.logs import Log
from rookbend.net.buffered_socket import Outbox
from rookbend.net.client_listener import FrontServer
from rookbend.net.component import Component, ComponentContext
from rookbend.net.listeners import Listeners
from rookbend.net.peers import PeerSocket
from rookbend.net.pool import Pool
from rookbend.net.watch import Watch
from rookbend.process_metrics import OWN_DESCRIPTORS, ProcessMetrics
from rookbend.protocol.coordinator_stream import Translator, split_address
from rookbend.reload import Reload, coordinator_address
from rookbend.routing import Router
from rookbend.settings import Settings

CLIENT_SHARE = 3  # clients may hold one descriptor in so many
LEAST_CONNECTIONS = 16
UNSENT_SHARE = 4  # bytes not yet taken by clients may fill one byte of memory in so many

SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1


class Phase(Enum):
    STARTING = "starting"  # reading the membership, opening its sockets
    READY = "ready"  # taking requests
    DRAINING = "draining"  # told to stop: settling what it has taken
    STOPPED = "stopped"  # everything settled, nothing taken any more


class ListenError(Exception):
    """The address to serve on, or the peers' one, can't be had."""


class Service:
    def __init__(
        self,
        config: Config,
        operators: Settings | None = None,
        unix: Callable[[], float] = time.time,
        read_config: Callable[[Config], tuple[Config, Settings]] | None = None,
    ):
        self.config, self.operators = config, operators or Settings()
        self.reload = Reload(self, read_config or (lambda before: (config, self.operators)))
        self.phase = Phase.STARTING
        self.counters = Counters()
        self.outbox = Outbox()
        settings = config.router_settings()
        self.clock = Clock(trio.lowlevel.current_clock().current_time, unix)
        self.log = Log(self.clock.now, **msgspec.structs.asdict(self.operators.log))
        router = Router(settings, int(config.seed, 16))
        self.engine = Engine(settings, router, self.clock, self.counters, self.log)
        self.watch = Watch(
            self.engine,
            Translator(config.settings.zones, config.settings.kinds),
            coordinator_address(config),
            int(config.seed, 16),
        )
        platform = PlatformFront(self.engine, self.is_ready, self.is_closed)
        limits = config.limits
        self.front = FrontServer(
            platform,
            limits.sockets // CLIENT_SHARE,
            (limits.memory_mb << 20) // UNSENT_SHARE,
            self.counters,
            self.outbox,
        )
        self.address: tuple[str, int] | None = None  # where clients connect, once it listens
        self.ready = trio.Event()
        self.pool: Pool | None = None
        self.peers: PeerSocket | None = None
        self.vitals = ProcessMetrics(self.engine, self.front, limits, self.operators.headroom.lag_us)
        self.listeners = Listeners()
        self.site = ComponentContext(
            config,
            self.operators,
            self.engine,
            self.watch,
            self.clock,
            self.counters,
            self.log,
            self.outbox,
            self.front.most_clients,
            self.standing,
            self.vitals.sample,
            self.listeners,
            gauges=[self.vitals.gauges],
        )
        self.parts: list[Component] = components.optional(self.site)
        built = self.site.built
        self.dns, self.health, self.admin = built.get("dns"), built.get("health"), built.get("admin")
        self.balancer: list[Component] = built.get("balancer", [])
        self.operations, self.upgrade = built.get("operations"), built.get("upgrade")
        if self.upgrade is not None:
            self.upgrade.changed = self._share
        self.drain = Drain(self)
        self._stopping = trio.Event()

    def is_ready(self) -> bool:
        """Ready means that requests can be served: not before one member is known to be in service."""
        return self.phase is Phase.READY and self.engine.has_member_in_service() and self.site.admits()

    def standing(self) -> str:
        """The phase as balancers in front are told it: not ready while a part holds it back."""
        held = self.phase is Phase.READY and not self.site.admits()
        return (Phase.STARTING if held else self.phase).value

    def is_closed(self) -> bool:
        """Whether even the latecomers' time after SIGTERM is over."""
        return self.drain.latecomers_over()

    def enter(self, phase: Phase) -> None:
        self.phase = phase
        self.log(phase.value, director=self.config.name)

    def tell_counters(self) -> None:
        self.log("counters", **self.counters.fields())

    def stop(self) -> None:
        """Begins the drain. A second call changes nothing."""
        self._stopping.set()

    async def run(self, signals: AsyncIterator[int] | None = None) -> None:
        """Serves until `stop` is called, or a signal says so, and everything taken is settled."""
        config, engine = self.config, self.engine
        if self.upgrade is not None:
            await self.upgrade.inherit()
        listener = self._open_sockets()
        engine.peers = self.peers
        async with trio.open_nursery() as nursery:
            pool = self.pool = self.vitals.pool = Pool(
                engine,
                self.counters,
                nursery,
                self.outbox,
                config.settings.limits.max_streams,
                config.settings.limits.idle_close_us,
                self._most_connections(),
            )
            engine.backend = pool
            self._share()
            self.watch.take_known(config.known)
            if signals is not None:
                nursery.start_soon(self._signals, signals)
            if self.peers is not None:
                nursery.start_soon(self.peers.run)
            vitals, front = self.vitals, self.front
            for task in (self.outbox.run, vitals.run_timers, vitals.measure_lag, front.watch_clients, self.watch.run):
                nursery.start_soon(task)
            nursery.start_soon(pool.close_idle_connections)
            accepting = trio.CancelScope()
            nursery.start_soon(self.front.serve, listener, accepting)
            for part in self.parts:
                part.start(nursery)
            # What is built by now stays: a collection of it would stall every request for nothing.
            gc.freeze()
            self.enter(Phase.READY)
            self.ready.set()
            await self._stopping.wait()
            self.enter(Phase.DRAINING)
            await self.drain.run(accepting)
            for part in self.parts:
                part.leave()
            nursery.cancel_scope.cancel()
        self.enter(Phase.STOPPED)
        self.tell_counters()

    def _most_connections(self, processes: int = 1) -> int:
        """To members: what clients and the other parts leave of the descriptors, each process its part of it.
        Clients hold a third at most with all processes of this director together."""
        sockets = self.config.limits.sockets
        kept = OWN_DESCRIPTORS + sum(part.descriptors for part in self.parts)
        return max(LEAST_CONNECTIONS, (sockets - sockets // CLIENT_SHARE) // processes - kept)

    def _share(self) -> None:
        """Another process of this director has come, serves, or has gone: for the limits and the rules all
        are one, and each keeps to its part."""
        if self.upgrade is None or self.pool is None:
            return
        handover = self.upgrade.handover
        self.pool.most_connections = self._most_connections(handover.processes)
        self.engine.set_active_processes(handover.active_processes)
        self.front.most_unsent = (self.config.limits.memory_mb << 20) // UNSENT_SHARE // handover.processes
        if self.peers is not None:
            self.peers.listen(not handover.taken_over)

    def _open_sockets(self) -> socket:
        config, listeners = self.config, self.listeners
        try:
            listener = listeners.tcp(split_address(config.listen))
            if config.peer_listen:
                self.peers = PeerSocket(
                    self.engine,
                    listeners.udp(split_address(config.peer_listen)),
                    [split_address(p) for p in config.peers],
                    split_address(config.peers_all) if config.peers_all else None,
                )
            for part in self.parts:
                part.open(listeners)
        except OSError as error:
            raise ListenError(f"cannot listen: {error}") from None
        listeners.close_unused()
        self.address = listener.getsockname()[:2]
        return listener

    async def _signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            if number == signal.SIGUSR1:
                self.tell_counters()
            elif number == signal.SIGHUP:
                self.reload()
            else:
                self.stop()


async def serve(
    config: Config,
    operators: Settings,
    read_config: Callable[[Config], tuple[Config, Settings]],
    receiving: Callable[[], None] = lambda: None,
) -> None:
    """Runs a director until SIGTERM or SIGINT. SIGHUP reads configuration and settings again, SIGUSR1 prints
    the counters. `receiving` is called once signals are received here."""
    with trio.open_signal_receiver(*SIGNALS) as signals:
        receiving()
        await Service(config, operators, read_config=read_config).run(signals)
