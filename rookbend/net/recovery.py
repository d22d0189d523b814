"""The driver of recovery: feeds the machine (`recovery.coordinator`) what comes in, carries its actions out.

The machine's clock is monotonic from the Unix time of the start, so that a stepped system clock changes no age."""

from __future__ import annotations

import secrets

import trio

from rookbend.core.model import Attempt, AttemptResult, MembershipChange, Purge
from rookbend.interface import AttemptDetail, AttemptStatus
from rookbend.net.component import Component, ComponentContext
from rookbend.protocol.gossip import is_ours
from rookbend.recovery import coordinator as machine
from rookbend.recovery.startup_stages import Plan

LIFE_BITS = 40
UNWELL_NOTES = (AttemptDetail.SOURCE_REFUSED, AttemptDetail.SOURCE_UNREACHABLE, AttemptDetail.ORIGIN_FAILED)
HARMLESS = {AttemptStatus.OK, AttemptStatus.CANCELLED, AttemptStatus.MOOT, AttemptStatus.MISS}
UNWELL = frozenset(AttemptStatus) - HARMLESS
COST_OF_PARTS = 4.0  # objects that come in parts are large: what one costs beside one that does not


def config_of(site: ComponentContext) -> machine.Config:
    s, wanted, rules = site.operators, site.operators.recovery, site.engine.settings
    classes = tuple((c.is_write, c.priority_weight, COST_OF_PARTS if c.has_parts else 1.0) for c in rules.classes)
    return machine.Config(
        rules.router_index,
        rules.router_count,
        s.state.fleet if s.state is not None else wanted.fleet,
        int(site.config.seed, 16),
        classes,
        rules.zone,
        rules.parent_kind,
        rules.origin_kind,
        rules.purge_propagation_us or 6_000_000,
        Plan(wanted.ready_share, wanted.ready_by_us, wanted.full_by_us),
        wanted.first_rate,
        wanted.full_rate,
        wanted.peers,
    )


class Promise:
    """An order on its way to the disk."""

    def __init__(self):
        self.ended, self.safe = trio.Event(), False


