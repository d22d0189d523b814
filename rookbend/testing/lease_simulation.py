"""A seeded simulation of up to hundreds of the program's lease state machines in simulated time.

Datagrams are lost, delayed or duplicated, links are cut in one direction or both, clocks run fast or slow, storage is
lost or fails, directors freeze, and a report ledger accepts lines by token. A director's clock is simulated time times
its rate; invariants are checked by simulated time.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from rookbend.coordination.actions import DeleteRow, PersistRow, SendDatagram, WriteLogLine
from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.leases import actions, events
from rookbend.leases.config import LeaseConfig
from rookbend.leases.leader_tasks import LEASED_TASK_NAMES, scopes_of
from rookbend.leases.lease import Holder, LeaseTerms
from rookbend.leases.machine import LeaseMachine
from rookbend.testing.lease_invariants import LeaseInvariants, SimulatedLedger
from rookbend.testing.lease_simulation_parts import EPOCH_US, SECOND_US, Schedule, SimulatedDirector, SimulatedNetwork

INCARNATION_BITS = 40
POLL_INTERVAL_US = 1 * SECOND_US
LIVENESS_DELAY_US = 1 * SECOND_US
STORAGE_DELAY_US = 1_000
MIN_TIMER_US = 1_000
MAX_START_DELAY_US = 100_000
MAX_LEDGER_DELAY_US = 200_000
MAX_DATAGRAM_BYTES = 256


class LeaseSimulation:
    """`drift` is the ratio by which some clocks run fast or slow; `SimulatedNetwork` describes loss and delay."""

    def __init__(
        self,
        count: int,
        seed: int = 7,
        voters: int = 3,
        shards: int = 4,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay_us: int = 2_000,
        drift: float = 0.0,
        report_period_us: int = 5 * SECOND_US,
        tasks: frozenset[str] = LEASED_TASK_NAMES,
    ):
        self.count = count
        self.seed = seed
        self.shards = shards
        self.report_period_us = report_period_us
        self.tasks = tasks
        self.random = random.Random(f"{seed} owners")
        self.network = SimulatedNetwork(self.random, loss, duplication, delay_us)
        self.schedule = Schedule()
        self.voters = frozenset(range(min(voters, count)))
        self.directors = [
            SimulatedDirector(number, 1 + drift * self.random.choice((-1, 0, 1))) for number in range(count)
        ]
        self.invariants = LeaseInvariants()
        self.ledger = SimulatedLedger(self.invariants)
        self._order_ids = 0
        self._handlers = self._action_handlers()

    @property
    def violations(self) -> list[str]:
        """The violated invariants, as messages."""
        return self.invariants.violations

    # Time

    @property
    def now_us(self) -> int:
        """Simulated time."""
        return self.schedule.now_us

    def run(self, duration_us: int) -> None:
        """Advances simulated time."""
        self.schedule.run(duration_us)

    def clock(self, director: SimulatedDirector) -> int:
        """Returns the time on a director's own clock."""
        return EPOCH_US + int((self.now_us - EPOCH_US) * director.clock_rate) + director.clock_step_us

    # Directors

    def start(self, *numbers: int) -> None:
        """Starts the given directors, or all, unless they are running."""
        for number in numbers or range(self.count):
            if self.directors[number].machine is None:
                self._start(self.directors[number])

    def _start(self, director: SimulatedDirector) -> None:
        director.starts += 1
        incarnation = self.random.getrandbits(INCARNATION_BITS) + 1
        shape = director.number, self.count, "sim", self.seed, self.voters
        config = LeaseConfig(*shape, LeaseTerms(), self.tasks, self.shards, self.report_period_us)
        rows = tuple((kind, key, value) for (kind, key), value in director.storage.items())
        machine = LeaseMachine(config, self.clock(director), incarnation, rows)
        director.machine = machine
        director.applied_orders = []
        director.order_outcomes = {}
        self._carry_out(director, machine.begin(self.clock(director)))
        delay_us = int(self.random.random() * MAX_START_DELAY_US)
        self.schedule.after(delay_us, self._timer_expired, director, machine)
        self.schedule.after(0, self._poll_liveness, director, machine)

    def kill(self, *numbers: int) -> None:
        """Kills the given directors."""
        for number in numbers:
            director = self.directors[number]
            director.machine = None
            director.frozen = False
            director.delayed_events = []

    def freeze(self, number: int, frozen: bool = True) -> None:
        """Suspends a director, or resumes it and feeds it the events that arrived in the meantime."""
        director = self.directors[number]
        director.frozen = frozen
        if not frozen:
            delayed = director.delayed_events
            director.delayed_events = []
            for event in delayed:
                self.feed(director, event)

    def _timer_expired(self, director: SimulatedDirector, machine: LeaseMachine) -> None:
        if director.machine is not machine:
            return
        if not director.frozen:
            self.feed(director, TimerExpired())
        wait_us = max(MIN_TIMER_US, machine.due_us - self.clock(director))
        self.schedule.after(wait_us, self._timer_expired, director, machine)

    def _poll_liveness(self, director: SimulatedDirector, machine: LeaseMachine) -> None:
        """Reports the live directors as the gossip of recovery does: with a delay, and not across a cut link."""
        if director.machine is not machine:
            return
        if not director.frozen:
            live = frozenset(peer.number for peer in self.directors if self._hears(director, peer))
            event = events.LiveDirectorsChanged(live)
            self.schedule.after(LIVENESS_DELAY_US, self._feed_incarnation, director, machine, event)
        self.schedule.after(POLL_INTERVAL_US, self._poll_liveness, director, machine)

    def _hears(self, director: SimulatedDirector, peer: SimulatedDirector) -> bool:
        if peer is director:
            return True
        is_up = peer.machine is not None and not peer.frozen
        return is_up and (peer.number, director.number) not in self.network.cut_links

    def _feed_incarnation(self, director: SimulatedDirector, machine: LeaseMachine | None, event: events.Event) -> None:
        if director.machine is machine:
            self.feed(director, event)

    def feed(self, director: SimulatedDirector, event: events.Event) -> None:
        """Feeds an event to a director, or queues it until the director resumes."""
        if director.machine is None:
            return
        if director.frozen:
            director.delayed_events.append(event)
            return
        self._carry_out(director, director.machine.feed(self.clock(director), event))

    def order(self, number: int, target: str, order: str) -> int:
        """Requests an order at a director; returns its id."""
        self._order_ids += 1
        self.feed(self.directors[number], events.OrderRequested(self._order_ids, target, order, "kim"))
        return self._order_ids

    # Actions

    def _carry_out(self, director: SimulatedDirector, to_do: Sequence[object]) -> None:
        for action in to_do:
            self._handlers[type(action)](director, action)

    def _action_handlers(self) -> dict[type, Callable[[SimulatedDirector, Any], None]]:
        return {
            SendDatagram: self._send_datagram,
            PersistRow: self._persist_row,
            DeleteRow: self._delete_row,
            WriteLogLine: lambda director, line: director.log_counts.update((line.event,)),
            actions.LeaseAcquired: self._lease_acquired,
            actions.LeaseLost: lambda director, action: None,
            actions.ApplyOrder: lambda director, action: director.applied_orders.append((action.target, action.order)),
            actions.CompleteOrder: self._complete_order,
            actions.ApplyShardResults: lambda director, action: None,
            actions.CollectCounters: self._collect_counters,
            actions.WriteReportLine: self._write_report_line,
        }

    def _send_datagram(self, director: SimulatedDirector, action: SendDatagram) -> None:
        assert len(action.data) <= MAX_DATAGRAM_BYTES
        for delay_us in self.network.send(self.now_us, director.number, action.peer, len(action.data)):
            event = DatagramReceived(director.number, action.data)
            self.schedule.after(delay_us, self.feed, self.directors[action.peer], event)

    def _persist_row(self, director: SimulatedDirector, row: PersistRow) -> None:
        durable = not director.storage_fails
        if durable:
            director.storage[row.kind, row.key] = row.value
        if row.awaited:
            event = events.RowPersisted(row.kind, row.key, durable)
            self.schedule.after(STORAGE_DELAY_US, self._feed_incarnation, director, director.machine, event)

    def _delete_row(self, director: SimulatedDirector, row: DeleteRow) -> None:
        director.storage.pop((row.kind, row.key), None)

    def _lease_acquired(self, director: SimulatedDirector, action: actions.LeaseAcquired) -> None:
        assert director.machine is not None
        self.invariants.lease_acquired(action, Holder(director.number, director.machine.incarnation))
        self.check()

    def _complete_order(self, director: SimulatedDirector, action: actions.CompleteOrder) -> None:
        director.order_outcomes[action.id] = action.error

    def _collect_counters(self, director: SimulatedDirector, _action: actions.CollectCounters) -> None:
        self.feed(director, events.CountersCollected((10 * director.starts, 9, 1, 0)))

    def _write_report_line(self, director: SimulatedDirector, line: actions.WriteReportLine) -> None:
        # The line is in the socket's buffer, so it arrives even if the director fails, after a random delay.
        delay_us = int(self.random.random() * MAX_LEDGER_DELAY_US)
        machine = director.machine
        self.schedule.after(delay_us, lambda: self._feed_incarnation(director, machine, self.ledger.append(line)))

    # Invariants

    def holders(self, scope: int) -> list[int]:
        """Returns the directors that hold the scope by their own clocks, including frozen ones."""
        return [
            director.number
            for director in self.directors
            if director.machine is not None and director.machine.leases.held_token(self.clock(director), scope)
        ]

    def scopes(self) -> tuple[int, ...]:
        """Returns all scopes of the fleet."""
        return scopes_of(self.tasks, self.shards)

    def check(self) -> None:
        """Checks that no scope has two holders."""
        for scope in self.scopes():
            self.invariants.check_holders(scope, self.holders(scope), self.now_us - EPOCH_US)

    def leaderless_scopes(self) -> list[int]:
        """Returns the scopes that no director holds."""
        return [scope for scope in self.scopes() if not self.holders(scope)]
