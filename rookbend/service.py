"""The lifecycle of a director: one object, whose phases are named states.

What every director has is built here; what the operators' settings ask for comes from `parts`, behind the one
interface of `net/part.py`.
"""

from __future__ import annotations

import gc
import os
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
import trio

from rookbend import parts
from rookbend.config import Config, ConfigError
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.fronts.platform import PlatformFront
from rookbend.logic import Router
from rookbend.logs import Log
from rookbend.net.accept import listen
from rookbend.net.channel import Outbox
from rookbend.net.front import FrontServer
from rookbend.net.part import Part, Site
from rookbend.net.peers import PeerSocket
from rookbend.net.pool import Pool
from rookbend.net.watch import Watch
from rookbend.protocol.events import Translator, split_address
from rookbend.settings import Fault, Settings

if TYPE_CHECKING:
    from rookbend.health.headroom import Sample

LATECOMERS_US = 700_000     # after SIGTERM new requests still arrive for this long, and are served
SETTLED_US = 3_500_000      # and by then everything has its answer: SIGKILL may follow 0.2 s later
TIMER_STEP_US = 2_000       # timers within one step run together
LAG_BEAT_US = 50_000        # the loop's lateness is measured so often
CLIENT_SHARE = 3            # clients may hold one descriptor in so many
OWN_DESCRIPTORS = 40        # listeners, the coordinator, the loop's own
LEAST_CONNECTIONS = 16
UNSENT_SHARE = 4            # bytes not yet taken by clients may fill one byte of memory in so many
PAGE = os.sysconf("SC_PAGE_SIZE")


SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1
# What a reload does not change: it is built into what runs, or of this start alone (`known`, `seed`).
AT_START = "name", "listen", "settings", "limits", "peer_listen", "peers", "peers_all"
# Of the operators' settings, what it does change.
RELOADED = "health", "checks"


class Phase(Enum):
    STARTING = "starting"       # reading the roster, opening its sockets
    READY = "ready"             # taking requests
    DRAINING = "draining"       # told to stop: settling what it has taken
    STOPPED = "stopped"         # everything settled, nothing taken any more


class CannotListen(Exception):
    """The address to serve on, or the peers' one, can't be had."""


def coordinator_address(config: Config) -> tuple[str, int] | None:
    return split_address(config.coordinator) if config.coordinator else None


