"""A fleet of ownership machines in simulated time: the program's own machine, up to hundreds of them, with
datagrams that are lost, late or doubled, cuts one way and both, clocks that run fast and slow, disks that are
lost or put back old, directors that stand still, and a ledger that takes the report's lines by token. Seeded.

Each machine's clock is its own: simulated time times its rate. What is looked at (`check`) is looked at by
simulated time, whatever the machines believe."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from rookbend.coordination.actions import DeleteRow, PersistRow, SendDatagram, WriteLogLine
from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.leases import actions, events
from rookbend.leases.config import CoordinatorConfig
from rookbend.leases.coordinator import LeaseCoordinator
from rookbend.leases.fencing import FencingGuard
from rookbend.leases.leader_tasks import LEASED_TASK_NAMES, REPORT_SCOPE, scopes_of
from rookbend.leases.lease import LeaseTerms

SECOND = 1_000_000
EPOCH = 1_764_576_000 * SECOND
LIVING_US = 4 * SECOND  # a director is taken for living so long after its last word


@dataclass
class Node:
    number: int
    rate: float = 1.0
    step_us: int = 0  # its clock was set by so much at its last start
    disk: dict[tuple[str, str], bytes] = field(default_factory=dict)
    machine: LeaseCoordinator | None = None
    lives: int = 0
    frozen: bool = False
    waiting: list = field(default_factory=list)
    stood: list[tuple[str, str]] = field(default_factory=list)  # orders in effect, in order, of this life
    done: dict[int, str] = field(default_factory=dict)
    said: Counter = field(default_factory=Counter)
    refuses: bool = False  # its disk


class OwnerSim:
    def __init__(
        self,
        count: int,
        seed: int = 7,
        voters: int = 3,
        shards: int = 4,
        loss: float = 0.0,
        double: float = 0.0,
        late_us: int = 2_000,
        drift: float = 0.0,
        report_us: int = 5 * SECOND,
        duties: frozenset[str] = LEASED_TASK_NAMES,
    ):
        self.count, self.seed, self.loss, self.double, self.late_us = count, seed, loss, double, late_us
        self.random = random.Random(f"{seed} owners")
        self.now = EPOCH
        self.voters = frozenset(range(min(voters, count)))
        self.shards, self.report_us, self.duties = shards, report_us, duties
        self.nodes = [Node(i, 1 + drift * self.random.choice((-1, 0, 1))) for i in range(count)]
        self.cut: set[tuple[int, int]] = set()
        self.ledger, self.lines = FencingGuard(), {}
        self.sent: Counter = Counter()  # datagrams by second
        self.bytes = 0
        self.tokens: dict[tuple[int, int], tuple[int, int]] = {}  # (scope, token): (place, life)
        self.highest: dict[int, int] = {}
        self.wrong: list[str] = []
        self.changes: list[tuple[int, int, int, str]] = []  # (when, scope, place, won or lost)
        self._heap: list[tuple] = []
        self._order = 0
        self._ids = 0

    # Time

    def _push(self, at: int, what, *args) -> None:
        self._order += 1
        heapq.heappush(self._heap, (at, self._order, what, args))

    def run(self, for_us: int) -> None:
        end = self.now + for_us
        while self._heap and self._heap[0][0] <= end:
            self.now, _, what, args = heapq.heappop(self._heap)
            what(*args)
        self.now = end

    def clock(self, node: Node) -> int:
        return EPOCH + int((self.now - EPOCH) * node.rate) + node.step_us

    # Directors

    def start(self, *numbers: int) -> None:
        for number in numbers or range(self.count):
            node = self.nodes[number]
            if node.machine is not None:
                continue
            node.lives += 1
            life = self.random.getrandbits(40) + 1
            config = CoordinatorConfig(
                number,
                self.count,
                "sim",
                self.seed,
                self.voters,
                LeaseTerms(),
                self.duties,
                self.shards,
                self.report_us,
            )
            kept = tuple((kind, key, value) for (kind, key), value in node.disk.items())
            node.machine = LeaseCoordinator(config, self.clock(node), life, kept)
            node.stood, node.done = [], {}
            self._carry_out(node, node.machine.begin(self.clock(node)))
            self._push(self.now + int(self.random.random() * 100_000), self._tick, node, node.machine)
            self._push(self.now, self._live, node, node.machine)

    def kill(self, *numbers: int) -> None:
        for number in numbers:
            node = self.nodes[number]
            node.machine, node.frozen, node.waiting = None, False, []

    def freeze(self, number: int, frozen: bool = True) -> None:
        node = self.nodes[number]
        node.frozen = frozen
        if not frozen:
            waiting, node.waiting = node.waiting, []
            for event in waiting:
                self._feed(node, event)

    def _tick(self, node: Node, of: LeaseCoordinator) -> None:
        if node.machine is not of:
            return
        if not node.frozen:
            self._feed(node, TimerExpired())
        self._push(self.now + max(1_000, of.due_us - self.clock(node)), self._tick, node, of)

    def _live(self, node: Node, of: LeaseCoordinator) -> None:
        """Who is up, as recovery's exchange tells: a little late, and not across a cut."""
        if node.machine is not of:
            return
        if not node.frozen:
            places = frozenset(
                n.number
                for n in self.nodes
                if n is node or (n.machine is not None and not n.frozen and (n.number, node.number) not in self.cut)
            )
            self._push(self.now + SECOND, self._feed_of, node, of, events.LiveMembersChanged(places))
        self._push(self.now + SECOND, self._live, node, of)

    def _feed_of(self, node: Node, of: LeaseCoordinator, event) -> None:
        if node.machine is of:
            self._feed(node, event)

    def _feed(self, node: Node, event) -> None:
        if node.machine is None:
            return
        if node.frozen:
            node.waiting.append(event)
            return
        self._carry_out(node, node.machine.feed(self.clock(node), event))

    def _carry_out(self, node: Node, to_do: list) -> None:
        for a in to_do:
            kind = type(a)
            if kind is SendDatagram:
                self._send(node, a)
            elif kind is PersistRow:
                if not node.refuses:
                    node.disk[a.kind, a.key] = a.value
                if a.awaited:
                    event = events.RowPersisted(a.kind, a.key, not node.refuses)
                    self._push(self.now + 1_000, self._feed_of, node, node.machine, event)
            elif kind is DeleteRow:
                node.disk.pop((a.kind, a.key), None)
            elif kind is actions.LeaseAcquired:
                self._won(node, a)
            elif kind is actions.LeaseLost:
                self.changes.append((self.now, a.scope, node.number, "lost"))
            elif kind is actions.ApplyOrder:
                node.stood.append((a.target, a.order))
            elif kind is actions.CompleteOrder:
                node.done[a.id] = a.error
            elif kind is actions.CollectCounters:
                self._feed(node, events.CountersCollected((10 * node.lives, 9, 1, 0)))
            elif kind is actions.WriteReportLine:
                # The line is in the socket's buffer: it arrives whenever the network likes.
                self._push(self.now + int(self.random.random() * 200_000), self._write, node, node.machine, a)
            elif kind is WriteLogLine:
                node.said[a.event] += 1

    def _won(self, node: Node, a: actions.LeaseAcquired) -> None:
        self.changes.append((self.now, a.scope, node.number, "won"))
        who = node.number, node.machine.incarnation
        if self.tokens.setdefault((a.scope, a.token), who) != who:
            self.wrong.append(f"token {a.token} of scope {a.scope} twice")
        if a.token < self.highest.get(a.scope, 0):
            self.wrong.append(f"token {a.token} of scope {a.scope} after {self.highest[a.scope]}")
        self.highest[a.scope] = max(self.highest.get(a.scope, 0), a.token)
        self.check()

    def _write(self, node: Node, of: LeaseCoordinator, a: actions.WriteReportLine) -> None:
        old = a.token < self.ledger.highest.get(REPORT_SCOPE, 0)
        ok = self.ledger.accept(REPORT_SCOPE, a.token)
        if ok and old:
            self.wrong.append(f"the ledger took the line of token {a.token}")
        if ok:
            self.lines.setdefault(a.number, a.line)
        highest = self.ledger.highest[REPORT_SCOPE]
        self._feed_of(node, of, events.ReportLineWritten(a.number, ok, 0 if ok else highest))

    def order(self, number: int, member: str, order: str) -> int:
        self._ids += 1
        self._feed(self.nodes[number], events.OrderRequested(self._ids, member, order, "kim"))
        return self._ids

    # Datagrams

    def _send(self, node: Node, a: SendDatagram) -> None:
        assert len(a.data) <= 256
        self.sent[(self.now - EPOCH) // SECOND] += 1
        self.bytes += len(a.data)
        for _ in range(2 if self.random.random() < self.double else 1):
            if (node.number, a.peer) not in self.cut and self.random.random() >= self.loss:
                late = int(self.late_us * (1 + self.random.expovariate(1.0)))
                self._push(self.now + late, self._feed, self.nodes[a.peer], DatagramReceived(node.number, a.data))

    # What is looked at

    def owners(self, scope: int) -> list[int]:
        """Who owns it in effect right now, each by its own clock; one that stands still too."""
        return [
            n.number for n in self.nodes if n.machine is not None and n.machine.leases.held_token(self.clock(n), scope)
        ]

    def scopes(self) -> tuple[int, ...]:
        return scopes_of(self.duties, self.shards)

    def check(self) -> None:
        for scope in self.scopes():
            if len(found := self.owners(scope)) > 1:
                self.wrong.append(f"scope {scope} is owned by {found} at {self.now - EPOCH}")

    def ownerless(self) -> list[int]:
        return [s for s in self.scopes() if not self.owners(s)]
