"""The lifecycle of a director: one object, whose phases are named states."""

from __future__ import annotations

import gc
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from enum import Enum

import msgspec
import trio

from rookbend.config import Config, ConfigError, DnsConfig, Fronts
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.fronts.dns import DnsFront
from rookbend.fronts.platform import PlatformFront
from rookbend.logic import Router
from rookbend.net.accept import listen
from rookbend.net.channel import Outbox
from rookbend.net.dns import TCP_CLIENTS, DnsServer, ResolverClient
from rookbend.net.front import FrontServer
from rookbend.net.health import CLIENTS as HEALTH_CLIENTS
from rookbend.net.health import HealthServer
from rookbend.net.peers import PeerSocket
from rookbend.net.pool import Pool
from rookbend.net.watch import Watch
from rookbend.protocol.events import Translator, split_address

LATECOMERS_US = 700_000     # after SIGTERM new requests still arrive for this long, and are served
SETTLED_US = 3_500_000      # and by then everything has its answer: SIGKILL may follow 0.2 s later
TIMER_STEP_US = 2_000       # timers within one step run together
LAG_BEAT_US = 50_000        # the loop's lateness is measured so often
CLIENT_SHARE = 3            # clients may hold one descriptor in so many
OWN_DESCRIPTORS = 40        # listeners, the coordinator, the loop's own
DNS_DESCRIPTORS = TCP_CLIENTS + 32      # its clients, and lookups at the resolver
LEAST_CONNECTIONS = 16
UNSENT_SHARE = 4            # bytes not yet taken by clients may fill one byte of memory in so many


SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1
# What a reload does not change: it is built into what runs, or of this start alone (`known`, `seed`).
AT_START = "name", "listen", "settings", "limits", "peer_listen", "peers", "peers_all"


class Phase(Enum):
    STARTING = "starting"       # reading the roster, opening its sockets
    READY = "ready"             # taking requests
    DRAINING = "draining"       # told to stop: settling what it has taken
    STOPPED = "stopped"         # everything settled, nothing taken any more


class CannotListen(Exception):
    """The address to serve on, or the peers' one, can't be had."""


def coordinator_address(config: Config) -> tuple[str, int] | None:
    return split_address(config.coordinator) if config.coordinator else None


def log(text: str) -> None:
    print(f"rookbend: {text}", file=sys.stderr, flush=True)


