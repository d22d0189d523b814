"""The parts that the settings ask for, one function each. What is off is not imported.

A new subsystem is one entry of `OPTIONAL`: whether the settings ask for it, and the function that builds it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rookbend.net.part import Part
from rookbend.settings import Check, Settings

if TYPE_CHECKING:
    from rookbend.service import Service


def _dns(service: Service) -> list[Part]:
    from rookbend.fronts.dns import DnsFront
    from rookbend.net.dns import DnsServer, ResolverClient

    dns, seed = service.operators.dns, int(service.config.seed, 16)
    resolver = ResolverClient(dns.resolver, service.clock, seed)
    front = DnsFront(service.engine, resolver, dns.zone, dns.box_name, dns.budget_us, seed)
    service.dns = DnsServer(front, service.clock, dns.listen, service.outbox)
    return [service.dns]


def _balancer(service: Service) -> list[Part]:
    from rookbend.health.headroom import Headroom
    from rookbend.health.standing import Standing, standing
    from rookbend.net.health import GrpcServer, Measuring, agent_server, http_server

    s = service.operators
    headroom = Headroom(s.headroom.step, s.headroom.rise_us, s.headroom.least)
    most = service.front.most_clients

    def stand() -> Standing:
        return standing(service.phase.value, headroom, most)

    measuring = Measuring(headroom, service.sample, service.clock)
    parts: list[Part] = [measuring]
    for where, build in ((s.agent_server, agent_server), (s.http_server, http_server),
                         (s.grpc_server, GrpcServer)):
        if where is not None:
            parts.append(build(where.listen, service.clock, service.outbox, stand))
    if s.grpc_server is not None:
        measuring.on_change.append(parts[-1].changed)
    service.headroom, service.balancer = headroom, parts[1:]
    return parts


START_AT = 0.1


def policy_of(settings: Settings, rules) -> object:
    """The board's policy from the operators' settings. Slow start follows the rules for cold members: a
    tier's own share at first and time to warm up, unless the operators are more careful."""
    from rookbend.health.model import CheckPolicy, HealthPolicy, Ramp

    h = settings.health

    def ramp(share: float, takes_us: int) -> Ramp:
        if h.start_at >= 0:
            share = min(share, h.start_at)
        elif h.slow_start_us > 0 and share >= 1:
            share = START_AT        # the rules know no cold members, the operators do
        return Ramp(max(1, round(share * 100)), max(takes_us, h.slow_start_us))

    def check_policy(c: Check) -> CheckPolicy:
        return CheckPolicy(c.name, c.type == "agent", c.tier, c.interval_us, c.fast_us, c.down_us, c.rise,
                           c.fall, c.stale_us)

    return HealthPolicy(
        tuple(map(check_policy, settings.checks)), h.max_out, h.panic_hold_us, h.hold_us, h.hold_most_us,
        h.flap_window_us, h.passive_fall, h.passive_hold_us, h.weigh,
        (("cache", ramp(rules.cold_share, rules.warm_up_us)),
         ("parent", ramp(rules.parent_cold_share, rules.parent_warm_up_us))))


class HealthPart(Part):
    """Members' health: the board, its desk, and the checks that the settings name."""

    def __init__(self, service: Service):
        from rookbend.background.plan import Plan, Room
        from rookbend.health.board import Board
        from rookbend.health.desk import Desk, role_namer
        from rookbend.net.background import Runner
        from rookbend.net.checks import WATCH, CheckDriver

        self.service, self.clock = service, service.clock
        engine, b = service.engine, service.operators.background
        board = Board(policy_of(service.operators, engine.settings), role_namer(engine.settings))
        self.desk = Desk(engine, board, service.log)
        self.descriptors = b.descriptors + (b.watches if self._watches(service.operators) else 0)
        plan = Plan(b.rate, Room(b.running, b.descriptors), {WATCH: Room(b.watches, b.watches)},
                    int(service.config.seed, 16))
        self.runner = Runner(plan, self.clock)
        self.driver = CheckDriver(self.desk, self.runner, self.clock, service.operators.checks)
        self._due_earlier = trio.Event()
        self.desk.on_due = lambda due: self._due_earlier.set()
        service.watch.roster_changed = self.desk.roster_changed
        if service.operators.health.passive_fall:
            engine.on_attempt_end = self.desk.attempt_ended

    @staticmethod
    def _watches(settings: Settings) -> bool:
        return any(c.type == "grpc-watch" for c in settings.checks)

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._ticks)
        nursery.start_soon(self.runner.run)

    async def _ticks(self) -> None:
        while True:
            self.desk.tick()
            self._due_earlier = trio.Event()
            with trio.CancelScope() as scope:
                if self.desk.due_us:
                    scope.deadline = self.clock.monotonic_at(self.desk.due_us)
                await self._due_earlier.wait()

    def reload(self, settings: Settings) -> None:
        from rookbend.health.model import PolicyChanged
        if settings.health is None:
            return
        self.desk.feed(PolicyChanged(policy_of(settings, self.service.engine.settings)))
        self.driver.replace(settings.checks)


def _health(service: Service) -> list[Part]:
    service.health = HealthPart(service)
    return [service.health]


def _admin(service: Service) -> list[Part]:
    from rookbend.health.model import Order, Ordered
    from rookbend.net.small import SmallServer, serve_http
    from rookbend.protocol.admin import AdminDesk

    admin, health = service.operators.admin, service.health
    tables, order = {}, None
    if health is not None:
        def order(name: str, order: Order, by: str) -> bool:
            server = health.desk.find(name)
            if server is not None:
                health.desk.feed(Ordered(server, order, by))
            return server is not None

        tables["/members"] = lambda: {"director": service.config.name, "members": health.desk.table()}
        tables["/background"] = lambda: {
            "jobs": len(health.runner.plan.jobs), "running": health.runner.plan.running,
            "started": health.runner.plan.started, "overtaken": health.desk.board.overtaken}
    metrics = None
    if admin.metrics:
        from rookbend.net.metrics import Figures
        metrics = Figures(service.counters, health.desk.table if health else None, service.gauges).text
    desk = AdminDesk(tables, order, metrics)
    service.admin = SmallServer(admin.listen, service.clock, service.outbox,
                                lambda channel: serve_http(channel, desk.answer))
    return [service.admin]


OPTIONAL = (
    (lambda s: s.dns is not None, _dns),
    (lambda s: s.health is not None, _health),
    (lambda s: s.agent_server or s.http_server or s.grpc_server, _balancer),
    (lambda s: s.admin is not None, _admin),
)


def optional(service: Service) -> list[Part]:
    return [part for wanted, build in OPTIONAL if wanted(service.operators) for part in build(service)]
