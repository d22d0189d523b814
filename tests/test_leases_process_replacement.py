"""An upgrade of a director that takes part in leases: its two processes are one voter, one candidate and one log.

Guards against review case 10: both processes of a director acted as the holder of a lease, each with a vote of its own,
and an order that was answered with success was in the log of the process that ended.
"""

import heapq
import itertools

import pytest

from rookbend.coordination.actions import PersistRow, SendDatagram
from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.leases import actions, events
from rookbend.leases.config import LeaseConfig
from rookbend.leases.leader_tasks import ORDERS_SCOPE
from rookbend.leases.lease import LeaseTerms
from rookbend.leases.machine import LeaseMachine

SECOND = 1_000_000
START = 1_764_576_000 * SECOND
DELAY_US = 300
STEP_US = 10_000
LEASE_US = 2 * SECOND
TASKS = frozenset({"orders", "conductor", "report"})
CROWD = 10


class Process:
    """One process of a director, with what its operators and its members were told."""

    def __init__(self, fleet, director, incarnation):
        self.fleet, self.director = fleet, director
        config = LeaseConfig(
            director=director,
            director_count=fleet.directors,
            fleet="f1",
            seed=7,
            voters=frozenset(range(1 if fleet.directors < 3 else 3)),
            terms=LeaseTerms(LEASE_US),
            tasks=TASKS,
            shards=1,
            report_period_us=SECOND,
        )
        self.machine = LeaseMachine(config, fleet.now, incarnation)
        self.receives, self.runs = True, True
        self.outcomes, self.applied = {}, []
        self.carry_out(self.machine.begin(fleet.now))
        self.feed(events.LiveDirectorsChanged(frozenset(range(fleet.directors))))

    def feed(self, event):
        self.carry_out(self.machine.feed(self.fleet.now, event))

    def carry_out(self, done):
        for action in done:
            if isinstance(action, SendDatagram):
                self.fleet.send(self.director, action.peer, action.data)
            elif isinstance(action, PersistRow) and action.awaited:
                self.feed(events.RowPersisted(action.kind, action.key, True))
            elif isinstance(action, actions.CompleteOrder):
                self.outcomes[action.id] = action.error
            elif isinstance(action, actions.ApplyOrder):
                self.applied.append((action.target, action.order))

    def order(self, number, target):
        self.feed(events.OrderRequested(number, target, "drain", "kim"))

    def held(self):
        return set(self.machine.leases.held_scopes(self.fleet.now))


class Fleet:
    """Processes that exchange datagrams in simulated time. One address belongs to all processes of a director."""

    def __init__(self, directors):
        self.directors, self.now, self.loses = directors, START, lambda sender, peer: False
        self.queue, self.sent, self.incarnations = [], itertools.count(), itertools.count(1)
        self.processes = [self.start(director) for director in range(directors)]

    def start(self, director):
        return Process(self, director, next(self.incarnations))

    def send(self, sender, peer, data):
        if not self.loses(sender, peer):
            heapq.heappush(self.queue, (self.now + DELAY_US, next(self.sent), sender, peer, data))

    def run(self, seconds):
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += STEP_US
            while self.queue and self.queue[0][0] <= self.now:
                _, _, sender, peer, data = heapq.heappop(self.queue)
                for process in self.processes:
                    if process.director == peer and process.runs and process.receives:
                        process.feed(DatagramReceived(sender, data))
            for process in self.processes:
                if process.runs and process.machine.due_us <= self.now:
                    process.feed(TimerExpired())
                if process.runs:
                    process.feed(events.LiveDirectorsChanged(frozenset(range(self.directors))))
            self.check_one_holder()

    def check_one_holder(self):
        held = [scope for process in self.processes if process.runs for scope in process.held()]
        assert len(held) == len(set(held)), "two processes hold one scope"

    def start_successor(self, old):
        """A second process of a director starts, and serves from now on."""
        new = self.start(old.director)
        new.feed(events.PredecessorChanged(True))
        self.processes.append(new)
        self.run(0.1)
        old.receives = False
        old.feed(events.SuccessorChanged(True))
        return new

    def end(self, process, other):
        process.runs = process.receives = False
        other.feed(events.PredecessorChanged(False))