class Service:
    def __init__(self, config: Config, operators: Settings | None = None,
                 unix: Callable[[], float] = time.time,
                 read_config: Callable[[], tuple[Config, Settings]] | None = None):
        self.config, self.operators = config, operators or Settings()
        self.read_config = read_config or (lambda: (config, self.operators))
        self.phase = Phase.STARTING
        self.counters = Counters()
        self.outbox = Outbox()
        settings = config.router_settings()
        self.clock = Clock(trio.lowlevel.current_clock().current_time, unix)
        self.log = Log(self.clock.now, **msgspec.structs.asdict(self.operators.log))
        router = Router(settings, int(config.seed, 16))
        self.engine = Engine(settings, router, self.clock, self.counters, self.log)
        self.watch = Watch(
            self.engine, Translator(config.settings.zones, config.settings.kinds),
            coordinator_address(config), int(config.seed, 16))
        platform = PlatformFront(self.engine, self.is_ready, self.is_closed)
        limits = config.limits
        self.front = FrontServer(
            platform, limits.sockets // CLIENT_SHARE, (limits.memory_mb << 20) // UNSENT_SHARE, self.counters,
            self.outbox)
        self.drain_began_us = 0
        self.address: tuple[str, int] | None = None     # where clients connect, once it listens
        self.ready = trio.Event()
        self.pool: Pool | None = None
        self.site = Site(
            config, self.operators, self.engine, self.watch, self.clock, self.counters, self.log, self.outbox,
            self.front.most_clients, self.standing, self.sample, gauges=[self.gauges])
        self.parts: list[Part] = parts.optional(self.site)
        built = self.site.built
        self.dns, self.health, self.admin = built.get("dns"), built.get("health"), built.get("admin")
        self.balancer: list[Part] = built.get("balancer", [])
        self._stopping = trio.Event()
        self._timer_due_earlier = trio.Event()

    def is_ready(self) -> bool:
        return self.phase is Phase.READY and self.site.admits()

    def standing(self) -> str:
        """The phase as balancers in front are told it: not ready while a part holds it back."""
        held = self.phase is Phase.READY and not self.site.admits()
        return (Phase.STARTING if held else self.phase).value

    def is_closed(self) -> bool:
        """Whether even the latecomers' time after SIGTERM is over."""
        return bool(self.drain_began_us) and self.clock.now() > self.drain_began_us + LATECOMERS_US

    def enter(self, phase: Phase) -> None:
        self.phase = phase
        self.log(phase.value, director=self.config.name)

    def tell_counters(self) -> None:
        self.log("counters", **self.counters.fields())

    def stop(self) -> None:
        """Begins the drain. A second call changes nothing."""
        self._stopping.set()

    def reload(self) -> None:
        """Reads configuration and settings again: the watch moves to the coordinator they name, the parts
        hear of what is theirs. Everything taken goes on, and so do the numbers of the events. Files that
        can't be used change nothing."""
        try:
            new, operators = self.read_config()
        except (ConfigError, Fault) as error:
            return self.log("reload_failed", "error", reason=str(error))
        old, self.config = self.config, msgspec.structs.replace(self.config, coordinator=new.coordinator)
        self.counters.reloads += 1
        if new.coordinator != old.coordinator:
            self.watch.move(coordinator_address(new))
        later = [name for name in AT_START if getattr(new, name) != getattr(old, name)]
        later += [f"[{name.replace('_', '-')}]" for name in Settings.__struct_fields__
                  if getattr(operators, name) != getattr(self.operators, name)
                  and (name not in RELOADED or self.health is None or operators.health is None)]
        for part in self.parts:
            part.reload(operators)
        if self.health is not None and operators.health is not None:
            kept = {name: getattr(operators, name) for name in RELOADED}
            self.operators = msgspec.structs.replace(self.operators, **kept)
        self.log("reloaded", coordinator=new.coordinator or "none", restart_for=",".join(later) or "nothing")

    async def run(self, signals: AsyncIterator[int] | None = None) -> None:
        """Serves until `stop` is called, or a signal says so, and everything taken is settled."""
        config, engine = self.config, self.engine
        listener, peers = self._open_sockets()
        engine.peers = peers
        async with trio.open_nursery() as nursery:
            pool = self.pool = Pool(
                engine, self.counters, nursery, self.outbox, config.settings.limits.max_streams,
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
            for part in self.parts:
                part.start(nursery)
            # What is built by now stays: a collection of it would stall every request for nothing.
            gc.freeze()
            self.enter(Phase.READY)
            self.ready.set()
            await self._stopping.wait()
            await self._drain(accepting)
            nursery.cancel_scope.cancel()
        self.enter(Phase.STOPPED)
        self.tell_counters()

    def _most_connections(self) -> int:
        """To members: what clients and the other parts leave of the descriptors."""
        sockets = self.config.limits.sockets
        kept = sockets // CLIENT_SHARE + OWN_DESCRIPTORS + sum(part.descriptors for part in self.parts)
        return max(LEAST_CONNECTIONS, sockets - kept)

    def _open_sockets(self) -> tuple[socket.socket, PeerSocket | None]:
        config, peers = self.config, None
        try:
            listener = listen(split_address(config.listen))
            if config.peer_listen:
                peers = PeerSocket(
                    self.engine, split_address(config.peer_listen), [split_address(p) for p in config.peers],
                    split_address(config.peers_all) if config.peers_all else None)
            for part in self.parts:
                part.open()
        except OSError as error:
            raise CannotListen(f"cannot listen: {error}") from None
        self.address = listener.getsockname()[:2]
        return listener, peers

    async def _drain(self, accepting: trio.CancelScope) -> None:
        self.enter(Phase.DRAINING)
        now = self.drain_began_us = self.clock.now()
        self.front.say_closing()
        settled = now + SETTLED_US
        self.engine.settle_by(settled)
        for part in self.parts:
            part.drain(settled)
        await trio.sleep_until(self.clock.monotonic_at(now + LATECOMERS_US))
        accepting.cancel()
        for part in self.parts:
            part.stop_taking()
        while self._is_busy() and self.clock.now() < settled + TIMER_STEP_US:
            await trio.sleep(0.01)

    def _is_busy(self) -> bool:
        return bool(self.engine.open_requests or self.front.unsent) or any(part.busy for part in self.parts)

    async def _signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            if number == signal.SIGUSR1:
                self.tell_counters()
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

    # What is measured of ourselves

    def sample(self) -> Sample:
        from rookbend.health.headroom import Sample

        limits, engine = self.config.limits, self.engine
        lag_us = self.operators.headroom.lag_us
        members = [e for e in engine.entries.values() if self._is_ours(e)]
        with open("/proc/self/statm", "rb") as f:
            resident = int(f.read().split()[1]) * PAGE
        return Sample(
            engine.lag_us / lag_us, engine.open_requests / engine.settings.max_open,
            (self.pool.connections + len(self.front.open) + OWN_DESCRIPTORS) / limits.sockets,
            resident / (limits.memory_mb << 20), len(members),
            sum(engine.serving(e.member.server) for e in members))

    def _is_ours(self, entry) -> bool:
        s, member = self.engine.settings, entry.member
        return member.zone == s.zone and member.kind not in (s.parent_kind, s.origin_kind)

    def gauges(self) -> dict[str, float]:
        """Figures that go up and down, for the operators' listener."""
        return {"loop_lag_seconds": self.engine.lag_us / 1e6, "open_requests": self.engine.open_requests,
                "member_connections": self.pool.connections if self.pool else 0,
                "clients_open": len(self.front.open)}


async def serve(config: Config, operators: Settings,
                read_config: Callable[[], tuple[Config, Settings]]) -> None:
    """Runs a director until SIGTERM or SIGINT. SIGHUP reads configuration and settings again, SIGUSR1 prints
    the counters."""
    service = Service(config, operators, read_config=read_config)
    with trio.open_signal_receiver(*SIGNALS) as signals:
        await service.run(signals)