class RecoveryPart(Component):
    def __init__(self, site: ComponentContext):
        self.site, self.engine, self.log = site, site.engine, site.log
        self.state, self.health = site.built.get("state"), site.built.get("health")
        self._mono_us = site.clock.monotonic_us
        self._offset = site.clock.now() - self._mono_us()
        before = (
            ()
            if self.state is None
            else tuple(
                (kind, key, row.value, row.at_us)
                for kind, rows in self.state.ledger.rows.items()
                for key, row in rows.items()
            )
        )
        boot = self.state.boot if self.state is not None else 1
        self.rules = config_of(site)
        self.machine = machine.Director(self.rules, self.now(), boot, secrets.randbits(LIFE_BITS) + 1, before)
        self.limits: machine.LimitsSet | None = None
        self.orders: dict[str, tuple[str, str]] = {}  # member: (order, by), for members to come
        self.on_boot_raised = lambda: None  # others knew a later life: an older disk is under us
        self.sent = 0
        self._due_earlier = trio.Event()
        self._promises: dict[str, Promise] = {}
        site.admits = lambda: self.limits is not None and self.limits.ready
        self._pass_on, site.watch.membership_changed = site.watch.membership_changed, self._roster_changed
        site.watch.purged = self._purged
        site.watch.stream_received = lambda: self.feed(machine.StreamHeard())
        site.engine.attempts.on_attempt = self._attempt
        site.engine.on_peer = self._datagram
        site.gauges.append(self.gauges)
        self._carry_out(self.machine.begin(self.now()))

    def now(self) -> int:
        return self._mono_us() + self._offset

    def gauges(self) -> dict[str, float]:
        m = self.machine
        return {
            "recovery_stage": int(m.sequence.stage),
            "recovery_up": m.peers.up(self.now()),
            "recovery_gap_open": not m.gap.covered,
            "recovery_datagrams_sent": self.sent,
            "recovery_datagrams_unreadable": m.unreadable,
            "recovery_datagrams_silenced": m.silenced,
            "recovery_peers_doubted": sum(bool(p.doubted) for p in m.peers.rows.values()),
            "recovery_origin_halved": m.share.halved,
        }

    def feed(self, event: machine.Event) -> None:
        due = self.machine.due_us
        self._carry_out(self.machine.feed(self.now(), event))
        if self.machine.due_us < due:
            self._due_earlier.set()

    # What comes in

    def _roster_changed(self, change: MembershipChange) -> None:
        self.feed(machine.MembershipTold(change))

    def _purged(self, purge: Purge) -> None:
        self.engine.purged(purge)
        self.feed(machine.PurgeTold(purge))

    def _datagram(self, sender: int, data: bytes) -> bool:
        """Whether it is of this exchange, and not the module's."""
        if not is_ours(data):
            return False
        self.feed(machine.DatagramReceived(sender, data))
        return True

    def _attempt(self, attempt: Attempt, result: AttemptResult | None) -> None:
        """What reaches the origin: direct, or with a fill from it or a parent."""
        if not self.machine.counts_calls:
            return
        entry = self.engine.endpoints.get(attempt.server)
        kinds = (self.rules.parent_kind, self.rules.origin_kind)
        direct = entry is not None and entry.member.kind in kinds
        if not direct and not attempt.source:
            return
        if result is None:
            return self.feed(machine.CallMade())
        status, note = result.status, result.detail
        took_us = self.site.clock.now() - attempt.sent_us
        if status is AttemptStatus.OK and note not in (AttemptDetail.HIT, AttemptDetail.STALE):
            self.feed(machine.CallEnded(True, took_us))
        elif note in UNWELL_NOTES or (direct and status in UNWELL):
            self.feed(machine.CallEnded(False, took_us))

    # What goes out

    def _carry_out(self, actions: list[machine.Action]) -> None:
        for action in actions:
            CARRY[type(action)](self, action)

    def _send(self, a: machine.SendDatagram) -> None:
        if self.engine.peers is not None:
            self.sent += 1
            self.engine.peers.send(a.peer, a.data)

    def _keep(self, a: machine.PersistRow) -> None:
        if self.state is None:
            if a.awaited:
                self._kept(a, True)  # no disk: the order lasts as long as somebody of the fleet does
            return
        done = (lambda safe: self._kept(a, safe)) if a.awaited else None
        self.state.put(a.kind, a.key, a.value, done)

    def _forget(self, a: machine.DeleteRow) -> None:
        if self.state is not None:
            self.state.drop(a.kind, a.key)

    def learn(self, a: machine.OrderLearnt) -> None:
        """An order that stands, for a member that may come only later."""
        self.orders[a.member] = a.order, a.by
        self._give(a.member)

    def _give(self, member: str) -> None:
        """An order from before, to health, once the member is there."""
        from rookbend.health.events import OrderReceived
        from rookbend.health.model import Order

        server = self.health.service.find(member) if self.health is not None else None
        if server is not None:
            order, by = self.orders.pop(member)
            self.health.service.feed(OrderReceived(server, Order(order), by))

    def _members(self, a: machine.Members) -> None:
        self._pass_on(a.change)
        for member in list(self.orders):
            self._give(member)

    def _limits(self, a: machine.LimitsSet) -> None:
        self.limits = a
        # The engine's clock is another: it may have been set forward since.
        self.engine.attempts.oldest_copy_us = a.oldest_us and self.site.clock.now() - (self.now() - a.oldest_us)
        self.engine.set_admission_limits(a.closed, a.rate)

    def _boot(self, a: machine.BootRaised) -> None:
        if self.state is not None:
            self.state.raise_boot(a.boot)
        self.on_boot_raised()

    # Operators

    def _kept(self, a: machine.PersistRow, safe: bool) -> None:
        if safe:
            self.feed(machine.OrderKept(a.key, a.value))
        promise = self._promises.pop(a.key, None)
        if promise is not None:
            promise.safe = safe
            promise.ended.set()

    async def order(self, member: str, order: str, by: str) -> str:
        """Gives an order that outlives the director; "" once it is safe, or why it is refused."""
        key = f"{self.rules.me}/{member}"
        while key in self._promises:
            await self._promises[key].ended.wait()
        promise = self._promises[key] = Promise()
        self.feed(machine.OrderGiven(member, order, by))
        await promise.ended.wait()
        if not promise.safe:
            return f"not durable: {self.state.ledger.fault or 'the disk refused'}"
        return ""

    def command(self, word: str) -> None:
        self.feed(machine.Command(word))

    def fleet(self) -> dict:
        return {"director": self.site.config.name, **self.machine.describe(self.now())}

    def explain(self) -> dict:
        return {"director": self.site.config.name, **self.machine.explain(self.now())}

    # Its task

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._run)

    async def _run(self) -> None:
        clock = self.site.clock
        while True:
            self._due_earlier = trio.Event()
            self.feed(machine.TimerExpired())
            if self.limits is not None and self.limits.rate is not None:
                # What waits in the module for its turn hears of time by this alone.
                self.engine.set_admission_limits(self.limits.closed, self.limits.rate)
            wait_us = max(0, self.machine.due_us - self.now())
            with trio.move_on_at(clock.monotonic_at(clock.now() + wait_us)):
                await self._due_earlier.wait()


CARRY = {
    machine.SendDatagram: RecoveryPart._send,
    machine.PersistRow: RecoveryPart._keep,
    machine.DeleteRow: RecoveryPart._forget,
    machine.Members: RecoveryPart._members,
    machine.OrderLearnt: RecoveryPart.learn,
    machine.PurgeLearnt: lambda part, a: part.engine.purged(a.purge),
    machine.LimitsSet: RecoveryPart._limits,
    machine.BootRaised: RecoveryPart._boot,
    machine.WriteLogLine: lambda part, a: part.log(a.event, a.level, **a.fields),
}