sizes = pytest.mark.parametrize("directors", [2, 3])


@sizes
@pytest.mark.parametrize("orders", [1, 10 * CROWD])
def test_a_successor_process_takes_the_part_of_its_predecessor_over_with_its_orders(directors, orders):
    fleet = Fleet(directors)
    fleet.run(8)
    old = fleet.processes[0]
    before = [f"c{number}" for number in range(orders)]
    for number, target in enumerate(before, 1):
        old.order(number, target)
        fleet.run(0.1)
    fleet.run(2)
    assert old.outcomes == {number: "" for number in range(1, orders + 1)}
    new = fleet.start_successor(old)
    fleet.run(1 + LEASE_US / SECOND + 2)
    new.order(1, "d0")
    fleet.run(3)
    assert new.outcomes == {1: ""} and any(process.held() for process in fleet.processes)
    assert not old.held()
    fleet.end(old, new)
    fleet.run(6)
    for process in fleet.processes:
        if process.runs:
            assert process.applied == [(target, "drain") for target in [*before, "d0"]]


@sizes
def test_an_order_given_right_before_the_upgrade_is_not_lost(directors):
    fleet = Fleet(directors)
    fleet.run(8)
    old = fleet.processes[0]
    old.order(1, "c0")
    for _ in range(200):
        if old.outcomes:
            break
        fleet.run(STEP_US / SECOND)
    assert old.outcomes == {1: ""}
    new = fleet.start_successor(old)
    fleet.run(0.7)
    fleet.end(old, new)
    fleet.run(8)
    assert [process.applied for process in fleet.processes if process.runs] == [[("c0", "drain")]] * directors


def test_a_process_that_is_superseded_refuses_orders_by_name_and_votes_no_more():
    fleet = Fleet(2)
    fleet.run(8)
    old = fleet.processes[0]
    fleet.start_successor(old)
    old.order(1, "c0")
    assert "another process" in old.outcomes[1]
    grants = dict(old.machine.parts.voter.grants)
    fleet.run(10)
    assert all(old.machine.parts.voter.grants[scope].token == grant.token for scope, grant in grants.items())
    assert not old.held()


@pytest.mark.parametrize("log_arrives", [True, False])
def test_a_predecessor_that_ends_leaves_a_voter_that_grants_nothing_too_early(log_arrives):
    fleet = Fleet(2)
    fleet.run(8)
    old, peer = fleet.processes
    fleet.loses = lambda sender, receiver: not log_arrives and sender == receiver
    new = fleet.start_successor(old)
    fleet.run(5)
    assert bool(new.machine.parts.voter.grants) is log_arrives
    fleet.loses = lambda sender, receiver: False
    fleet.end(old, new)
    fleet.run(LEASE_US / SECOND - 0.1)
    assert log_arrives or not (new.held() | peer.held())
    fleet.run(3)
    assert ORDERS_SCOPE in new.held() | peer.held()


def test_a_predecessor_takes_its_part_back_when_its_successor_ends():
    fleet = Fleet(2)
    fleet.run(8)
    old = fleet.processes[0]
    old.order(1, "c0")
    fleet.run(2)
    new = fleet.start_successor(old)
    fleet.run(1)
    new.runs = new.receives = False
    old.receives = True
    old.feed(events.SuccessorChanged(False))
    fleet.run(6)
    old.order(2, "c1")
    fleet.run(3)
    assert old.outcomes[2] == ""
    assert fleet.processes[1].applied == [("c0", "drain"), ("c1", "drain")]


def test_a_third_process_takes_over_what_the_second_one_has_committed():
    fleet = Fleet(2)
    fleet.run(8)
    first = fleet.processes[0]
    first.order(1, "c0")
    fleet.run(2)
    second = fleet.start_successor(first)
    fleet.run(6)
    second.order(1, "c1")
    fleet.run(2)
    assert second.outcomes == {1: ""}
    third = fleet.start_successor(second)
    fleet.end(first, second)
    fleet.run(1)
    fleet.end(second, third)
    fleet.run(8)
    assert third.applied == [("c0", "drain"), ("c1", "drain")] == fleet.processes[1].applied
