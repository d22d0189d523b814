"""The parts that the settings ask for, one function each. What is off is not imported.

A new subsystem is one entry of `OPTIONAL`: whether the settings ask for it, and the function that
builds it from the director's `Site`. What later entries need of it, it leaves in `site.built`.
"""

from __future__ import annotations

import trio

from rookbend.net.component import Part, Site
from rookbend.settings import Check, Settings


def _dns(site: Site) -> list[Part]:
    from rookbend.fronts.dns import DnsFront
    from rookbend.net.dns import DnsServer, ResolverClient

    dns, seed = site.operators.dns, int(site.config.seed, 16)
    resolver = ResolverClient(dns.resolver, site.clock, seed)
    front = DnsFront(site.engine, resolver, dns.zone, dns.box_name, dns.budget_us, seed, names=_names(site))
    site.built["dns"] = server = DnsServer(front, site.clock, dns.listen, site.outbox)
    return [server]


def _names(site: Site):
    """Where there is a disk: what keeps the names that the DNS front gives out for writes."""
    state = site.built.get("state")
    if state is None:
        return None
    from rookbend.recovery.issued_names import KIND, IssuedNames

    names = IssuedNames(
        site.clock.now(),
        lambda rid, value, by_us, done: state.put_by(KIND, rid, value, by_us, done),
        lambda rid: state.drop(KIND, rid),
        {rid: (row.value, row.at_us) for rid, row in state.ledger.all(KIND).items()},
    )
    site.gauges.append(lambda: {"dns_names_not_kept": names.not_durable, "dns_names_unreadable": names.unreadable})
    return names


def _balancer(site: Site) -> list[Part]:
    from rookbend.health.own_status import Standing, standing
    from rookbend.health.spare_capacity import Headroom
    from rookbend.net.health import GrpcServer, Measuring, agent_server, http_server

    s = site.operators
    headroom = Headroom(s.headroom.step, s.headroom.rise_us, s.headroom.least)

    def stand() -> Standing:
        return standing(site.phase(), headroom, site.most_clients)

    measuring = Measuring(headroom, site.sample, site.clock)
    parts: list[Part] = [measuring]
    for where, build in ((s.agent_server, agent_server), (s.http_server, http_server), (s.grpc_server, GrpcServer)):
        if where is not None:
            parts.append(build(where.listen, site.clock, site.outbox, stand))
    if s.grpc_server is not None:
        measuring.on_change.append(parts[-1].changed)
    site.gauges.append(lambda: {"headroom_percent": headroom.weight})
    site.built["balancer"] = parts[1:]
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
            share = START_AT  # the rules know no cold members, the operators do
        return Ramp(max(1, round(share * 100)), max(takes_us, h.slow_start_us))

    def check_policy(c: Check) -> CheckPolicy:
        return CheckPolicy(
            c.name, c.type == "agent", c.tier, c.interval_us, c.fast_us, c.down_us, c.rise, c.fall, c.stale_us
        )

    return HealthPolicy(
        tuple(map(check_policy, settings.checks)),
        h.max_out,
        h.panic_hold_us,
        h.hold_us,
        h.hold_most_us,
        h.flap_window_us,
        h.passive_fall,
        h.passive_hold_us,
        h.weigh,
        (
            ("cache", ramp(rules.cold_capacity_ratio, rules.warm_up_us)),
            ("parent", ramp(rules.parent_cold_capacity_ratio, rules.parent_warm_up_us)),
        ),
    )


class HealthPart(Part):
    """Members' health: the board, its desk, and the checks that the settings name."""

    def __init__(self, site: Site):
        from rookbend.health.registry import Board
        from rookbend.health.service import Desk, role_namer
        from rookbend.net.checks import WATCH, CheckDriver
        from rookbend.net.scheduling import Runner
        from rookbend.scheduling.scheduler import Plan, Room

        self.clock, self.rules = site.clock, site.engine.settings
        engine, b = site.engine, site.operators.background
        board = Board(policy_of(site.operators, self.rules), role_namer(self.rules))
        self.desk = Desk(engine, board, site.log)
        self.descriptors = b.descriptors + (b.watches if self._watches(site.operators) else 0)
        plan = Plan(
            b.rate, Room(b.running, b.descriptors), {WATCH: Room(b.watches, b.watches)}, int(site.config.seed, 16)
        )
        self.runner = Runner(plan, self.clock)
        self.driver = CheckDriver(self.desk, self.runner, self.clock, site.operators.checks)
        self._due_earlier = trio.Event()
        self.desk.on_due = lambda due: self._due_earlier.set()
        site.watch.membership_changed = self.desk.membership_changed
        site.gauges.append(lambda: {"background_jobs": len(plan.jobs), "background_running": plan.running})
        if site.operators.health.passive_fall:
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
        self.desk.feed(PolicyChanged(policy_of(settings, self.rules)))
        self.driver.replace(settings.checks)


