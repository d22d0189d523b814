"""A seeded simulation of up to hundreds of the program's recovery state machines in simulated time, with one origin.

It models datagrams that are lost, delayed, duplicated or cut between two directors, a coordinator's stream that may be
down, a disk for each director that may be lost or restored from an old copy, and reads and writes, spread evenly over
the ready directors. The ratio of reads that go to the origin falls as caches fill. The same seed gives the same run.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from rookbend.coordination.actions import PersistRow, SendDatagram
from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.core.model import Endpoint, MembershipChange
from rookbend.interface import Member, MemberState
from rookbend.recovery import events
from rookbend.recovery.actions import SetAdmissionLimits
from rookbend.recovery.config import RecoveryConfig
from rookbend.recovery.machine import RecoveryMachine
from rookbend.state.ledger import Key, Ledger
from rookbend.state.model import Row
from rookbend.testing.recovery_demand import STEP_US, Demand
from rookbend.testing.recovery_node import CLASSES, DISK_BYTES, Node, empty_disk
from rookbend.testing.recovery_origin import SECOND, Environment, Origin

PARENT, ORIGIN = 1, 2
EPOCH = 1_764_576_000 * SECOND
MAX_DATAGRAM_BYTES = 256
MIN_TIMER_US = 1_000
INCARNATION_BITS = 40

DiskCopy = tuple[dict[Key, Row], int]  # rows, boot number


class RecoverySimulation:
    """Without `recovery`, directors admit everything from the start; with `gossip`, they exchange datagrams.

    `loss` and `duplication` are ratios of datagrams, `delay_us` is their minimum delay, and `cut_links` has pairs
    (from, to) that lose everything. `coordinator`: its stream is up. `datagrams` counts by second since EPOCH.
    """

    def __init__(
        self,
        count: int,
        seed: int = 7,
        environment: Environment | None = None,
        recovery: bool = True,
        gossip: bool = True,
        keep_disk: bool = True,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay_us: int = 2_000,
    ):
        self.count = count
        self.seed = seed
        self.recovery = recovery
        self.gossip = gossip
        self.keep_disk = keep_disk
        self.loss = loss
        self.duplication = duplication
        self.delay_us = delay_us
        self.random = random.Random(f"{seed} fleet")
        self.now = EPOCH
        self.nodes = [Node(number) for number in range(count)]
        self.cut_links: set[tuple[int, int]] = set()
        self.coordinator = True
        self.revision = 1
        self.membership = _initial_membership()
        self.datagrams: Counter[int] = Counter()
        environment = environment or Environment()
        self.origin = Origin(environment)
        self.demand = Demand(environment, self.origin, self.random, self._feed, self._feed_later)
        self._calls: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0
        self._schedule(self.now, self._step_demand)

    # Time

    def _schedule(self, at_us: int, call: Callable[..., None], *args: Any) -> None:
        self._scheduled += 1
        heapq.heappush(self._calls, (at_us, self._scheduled, call, args))

    def run(self, duration_us: int) -> None:
        """Advances simulated time."""
        end_us = self.now + duration_us
        while self._calls and self._calls[0][0] <= end_us:
            self.now, _, call, args = heapq.heappop(self._calls)
            call(*args)
        self.now = end_us

    @property
    def second(self) -> int:
        """The second since the epoch."""
        return (self.now - EPOCH) // SECOND

    # Directors

    def power_on(self, *numbers: int, spread_us: int = 200_000) -> None:
        """Starts the given directors, or all, at random times within `spread_us`."""
        for number in numbers or range(self.count):
            if self.nodes[number].machine is None:
                self._schedule(self.now + int(self.random.random() * spread_us), self._start, number)

    def power_off(self, *numbers: int) -> None:
        """Stops the given directors, or all, at once. Disks keep synced rows, which in this model are all rows."""
        for number in numbers or range(self.count):
            self.nodes[number].power_off()

    def lose_disk(self, number: int) -> None:
        """Replaces the disk with an empty one."""
        self.restore_disk(number, ({}, 0))

    def copy_disk(self, number: int) -> DiskCopy:
        """Returns a copy of the disk for `restore_disk`."""
        node = self.nodes[number]
        rows = {(kind, key): row for kind, rows in node.disk.rows.items() for key, row in rows.items()}
        return rows, node.boot_number

    def restore_disk(self, number: int, copy: DiskCopy) -> None:
        """Replaces the disk with a copy."""
        rows, boot_number = copy
        node = self.nodes[number]
        node.disk = Ledger(DISK_BYTES, dict(rows)) if rows else empty_disk()
        node.boot_number = boot_number

    def freeze(self, number: int, frozen: bool) -> None:
        """Suspends a director, or resumes it and feeds it the events that arrived in the meantime."""
        node = self.nodes[number]
        node.is_frozen = frozen
        if not frozen:
            waiting = node.frozen_events
            node.frozen_events = []
            for event in waiting:
                self._feed(number, event)

    def _start(self, number: int) -> None:
        node = self.nodes[number]
        if node.machine is not None:
            return
        if not self.keep_disk:
            self.lose_disk(number)
        node.boot_number += 1
        config = RecoveryConfig(
            number, self.count, "sim", self.seed, CLASSES, 0, PARENT, ORIGIN, 6 * SECOND, gossip_enabled=self.gossip
        )
        incarnation = self.random.getrandbits(INCARNATION_BITS) + 1
        machine = RecoveryMachine(config, self.now, node.boot_number, incarnation, node.persisted_rows())
        node.machine = machine
        node.incarnations.append((node.boot_number, incarnation))
        node.tokens = self.random.random()
        node.tokens_us = self.now
        self._carry_out(node, machine.begin(self.now))
        if not self.recovery:
            node.limits = SetAdmissionLimits(True, frozenset(), None, 0)
        self._connect_stream(number)
        if self.recovery:
            self._schedule(self.now, self._timer_expired, number, machine)

    def _timer_expired(self, number: int, machine: RecoveryMachine) -> None:
        node = self.nodes[number]
        if node.machine is not machine:
            return
        if not node.is_frozen:
            self._feed(number, TimerExpired())
        self._schedule(max(machine.due_us, self.now + MIN_TIMER_US), self._timer_expired, number, machine)

    def _feed(self, number: int, event: events.Event) -> None:
        node = self.nodes[number]
        if node.machine is None:
            return
        if node.is_frozen:
            node.frozen_events.append(event)
            return
        self._carry_out(node, node.machine.feed(self.now, event))

    def _feed_later(self, at_us: int, number: int, event: events.Event) -> None:
        self._schedule(at_us, self._feed, number, event)

    def _carry_out(self, node: Node, actions: Sequence[object]) -> None:
        for action in actions:
            node.actions[type(action).__name__] += 1
            if isinstance(action, SendDatagram):
                self._send(node.number, action.peer, action.data)
            elif self.recovery or not isinstance(action, SetAdmissionLimits):
                node.apply(self.now, action)
            if isinstance(action, PersistRow) and action.awaited:
                self._feed(node.number, events.OrderPersisted(action.key, action.value))

    def _send(self, source: int, target: int, data: bytes) -> None:
        self.datagrams[self.second] += 1
        assert len(data) <= MAX_DATAGRAM_BYTES
        for _ in range(2 if self.random.random() < self.duplication else 1):
            if (source, target) not in self.cut_links and self.random.random() >= self.loss:
                delay_us = int(self.delay_us * (1 + self.random.expovariate(1.0)))
                self._feed_later(self.now + delay_us, target, DatagramReceived(source, data))

    # The coordinator's stream and operators

    def _connect_stream(self, number: int) -> None:
        """Connects the stream of a director if the coordinator is up, and otherwise retries each second."""
        if self.nodes[number].machine is None:
            return
        if not self.coordinator:
            self._schedule(self.now + SECOND, self._connect_stream, number)
            return
        change = MembershipChange(True, self.revision, list(self.membership))
        self._feed(number, events.MembershipReceived(change))
        self._feed(number, events.StreamActive())

    def drain(self, name: str, state: MemberState = MemberState.DRAINING) -> None:
        """Changes a member's state at the coordinator, which notifies all running directors."""
        self.revision += 1
        for index, entry in enumerate(self.membership):
            if entry.name != name:
                continue
            changed = Endpoint(replace(entry.member, state=state), name, entry.address)
            self.membership[index] = changed
            event = events.MembershipReceived(MembershipChange(False, self.revision, [changed]))
            for node in self.nodes:
                if node.machine is not None and self.coordinator:
                    self._feed(node.number, event)

    def order(self, number: int, member: str, order: str) -> None:
        """Requests an operator's order at a director."""
        self._feed(number, events.OrderRequested(member, order, "kim"))

    # Demand and results

    def _step_demand(self) -> None:
        self.demand.step(self.now, self.second, self.nodes)
        self._schedule(self.now + STEP_US, self._step_demand)

    def stages(self) -> Counter[str]:
        """Returns the number of directors in each start-up stage; "dark" counts those that are down."""
        return Counter(
            "dark" if node.machine is None else node.machine.sequence.stage.name.lower() for node in self.nodes
        )


def _initial_membership() -> list[Endpoint]:
    members = {f"c{number - 1}": Member(number, zone=0, kind=0) for number in range(1, 5)}
    members |= {"p0": Member(90, kind=PARENT), "records": Member(91, kind=ORIGIN)}
    return [Endpoint(member, name, ("127.0.0.1", member.server)) for name, member in members.items()]