class Service:
    def __init__(self, config: Config, fronts: Fronts | None = None,
                 unix: Callable[[], float] = time.time, read_config: Callable[[], Config] | None = None):
        self.config, self.fronts = config, fronts or Fronts()
        self.read_config = read_config or (lambda: config)
        self.phase = Phase.STARTING
        self.counters = Counters()
        self.outbox = Outbox()
        settings = config.router_settings()
        self.clock = Clock(trio.lowlevel.current_clock().current_time, unix)
        self.engine = Engine(settings, Router(settings, int(config.seed, 16)), self.clock, self.counters, log)
        self.watch = Watch(
            self.engine, Translator(config.settings.zones, config.settings.kinds),
            coordinator_address(config))
        platform = PlatformFront(self.engine, lambda: self.phase is Phase.READY, self.is_closed)
        limits = config.limits
        self.front = FrontServer(
            platform, limits.sockets // CLIENT_SHARE, (limits.memory_mb << 20) // UNSENT_SHARE, self.counters,
            self.outbox)
        self.drain_began_us = 0
        self.address: tuple[str, int] | None = None     # where clients connect, once it listens
        self.ready = trio.Event()
        self.dns: DnsServer | None = None
        self.health: list[HealthServer] = []
        self._stopping = trio.Event()
        self._timer_due_earlier = trio.Event()

    def is_closed(self) -> bool:
        """Whether even the latecomers' time after SIGTERM is over."""
        return bool(self.drain_began_us) and self.clock.now() > self.drain_began_us + LATECOMERS_US

    def enter(self, phase: Phase) -> None:
        self.phase = phase
        log(f"{self.config.name} is {phase.value}")

    def stop(self) -> None:
        """Begins the drain. A second call changes nothing."""
        self._stopping.set()

    def reload(self) -> None:
        """Reads the configuration again and moves the watch to the coordinator it names. Everything taken
        goes on, and so do the numbers of the events. A file that can't be used changes nothing."""
        try:
            new = self.read_config()
        except ConfigError as error:
            return log(f"configuration not taken: {error}; the old one holds")
        old, self.config = self.config, msgspec.structs.replace(self.config, coordinator=new.coordinator)
        self.counters.reloads += 1
        if new.coordinator != old.coordinator:
            self.watch.move(coordinator_address(new))
        later = [name for name in AT_START if getattr(new, name) != getattr(old, name)]
        log(f"configuration read again: coordinator {new.coordinator or 'none'}"
            + (f"; only a restart changes {', '.join(later)}" if later else ""))

    async def run(self, signals: AsyncIterator[int] | None = None) -> None:
        """Serves until `stop` is called, or a signal says so, and everything taken is settled."""
        config, engine = self.config, self.engine
        listener, peers = self._open_sockets()
        engine.peers = peers
        async with trio.open_nursery() as nursery:
            pool = Pool(engine, self.counters, nursery, self.outbox, config.settings.limits.max_streams,
                        config.settings.limits.idle_close_us, self._most_connections())
            engine.backend = pool
            engine.on_timer_change = lambda due: self._timer_due_earlier.set()
            self.watch.take_known(config.known)
            if signals is not None:
                nursery.start_soon(self._signals, signals)
            if peers is not None:
                nursery.start_soon(peers.run)
            nursery.start_soon(self.outbox.run)
            nursery.start_soon(self._timers)
            nursery.start_soon(self._measure_lag)
            nursery.start_soon(pool.close_idle_links)
            nursery.start_soon(self.front.watch_clients)
            nursery.start_soon(self.watch.run)
            accepting = trio.CancelScope()
            nursery.start_soon(self.front.serve, listener, accepting)
            if self.dns is not None:
                self.dns.front.resolver.nursery = nursery
                nursery.start_soon(self.dns.serve_udp)
                nursery.start_soon(self.dns.serve_tcp, trio.CancelScope())
            for server in self.health:
                nursery.start_soon(server.serve, trio.CancelScope())
            # What is built by now stays: a collection of it would stall every request for nothing.
            gc.freeze()
            self.enter(Phase.READY)
            self.ready.set()
            await self._stopping.wait()
            await self._drain(accepting)
            nursery.cancel_scope.cancel()
        self.enter(Phase.STOPPED)
        log(f"counters: {self.counters.line()}")

    def _most_connections(self) -> int:
        """To members: what clients and the other fronts leave of the descriptors."""
        sockets = self.config.limits.sockets
        kept = sockets // CLIENT_SHARE + OWN_DESCRIPTORS
        kept += DNS_DESCRIPTORS * bool(self.dns) + HEALTH_CLIENTS * len(self.health)
        return max(LEAST_CONNECTIONS, sockets - kept)

    def _open_sockets(self) -> tuple[socket.socket, PeerSocket | None]:
        config, fronts, peers = self.config, self.fronts, None
        try:
            listener = listen(split_address(config.listen))
            if config.peer_listen:
                peers = PeerSocket(
                    self.engine, split_address(config.peer_listen), [split_address(p) for p in config.peers],
                    split_address(config.peers_all) if config.peers_all else None)
            if fronts.dns.listen:
                self.dns = self._open_dns(fronts.dns)
            for protocol, where in (("agent", fronts.agent_check), ("http", fronts.health)):
                if where.listen:
                    self.health.append(HealthServer(
                        protocol, lambda: self.phase.value, self.clock, split_address(where.listen),
                        self.outbox))
        except OSError as error:
            raise CannotListen(f"cannot listen: {error}") from None
        self.address = listener.getsockname()[:2]
        return listener, peers

    def _open_dns(self, dns: DnsConfig) -> DnsServer:
        seed = int(self.config.seed, 16)
        resolver = ResolverClient(split_address(dns.resolver), self.clock, seed)
        front = DnsFront(self.engine, resolver, dns.zone, dns.box_name, dns.budget_ms * 1000, seed)
        return DnsServer(front, self.clock, split_address(dns.listen), self.outbox)

    async def _drain(self, accepting: trio.CancelScope) -> None:
        self.enter(Phase.DRAINING)
        now = self.drain_began_us = self.clock.now()
        self.front.say_closing()
        settled = now + SETTLED_US
        self.engine.settle_by(settled)
        await trio.sleep_until(self.clock.monotonic_at(now + LATECOMERS_US))
        accepting.cancel()
        if self.dns is not None:
            self.dns.front.closing = True
        while (self.engine.open_requests or self.front.unsent) and self.clock.now() < settled + TIMER_STEP_US:
            await trio.sleep(0.01)

    async def _signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            if number == signal.SIGUSR1:
                log(f"counters: {self.counters.line()}")
            elif number == signal.SIGHUP:
                self.reload()
            else:
                self.stop()

    async def _timers(self) -> None:
        clock, engine = self.clock, self.engine
        while True:
            due = engine.run_due()
            self._timer_due_earlier = trio.Event()
            if due:
                # Guards the CPU: without a least step, each timer would cost a turn of the loop.
                await trio.sleep_until(clock.monotonic_at(clock.now() + TIMER_STEP_US))
                with trio.move_on_at(clock.monotonic_at(due)):
                    await self._timer_due_earlier.wait()
            else:
                await self._timer_due_earlier.wait()


    async def _measure_lag(self) -> None:
        """How late the loop runs. On a beat of its own: with no request open there is no timer to tell it,
        and a lag that nobody measured again would have everything refused for good."""
        while True:
            wake = self.clock.now() + LAG_BEAT_US
            await trio.sleep_until(self.clock.monotonic_at(wake))
            self.engine.lag_us = max(0, self.clock.now() - wake)


async def serve(config: Config, fronts: Fronts, read_config: Callable[[], Config]) -> None:
    """Runs a director until SIGTERM or SIGINT. SIGHUP reads the configuration again, SIGUSR1 prints the
    counters."""
    service = Service(config, fronts, read_config=read_config)
    with trio.open_signal_receiver(*SIGNALS) as signals:
        await service.run(signals)
