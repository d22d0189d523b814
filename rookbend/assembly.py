"""Builds the objects that every director has from its configuration."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from socket import socket

import trio

from rookbend.config import Config
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.net.client_listener import ClientListener
from rookbend.net.component import Component, ComponentContext
from rookbend.net.peers import PeerSocket
from rookbend.net.pool import Pool
from rookbend.net.watch import Watch
from rookbend.net.write_scheduler import WriteScheduler
from rookbend.process_metrics import ProcessMetrics
from rookbend.protocol.coordinator_stream import Translator, split_address
from rookbend.reload import coordinator_address
from rookbend.resource_budget import ResourceBudget
from rookbend.routing import Router


class ListenError(Exception):
    """An address can't be bound: the one for clients, the one for peers, or one of a component."""


@dataclass(frozen=True, slots=True)
class OpenSockets:
    """The listener for clients, and the socket to the peers; None without a peer address in the configuration."""

    listener: socket
    peers: PeerSocket | None


def build_engine(config: Config, clock: Clock, counters: Counters, log: Callable[..., None]) -> Engine:
    """Builds the engine with its router, whose random choices are seeded by the configuration."""
    settings = config.router_settings()
    router = Router(settings, int(config.seed, 16))
    return Engine(settings, router, clock, counters, log)


def build_watch(
    config: Config,
    engine: Engine,
    write_scheduler: WriteScheduler,
    client_listener: ClientListener,
    metrics: ProcessMetrics,
) -> Watch:
    """Builds the watch, which follows the coordinator's event stream, and connects what takes note of loop pauses."""
    translator = Translator(config.settings.zones, config.settings.kinds)
    watch = Watch(engine, translator, coordinator_address(config), int(config.seed, 16))
    check = watch.loop_pause.check
    write_scheduler.before_send = client_listener.front.before_request = metrics.before_timers = check
    watch.loop_pause.on_pause += [
        client_listener.loop_paused,
        metrics.loop_paused,
        lambda pause_us: write_scheduler.wait_for_reads(),
        lambda pause_us: engine.backend.rewrite_unsent(),
    ]
    return watch


def build_pool(
    config: Config,
    engine: Engine,
    counters: Counters,
    nursery: trio.Nursery,
    write_scheduler: WriteScheduler,
    budget: ResourceBudget,
) -> Pool:
    """Builds the pool of connections to members; its tasks run in `nursery`."""
    limits = config.settings.limits
    max_connections = budget.max_member_connections()
    return Pool(engine, counters, nursery, write_scheduler, limits.max_streams, limits.idle_close_us, max_connections)


def open_sockets(context: ComponentContext, components: Sequence[Component]) -> OpenSockets:
    """Binds all addresses, including those of the components. Raises ListenError."""
    try:
        listener = context.listeners.tcp(split_address(context.config.listen))
        peers = _open_peers(context) if context.config.peer_listen else None
        for component in components:
            component.open(context.listeners)
    except OSError as error:
        raise ListenError(f"cannot listen: {error}") from None
    context.listeners.close_unused()
    return OpenSockets(listener, peers)


def _open_peers(context: ComponentContext) -> PeerSocket:
    config = context.config
    return PeerSocket(
        context.engine,
        context.containment,
        context.listeners.udp(split_address(config.peer_listen)),
        [split_address(peer) for peer in config.peers],
        split_address(config.peers_all) if config.peers_all else None,
    )
