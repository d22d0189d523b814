"""The recovery state machine: its messages, its restored state, and a whole fleet in simulated time."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rookbend.coordination.actions import DeleteRow, PersistRow, SendDatagram, WriteLogLine
from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.core.model import Endpoint, MembershipChange, Purge
from rookbend.interface import AdmissionLimitsChanged, Member, MemberState, RequestArrived
from rookbend.protocol import gossip as wire
from rookbend.recovery import actions, events, machine, replicated_rows
from rookbend.recovery.config import RecoveryConfig, TrafficClassCost
from rookbend.recovery.failure_classification import FailureClass
from rookbend.recovery.startup_stages import Stage
from rookbend.recovery.state_validity import PersistedRow
from rookbend.testing.recovery_simulation import ORIGIN, PARENT, SECOND, Environment, RecoverySimulation
from tests.recovery_messages import NOW, hello

# Messages


def test_a_hello_fills_its_datagram_with_summaries_and_is_decoded_again():
    others = [wire.PeerSummary(i, 10**6, 10**6, 2, 10**6) for i in range(200)]
    data = wire.encode_hello(hello(3, origin=(4000, 200, 100, 50, 900), known=(2**30, 2**40)), others)
    assert len(data) <= wire.MAX_DATAGRAM_BYTES
    got = wire.decode(data)
    assert got.number == 3 and len(got.others) > 5 and got.others == tuple(others[: len(got.others)])


def test_batches_of_rows_resume_after_the_last_key_and_skip_rows_that_never_fit():
    held = sorted([(f"0/m{i:03}", b"x" * 40) for i in range(20)] + [("0/m0055", b"y" * 300)])
    received, after = [], ""
    for _ in range(50):
        batch = wire.decode(wire.encode_rows(1, 0, 5, 0, [r for r in held if r[0] > after]))
        received += batch.rows
        if not batch.more:
            break
        after = batch.rows[-1][0]
    assert received == [r for r in held if len(r[1]) < 100]


@given(st.binary(max_size=300))
@settings(max_examples=300, deadline=None)
def test_no_datagram_makes_the_machine_raise(data):
    d = director()
    for raw in (data, wire.MAGIC + data, wire.MAGIC + b"\x98" + data):
        assert all(type(a) in (SendDatagram, WriteLogLine) for a in d.feed(NOW, DatagramReceived(1, raw)))


@pytest.mark.parametrize(
    "message",
    [
        wire.RowRequest(wire.fleet_number("f"), 1, 5, 7, ""),
        hello(1, age_s=10**9),
        hello(1, digests=()),
        hello(1, boot=-1),
        wire.RowBatch(wire.fleet_number("other"), 1, 5, 0, (), False),
    ],
)
def test_messages_with_impossible_values_are_counted_and_dropped(message):
    d = director()
    data = wire.MAGIC + wire._encoder.encode(message)
    assert d.feed(NOW, DatagramReceived(1, data)) == [] and d.receiver.unreadable == 1


def director(count=4, persisted=(), boot=1, now=NOW, **more):
    config = RecoveryConfig(
        0,
        count,
        "f",
        7,
        (TrafficClassCost(True, 8.0, 1.0), TrafficClassCost(False, 1.0, 1.0), TrafficClassCost(False, 2.0, 4.0)),
        0,
        PARENT,
        ORIGIN,
        6 * SECOND,
        **more,
    )
    d = machine.RecoveryMachine(config, now, boot, 77, tuple(PersistedRow(*row) for row in persisted))
    d.start_actions = d.begin(now)
    return d


def entry(name, state=MemberState.READY, kind=0, started=0):
    return Endpoint(
        Member(int.from_bytes(name.encode(), "big"), kind=kind, state=state, started_us=started), name, ("127.0.0.1", 1)
    )


def listed(revision, *entries, complete=True):
    return events.MembershipReceived(MembershipChange(complete, revision, [*entries, entry("records", kind=ORIGIN)]))


def forwarded(found):
    return {e.name: e.member for a in found if type(a) is actions.ForwardMembership for e in a.change.endpoints}


def test_a_restored_drain_applies_until_a_list_at_least_as_new_lifts_it():
    drain = replicated_rows.encode_value((int(MemberState.DRAINING), 9))
    d = director(persisted=(("drain", "c0", drain, NOW - SECOND),))
    assert forwarded(d.feed(NOW, listed(7, entry("c0"))))["c0"].state is MemberState.DRAINING
    found = d.feed(NOW, listed(9, entry("c0")))
    assert forwarded(found)["c0"].state is MemberState.READY
    assert DeleteRow("drain", "c0") in found


def test_an_expired_drain_is_lifted_and_the_age_of_one_from_the_future_counts_from_now():
    drain = replicated_rows.encode_value((int(MemberState.DRAINING), 9))
    d = director(persisted=(("drain", "c0", drain, NOW + 3600 * SECOND), ("drain", "c1", drain, NOW - 700 * SECOND)))
    found = forwarded(d.feed(NOW, listed(7, entry("c0"), entry("c1"))))
    assert found["c0"].state is MemberState.DRAINING and found["c1"].state is MemberState.READY
    later = NOW + 601 * SECOND
    assert forwarded(d.feed(later, TimerExpired()))["c0"].state is MemberState.READY


def test_all_caches_count_as_cold_until_it_is_known_that_only_this_director_restarted():
    d = director()
    found = forwarded(d.feed(NOW, listed(1, entry("c0"), entry("c1", started=NOW + 5))))
    assert found["c0"].started_us == NOW and found["c1"].started_us == NOW + 5 and found["records"].started_us == 0
    for i in (1, 2, 3):
        found = forwarded(d.feed(NOW + SECOND, DatagramReceived(i, wire.encode(hello(i)))))
        assert bool(found) == (i == 3)
    assert found["c0"].started_us == 0 and d.sequence.stage is Stage.SERVING, "at once, without a heartbeat"


def test_restored_purges_apply_at_once_unless_expired():
    d = director(
        persisted=(
            ("purge", "o ff", replicated_rows.encode_value((NOW - SECOND) // 1000), NOW - SECOND),
            ("purge", "g 17", replicated_rows.encode_value(1), NOW - 60 * SECOND),
        )
    )
    applied = [a.purge for a in d.start_actions if type(a) is actions.ApplyPurge]
    assert applied == [Purge(0xFF, 0, (NOW - SECOND) // 1000 * 1000)]


def test_a_drain_reported_by_one_peer_is_ignored_and_by_two_accepted():
    d = director()
    d.feed(NOW, listed(1, entry("c0")))
    row = ("c0", replicated_rows.encode_value((int(MemberState.DRAINING), 5)))
    for i in (1, 2):
        d.feed(NOW, DatagramReceived(i, wire.encode(hello(i, incarnation=i))))
        batch = wire.RowBatch(wire.fleet_number("f"), i, i, wire.ROW_KINDS.index("drain"), (row,), False)
        found = forwarded(d.feed(NOW, DatagramReceived(i, wire.encode(batch))))
        assert bool(found) == (i == 2)
    assert found["c0"].state is MemberState.DRAINING


def test_the_boot_number_is_raised_above_the_one_that_a_peer_knows():
    d = director(boot=3)
    found = d.feed(NOW, DatagramReceived(1, wire.encode(hello(1, known=(40, 9)))))
    assert actions.RaiseBootNumber(41) in found and d.identity.boot_number == 41
    assert not any(
        type(a) is actions.RaiseBootNumber
        for a in d.feed(NOW, DatagramReceived(1, wire.encode(hello(1, heartbeat=2, known=(2**40, 9)))))
    )


def test_an_order_of_an_older_incarnation_does_not_win_against_a_newer_one():
    old = director(boot=2)
    value = next(a.value for a in old.feed(NOW, events.OrderRequested("c0", "drain", "kim")) if type(a) is PersistRow)
    d = director(boot=5)
    (persisted,) = d.feed(NOW, events.OrderRequested("c0", "ready", "kim"))
    assert d.rows.orders.get("0/c0") is None, "an order neither applies nor is replicated before it is durable"
    d.feed(NOW, events.OrderPersisted(persisted.key, persisted.value))
    d.feed(NOW, DatagramReceived(1, wire.encode(hello(1))))
    batch = wire.RowBatch(wire.fleet_number("f"), 1, 5, 0, (("0/c0", value),), False)
    assert d.feed(NOW, DatagramReceived(1, wire.encode(batch))) == []
    assert d.rows.orders.get("0/c0")[0] == "ready"


def test_the_rate_of_datagrams_is_bounded_however_many_requests_arrive():
    d, sent = director(count=40), 0
    d.feed(NOW, DatagramReceived(1, wire.encode(hello(1))))
    request = wire.encode(wire.RowRequest(wire.fleet_number("f"), 1, 5, 0, ""))
    for i in range(1000):
        sent += sum(type(a) is SendDatagram for a in d.feed(NOW + i * 1000, DatagramReceived(1, request)))
    assert sent <= machine.DATAGRAM_BURST + machine.DATAGRAMS_PER_S + 1 and d.actions.suppressed > 900


# The router with admission limits


def test_the_router_rejects_a_closed_class_at_once_with_spread_retry_times():
    from rookbend import Router, Settings
    from rookbend.interface import Reject, TrafficClass

    classes = tuple(TrafficClass(n, 600_000, 2_000_000) for n in ("a", "b"))
    router = Router(
        Settings(classes=classes, allows_retry_after=True, max_retry_after_us=500_000, max_requests_in_flight=100),
        seed=3,
    )
    router.handle(0, AdmissionLimitsChanged(frozenset({1}), 5.0))
    waits = []
    for i in range(1, 40):
        (action,) = router.handle(i, RequestArrived(i, 1, 7, 2_000_000))
        assert type(action) is Reject
        waits.append(action.retry_after_us)
    assert min(waits) >= 250_000 and max(waits) <= 500_000 and len(set(waits)) > 20


# A fleet in simulated time


def test_a_fleet_of_any_size_returns_without_overloading_its_origin():
    for count in (3, 40):
        sim = RecoverySimulation(count, environment=Environment(requests_per_s=500))
        sim.power_on()
        sim.run(15 * SECOND)
        sim.power_off()
        sim.demand.go_cold()
        sim.origin.collapses, sim.origin.peak_load_ratio = 0, 0.0
        sim.run(SECOND)
        sim.power_on()
        sim.run(45 * SECOND)
        assert sim.stages() == {"serving": count} and sim.origin.collapses == 0 and sim.origin.peak_load_ratio < 0.95
        datagrams = max(sim.datagrams.values()) / count
        assert datagrams <= machine.DATAGRAMS_PER_S + machine.DATAGRAM_BURST


def test_the_same_load_without_recovery_overloads_the_origin():
    sim = RecoverySimulation(40, environment=Environment(requests_per_s=500), recovery=False)
    sim.power_on()
    sim.run(20 * SECOND)
    assert sim.origin.collapses > 0, "the load of the test above must be able to overload the origin"


def test_a_single_restart_in_a_healthy_fleet_is_ready_at_once():
    sim = RecoverySimulation(10, environment=Environment(requests_per_s=100))
    sim.power_on()
    sim.run(40 * SECOND)
    sim.power_off(3)
    sim.run(2 * SECOND)
    sim.power_on(3, spread_us=1)
    sim.run(SECOND)
    assert sim.nodes[3].machine.classifier.current is FailureClass.THIS_DIRECTOR and sim.stages() == {"serving": 10}


class FleetMachine(RuleBasedStateMachine):
    """Power losses, partitions, frozen directors, old disks, drains and orders, in any sequence."""

    @initialize(count=st.sampled_from([3, 5, 9]), seed=st.integers(0, 99), loss=st.sampled_from([0.0, 0.3]))
    def begin(self, count, seed, loss):
        self.sim = RecoverySimulation(
            count, seed, Environment(requests_per_s=20), loss=loss, duplication=loss, delay_us=20_000
        )
        self.random = random.Random(seed)
        self.sim.power_on()
        self.sim.run(2 * SECOND)
        self.disk_copies, self.confirmed, self.drained = {}, {}, set()

    def random_directors(self, ratio):
        return self.random.sample(range(self.sim.count), max(1, int(ratio * self.sim.count)))

    @rule(ratio=st.sampled_from([0.3, 1.0]), outage_s=st.sampled_from([1, 5]))
    def lose_power(self, ratio, outage_s):
        chosen = self.random_directors(ratio)
        self.sim.power_off(*chosen)
        self.sim.run(outage_s * SECOND)
        self.sim.power_on(*chosen)

    @rule(for_s=st.sampled_from([1, 3]))
    def advance_time(self, for_s):
        self.sim.run(for_s * SECOND)

    @rule()
    def partition(self):
        half = self.sim.count // 2
        self.sim.cut_links = {
            (a, b) for a in range(self.sim.count) for b in range(self.sim.count) if (a < half) != (b < half)
        }

    @rule()
    def heal(self):
        self.sim.cut_links = set()

    @rule(frozen=st.booleans())
    def freeze(self, frozen):
        self.sim.freeze(0, frozen)

    @rule(is_down=st.booleans())
    def coordinator(self, is_down):
        self.sim.coordinator = not is_down

    @rule(number=st.sampled_from([0, 1, 2]))
    def back_up_disk(self, number):
        self.disk_copies[number] = self.sim.copy_disk(number)

    @rule(number=st.sampled_from([0, 1, 2]))
    def order(self, number):
        node = self.sim.nodes[number]
        if node.machine is not None and not node.is_frozen:
            order = self.random.choice(["drain", "maintain", "ready"])
            self.sim.order(number, "c1", order)
            self.confirmed[number] = order

    @rule(number=st.sampled_from([1, 2]))
    def restore_old_disk(self, number):
        """An old copy of the disk is restored: only the peers hold the orders given since."""
        if number in self.disk_copies and self.sim.nodes[number].machine is not None:
            self.sim.run(3 * SECOND)
            self.sim.power_off(number)
            self.sim.restore_disk(number, self.disk_copies[number])
            self.confirmed.pop(number, None)  # peers may hold a newer order, or may not have received this one
            self.sim.power_on(number)

    @rule()
    def drain(self):
        if self.sim.coordinator and all(n.machine is not None and not n.is_frozen for n in self.sim.nodes):
            self.sim.drain("c0")
            self.drained = {n.number for n in self.sim.nodes}

    @invariant()
    def no_pair_of_boot_number_and_incarnation_repeats(self):
        pairs = [pair for node in self.sim.nodes for pair in [(node.number, *i) for i in node.incarnations]]
        assert len(pairs) == len(set(pairs))

    @invariant()
    def a_drain_stays_in_force(self):
        for number in self.drained:
            held = self.sim.nodes[number].members.get("c0")
            assert held is None or held.member.state is not MemberState.READY, number

    @invariant()
    def a_confirmed_order_is_kept_over_any_restart(self):
        for number, order in self.confirmed.items():
            m = self.sim.nodes[number].machine
            assert m is None or m.rows.orders.get(f"{number}/c1")[0] == order

    def teardown(self):
        """Once all faults have ended, every director reaches the stage SERVING."""
        if not hasattr(self, "sim"):
            return
        sim = self.sim
        sim.cut_links, sim.coordinator, sim.loss = set(), True, 0.0
        sim.freeze(0, False)
        sim.power_on()
        for _ in range(20):
            sim.run(5 * SECOND)
            if sim.stages() == {"serving": sim.count}:
                break
        assert sim.stages() == {"serving": sim.count}, [
            (n.number, n.machine.sequence.stage.name, n.machine.sequence.waits_for) for n in sim.nodes if n.machine
        ]
        numbers = [b for b, _ in sim.nodes[0].incarnations]
        assert numbers == sorted(set(numbers)), "boot numbers grow while the disk is not replaced"


FleetMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=16, deadline=None)
TestFleet = FleetMachine.TestCase