def _health(site: Site) -> list[Part]:
    site.built["health"] = health = HealthPart(site)
    return [health]


def _recovery(site: Site) -> list[Part]:
    from rookbend.net.recovery import RecoveryPart

    site.built["recovery"] = recovery = RecoveryPart(site)
    return [recovery]


def _ownership(site: Site) -> list[Part]:
    from rookbend.net.leases import LeasePart

    site.built["ownership"] = ownership = LeasePart(site)
    return [ownership]


def _admin(site: Site) -> list[Part]:
    from rookbend.health.model import Order, Ordered
    from rookbend.net.http_server import SmallServer, serve_http
    from rookbend.protocol.admin import AdminDesk

    admin, health, recovery = site.operators.admin, site.built.get("health"), site.built.get("recovery")
    ownership = site.built.get("ownership")
    tables, order, command, own = {}, None, None, None
    if ownership is not None:
        tables["/owners"], own = ownership.describe, ownership
    if recovery is not None:
        tables["/fleet"], tables["/recovery"], command = recovery.fleet, recovery.explain, recovery.command
    if health is not None:

        async def order(name: str, order: Order, by: str, fleet: bool) -> tuple[int, str]:
            if fleet:
                if ownership is None:
                    return 409, "[ownership] is off: no orders for the whole fleet"
                fault = await ownership.order(name, order.value, by)
                return (503, f"the order on {name}: {fault}") if fault else (200, "")
            server = health.desk.find(name)
            if server is None:
                return 404, f"no member {name}"
            # Safe first: an order that was said to stand is not taken back by a power loss.
            if recovery is not None and (refused := await recovery.order(name, order.value, by)):
                return 503, f"the order on {name} is {refused}"
            health.desk.feed(Ordered(server, order, by))
            return 200, ""

        tables["/members"] = lambda: {"director": site.config.name, "members": health.desk.table()}
        tables["/background"] = lambda: {
            "jobs": len(health.runner.plan.jobs),
            "running": health.runner.plan.running,
            "started": health.runner.plan.started,
            "overtaken": health.desk.board.overtaken,
        }
    metrics = None
    if admin.metrics:
        from rookbend.net.metrics import Figures

        def gauges() -> dict[str, float]:
            return {name: value for part in site.gauges for name, value in part().items()}

        metrics = Figures(site.counters, health.desk.table if health else None, gauges).text
    desk = AdminDesk(tables, order, metrics, command, own)
    site.built["admin"] = server = SmallServer(
        admin.listen, site.clock, site.outbox, lambda channel: serve_http(channel, desk.answer)
    )
    return [server]


def _state(site: Site) -> list[Part]:
    from rookbend.net.state import StatePart

    site.built["state"] = state = StatePart(site)
    return [state]


def _daily(site: Site) -> list[Part]:
    from rookbend.net.operations import DailyPart

    site.built["daily"] = daily = DailyPart(site)
    if daily.upgrade is not None:
        site.built["upgrade"] = daily.upgrade
    return [daily]


# By what the operators' settings ask for. The door is the platform's: its address is in the configuration.
OPTIONAL = (
    (lambda s: s.state is not None, _state),  # first: what others keep in it they ask for at once
    (lambda s: s.dns is not None, _dns),
    (lambda s: s.health is not None, _health),
    (lambda s: s.recovery is not None, _recovery),  # after health, whose place before the engine it takes
    (lambda s: s.ownership is not None, _ownership),  # on recovery's exchange
    (lambda s: s.agent_server or s.http_server or s.grpc_server, _balancer),
    (lambda s: s.admin is not None, _admin),
)


def optional(site: Site) -> list[Part]:
    found = [part for wanted, build in OPTIONAL if wanted(site.operators) for part in build(site)]
    return found + (_daily(site) if site.config.operator else [])
