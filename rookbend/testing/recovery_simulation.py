"""A fleet of recovery machines in simulated time: the program's own machine, up to hundreds of them, one
origin.

What is modelled besides the machines is the least that shows what they do together: datagrams that are lost,
late, doubled or cut between two; a coordinator that may be away; a disk a director, that may be lost or put
back old; demand of reads and writes, spread evenly over the directors that are ready, of which a share that
falls as caches fill must go to the origin; an origin that does so many calls a second, queues for a second,
refuses then, and falls when it is pushed over. Seeded; the same seed gives the same run."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from rookbend.coordination.actions import DeleteRow, PersistRow, SendDatagram, WriteLogLine
from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.core.model import Endpoint, MembershipChange
from rookbend.interface import Member, MemberState
from rookbend.recovery import events
from rookbend.recovery.actions import ApplyOrder, ForwardMembership, RaiseBootNumber, SetAdmissionLimits
from rookbend.recovery.config import RecoveryConfig, TrafficClassCost
from rookbend.recovery.coordinator import RecoveryCoordinator
from rookbend.recovery.startup_stages import Stage
from rookbend.recovery.state_validity import PersistedRow
from rookbend.state.ledger import Ledger
from rookbend.testing.recovery_origin import SECOND, Origin, World

STEP_US = 50_000  # of demand
CLASSES = (TrafficClassCost(True, 8.0, 1.0), TrafficClassCost(False, 1.0, 1.0), TrafficClassCost(False, 2.0, 4.0))
PARENT, ORIGIN = 1, 2
EPOCH = 1_764_576_000 * SECOND


@dataclass
class Node:
    number: int
    disk: Ledger = field(default_factory=lambda: Ledger(1 << 20))
    boot: int = 0  # on disk
    machine: RecoveryCoordinator | None = None
    limits: SetAdmissionLimits | None = None
    tokens: float = 0.0
    tokens_us: int = 0
    lives: list[tuple[int, int]] = field(default_factory=list)  # (boot, life) that it has told of
    members: dict[str, Endpoint] = field(default_factory=dict)  # what went on to the engine
    orders: dict[str, str] = field(default_factory=dict)  # what went on to health
    said: list[WriteLogLine] = field(default_factory=list)
    frozen: list = field(default_factory=list)
    is_frozen: bool = False
    events: Counter = field(default_factory=Counter)


class FleetSim:
    def __init__(
        self,
        count: int,
        seed: int = 7,
        world: World | None = None,
        recovery: bool = True,
        talk: bool = True,
        keep_disk: bool = True,
        loss: float = 0.0,
        double: float = 0.0,
        late_us: int = 2_000,
    ):
        self.count, self.seed, self.world = count, seed, world or World()
        self.recovery, self.talk, self.keep_disk = recovery, talk, keep_disk
        self.loss, self.double, self.late_us = loss, double, late_us
        self.random = random.Random(f"{seed} fleet")
        self.now = EPOCH
        self.nodes = [Node(i) for i in range(count)]
        self.origin = Origin(self.world)
        self.cut: set[tuple[int, int]] = set()
        self.coordinator = True
        self.revision = 1
        self.membership = [Endpoint(Member(i + 1, zone=0, kind=0), f"c{i}", ("127.0.0.1", 1)) for i in range(4)] + [
            Endpoint(Member(90, kind=PARENT), "p0", ("127.0.0.1", 1)),
            Endpoint(Member(91, kind=ORIGIN), "records", ("127.0.0.1", 1)),
        ]
        self.filled = 0.0
        self.datagrams = Counter()  # by second since the epoch
        self.earned: dict[int, tuple[float, float]] = {}
        self.refused = self.asked = 0
        self._heap: list[tuple] = []
        self._order = 0
        self._push(self.now, self._demand)

    # Time

    def _push(self, at: int, what, *args) -> None:
        self._order += 1
        heapq.heappush(self._heap, (at, self._order, what, args))

    def run(self, for_us: int) -> None:
        end = self.now + for_us
        while self._heap and self._heap[0][0] <= end:
            at, _, what, args = heapq.heappop(self._heap)
            self.now = at
            what(*args)
        self.now = end

    # Directors

    def power_on(self, *numbers: int, spread_us: int = 200_000) -> None:
        for number in numbers or range(self.count):
            if self.nodes[number].machine is None:
                self._push(self.now + int(self.random.random() * spread_us), self._boot, number)

    def power_off(self, *numbers: int) -> None:
        """In this instant. The disks keep what was synced: in this model all that was put."""
        for number in numbers or range(self.count):
            node = self.nodes[number]
            node.machine = node.limits = None
            node.is_frozen, node.frozen = False, []
            node.members, node.orders = {}, {}

    def lose_disk(self, number: int) -> None:
        self.nodes[number].disk, self.nodes[number].boot = Ledger(1 << 20), 0

    def copy_disk(self, number: int) -> tuple:
        node = self.nodes[number]
        return {(k, key): row for k, rows in node.disk.rows.items() for key, row in rows.items()}, node.boot

    def restore_disk(self, number: int, copy: tuple) -> None:
        self.nodes[number].disk, self.nodes[number].boot = Ledger(1 << 20, dict(copy[0])), copy[1]

    def freeze(self, number: int, frozen: bool) -> None:
        node = self.nodes[number]
        node.is_frozen = frozen
        if not frozen:
            waiting, node.frozen = node.frozen, []
            for event in waiting:
                self._feed(number, event)

    def _boot(self, number: int) -> None:
        node = self.nodes[number]
        if node.machine is not None:
            return
        if not self.keep_disk:
            self.lose_disk(number)
        node.boot += 1
        before = tuple(
            PersistedRow(k, key, row.value, row.stored_us)
            for k, rows in node.disk.rows.items()
            for key, row in rows.items()
        )
        config = RecoveryConfig(
            number, self.count, "sim", self.seed, CLASSES, 0, PARENT, ORIGIN, 6 * SECOND, gossip_enabled=self.talk
        )
        life = self.random.getrandbits(40) + 1
        node.machine = RecoveryCoordinator(config, self.now, node.boot, life, before)
        node.lives.append((node.boot, life))
        node.tokens, node.tokens_us = self.random.random(), self.now
        self._carry_out(node, node.machine.begin(self.now))
        if not self.recovery:
            node.limits = SetAdmissionLimits(True, frozenset(), None, 0)
        self._tell(number)
        if self.recovery:
            self._push(self.now, self._tick, number, node.machine)

    def _tell(self, number: int) -> None:
        """The coordinator's stream comes up, where it is there; it is called again each second."""
        node = self.nodes[number]
        if node.machine is None:
            return
        if not self.coordinator:
            return self._push(self.now + SECOND, self._tell, number)
        self._feed(number, events.MembershipReceived(MembershipChange(True, self.revision, list(self.membership))))
        self._feed(number, events.StreamActive())

    def drain(self, name: str, state: MemberState = MemberState.DRAINING) -> None:
        """The coordinator tells it to all that are up."""
        from dataclasses import replace

        self.revision += 1
        for i, entry in enumerate(self.membership):
            if entry.name == name:
                changed = self.membership[i] = Endpoint(replace(entry.member, state=state), name, entry.address)
                told = events.MembershipReceived(MembershipChange(False, self.revision, [changed]))
                for node in self.nodes:
                    if node.machine is not None and self.coordinator:
                        self._feed(node.number, told)

    def order(self, number: int, member: str, order: str) -> None:
        self._feed(number, events.OrderRequested(member, order, "kim"))

    def _tick(self, number: int, of) -> None:
        node = self.nodes[number]
        if node.machine is not of:
            return
        if not node.is_frozen:
            self._feed(number, TimerExpired())
        self._push(max(of.due_us, self.now + 1_000), self._tick, number, of)

    def _feed(self, number: int, event) -> None:
        node = self.nodes[number]
        if node.machine is None:
            return
        if node.is_frozen:
            node.frozen.append(event)
            return
        self._carry_out(node, node.machine.feed(self.now, event))

    def _carry_out(self, node: Node, actions: list) -> None:
        for a in actions:
            kind = type(a)
            node.events[kind.__name__] += 1
            if kind is SendDatagram:
                self._send(node.number, a.peer, a.data)
            elif kind is PersistRow:
                node.disk.put(self.now, a.kind, a.key, a.value)
                if a.awaited:
                    self._feed(node.number, events.OrderPersisted(a.key, a.value))
            elif kind is DeleteRow:
                node.disk.drop(a.kind, a.key)
            elif kind is SetAdmissionLimits and self.recovery:
                node.limits = a
            elif kind is RaiseBootNumber:
                node.boot = a.boot_number
                node.lives.append((a.boot_number, node.machine.identity.incarnation))
            elif kind is ForwardMembership:
                if a.change.complete:
                    node.members = {}
                node.members.update({e.name: e for e in a.change.endpoints})
            elif kind is ApplyOrder:
                node.orders[a.member] = a.order
            elif kind is WriteLogLine:
                node.said.append(a)

    # Datagrams

    def _send(self, source: int, target: int, data: bytes) -> None:
        self.datagrams[(self.now - EPOCH) // SECOND] += 1
        assert len(data) <= 256
        for _ in range(2 if self.random.random() < self.double else 1):
            if (source, target) not in self.cut and self.random.random() >= self.loss:
                late = int(self.late_us * (1 + self.random.expovariate(1.0)))
                self._push(self.now + late, self._feed, target, DatagramReceived(source, data))

    # Demand

    def _demand(self) -> None:
        w = self.world
        # Clients come to those that are ready; while none is, their requests are lost at the front.
        ready = [
            n
            for n in self.nodes
            if n.machine is not None and n.limits is not None and n.limits.ready and not n.is_frozen
        ]
        arrivals = self._poisson(w.demand * STEP_US / SECOND)
        for _ in range(arrivals):
            write = self.random.random() < w.writes
            cls = 0 if write else 1 + (self.random.random() < 0.3)
            worth = CLASSES[cls][1]
            second = (self.now - EPOCH) // SECOND
            got, asked = self.earned.get(second, (0.0, 0.0))
            self.asked += 1
            good = bool(ready) and self._serve(self.random.choice(ready), cls, write)
            self.refused += not good
            self.earned[second] = got + worth * good, asked + worth
        self._push(self.now + STEP_US, self._demand)

    def _poisson(self, mean: float) -> int:
        count, left = 0, self.random.expovariate(1.0)
        while left < mean:
            count, left = count + 1, left + self.random.expovariate(1.0)
        return count

    def _serve(self, node: Node, cls: int, write: bool) -> bool:
        w, limits = self.world, node.limits
        if cls in limits.closed_classes:
            return False
        warmth = 0.5 ** (self.filled / w.fills_to_half)
        if not write and self.random.random() >= w.miss_warm + (w.miss_cold - w.miss_warm) * warmth:
            return True  # a copy was there
        if limits.origin_rate is not None:
            most = max(1.0, 0.5 * limits.origin_rate)
            node.tokens = min(most, node.tokens + (self.now - node.tokens_us) * limits.origin_rate / SECOND)
            node.tokens_us = self.now
            if node.tokens < 1 and not write:
                return False
            node.tokens -= 1
        self._feed(node.number, events.OriginCallStarted())
        well, took = self.origin.call(self.now)
        self._push(self.now + took, self._feed, node.number, events.OriginCallEnded(well, took))
        if well and not write:
            self.filled += 1
        return well and took < SECOND

    def go_cold(self) -> None:
        """All caches are empty."""
        self.filled = 0.0

    # What came of it

    def share(self, second: int) -> float:
        got, asked = self.earned.get(second, (0.0, 0.0))
        return got / asked if asked else 0.0

    def seconds_to(self, share: float, since: int, steady: float = 1.0) -> float:
        """Seconds from that second on until worth stays at or above that share of the steady one for three
        seconds; infinity where it never does."""
        last = max(self.earned)
        for second in range(since, last - 3):
            if all(self.share(s) >= share * steady for s in range(second, second + 3)):
                return second - since
        return float("inf")

    def stages(self) -> Counter:
        return Counter(
            "dark" if n.machine is None else Stage(n.machine.sequence.stage).name.lower() for n in self.nodes
        )
