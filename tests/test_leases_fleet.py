"""Fleets of ownership machines in simulated time: whatever is lost, late, doubled, cut, stopped, started again,
one owner at a time, tokens that grow, orders once and in order; and an owner again once all is well."""

import pytest

from rookbend.coordination.events import DatagramReceived
from rookbend.leases import events
from rookbend.leases.leader_tasks import REPORT_SCOPE
from rookbend.protocol import lease_messages as messages
from rookbend.protocol import leases as wire
from rookbend.testing.lease_simulation import LeaseSimulation
from rookbend.testing.lease_simulation_parts import SECOND_US

ORDERS, CHECKS = 0, 16


def fleet(count=5, **more):
    sim = LeaseSimulation(count, **more)
    sim.start()
    sim.run(8 * SECOND_US)
    assert not sim.leaderless_scopes() and not sim.violations
    return sim


@pytest.mark.parametrize("count", [3, 5, 40])
def test_an_owner_that_stands_still_for_three_leases_is_replaced_and_does_no_harm(count):
    sim = fleet(count, loss=0.05, duplication=0.1, drift=0.02, seed=count)
    for scope in (ORDERS, REPORT_SCOPE, CHECKS):
        owner = sim.holders(scope)[0]
        sim.freeze(owner)
        sim.run(9 * SECOND_US)
        assert sim.holders(scope) and sim.holders(scope) != [owner]
        sim.freeze(owner, False)
        sim.run(3 * SECOND_US)
        sim.check()
        assert not sim.violations and len(sim.holders(scope)) <= 1
    sim.run(3 * SECOND_US)
    assert not sim.leaderless_scopes()


def test_an_order_stands_at_a_majority_and_outlives_its_writer_and_a_lost_disk():
    sim = fleet(5, voters=3, seed=3)
    writer = sim.holders(ORDERS)[0]
    first = sim.order((writer + 1) % 5, "c1", "drain")
    sim.run(SECOND_US)
    assert sim.directors[(writer + 1) % 5].order_outcomes == {first: ""}
    lost = sorted(sim.voters)[0]
    sim.kill(writer, lost)
    sim.directors[lost].storage.clear()
    sim.start(lost)
    sim.run(12 * SECOND_US)
    second = sim.order(lost, "c2", "maintain")
    sim.run(12 * SECOND_US)
    assert sim.directors[lost].order_outcomes == {second: ""}
    sim.start(writer)
    sim.run(6 * SECOND_US)
    assert [n.applied_orders for n in sim.directors] == [[("c1", "drain"), ("c2", "maintain")]] * 5
    assert not sim.violations


def test_without_a_majority_nobody_owns_and_orders_are_refused_by_name():
    sim = fleet(3, seed=4)
    sim.kill(0, 1)
    sim.run(4 * SECOND_US)
    assert sim.leaderless_scopes() == list(sim.scopes())
    asked = sim.order(2, "c1", "drain")
    sim.run(12 * SECOND_US)
    assert "owns" in sim.directors[2].order_outcomes[asked] or "can't be told" in sim.directors[2].order_outcomes[asked]
    assert not sim.directors[2].applied_orders


def test_sigterm_hands_over_at_once():
    sim = fleet(5, seed=5)
    owner = max(range(5), key=lambda i: sum(i in sim.holders(s) for s in sim.scopes()))
    mine = [s for s in sim.scopes() if sim.holders(s) == [owner]]
    sim.feed(sim.directors[owner], events.ShutdownRequested())
    sim.run(300_000)
    assert mine and all(sim.holders(s) and sim.holders(s) != [owner] for s in mine)


def test_a_successor_that_dies_with_the_hand_over_leaves_no_scope_behind():
    sim = fleet(5, seed=6)
    owner = sim.holders(CHECKS)[0]
    heir = next(p for p in sim.directors[owner].machine.parts.placement.ranking(CHECKS) if p != owner)
    sim.kill(heir)
    sim.feed(sim.directors[owner], events.ShutdownRequested())
    sim.kill(owner)
    sim.run(10 * SECOND_US)
    assert not sim.leaderless_scopes() and not sim.violations


@pytest.mark.parametrize("way", ["hears", "is heard"])
def test_an_owner_that_is_cut_off_one_way_loses_its_scopes_and_knows_it(way):
    sim = fleet(5, seed=7)
    owner = sim.holders(ORDERS)[0]
    for other in range(5):
        if other != owner:
            sim.network.cut_links.add((owner, other) if way == "hears" else (other, owner))
    sim.run(9 * SECOND_US)
    sim.check()
    assert not sim.violations and sim.holders(ORDERS) and sim.holders(ORDERS) != [owner]


def test_two_hundred_scopes_find_owners_after_their_largest_owner_dies():
    sim = LeaseSimulation(5, 8, shards=200, tasks=frozenset({"checks"}))
    sim.start()
    sim.run(12 * SECOND_US)
    assert not sim.leaderless_scopes()
    largest = max(range(5), key=lambda i: sum(i in sim.holders(s) for s in sim.scopes()))
    sim.kill(largest)
    sim.run(10 * SECOND_US)
    assert not sim.leaderless_scopes() and not sim.violations


def test_a_reload_of_half_of_the_directors_to_other_voters_makes_no_second_owner():
    sim = fleet(6, voters=3, seed=9)
    new = frozenset({3, 4, 5})
    for number in (0, 4, 5):
        sim.feed(sim.directors[number], events.VotersChanged(new))
    sim.run(10 * SECOND_US)
    sim.check()
    assert not sim.violations and not sim.leaderless_scopes()
    for number in (1, 2, 3):
        sim.feed(sim.directors[number], events.VotersChanged(new))
    sim.run(10 * SECOND_US)
    assert not sim.violations and not sim.leaderless_scopes()
    assert all(n.machine.parts.voters.quorums == (new,) for n in sim.directors)
    sim.kill(0, 1, 2)
    sim.run(10 * SECOND_US)
    assert not sim.leaderless_scopes(), "the new voters alone are enough now"


def test_voters_whose_disks_refuse_grant_nothing_new():
    sim = fleet(3, seed=10)
    for node in sim.directors:
        node.storage_fails = True
    owner = sim.holders(CHECKS)[0]
    sim.kill(owner)
    sim.run(10 * SECOND_US)
    assert CHECKS in sim.leaderless_scopes()
    for node in sim.directors:
        node.storage_fails = False
    sim.run(8 * SECOND_US)
    assert not sim.leaderless_scopes() and not sim.violations


def test_a_liar_among_the_voters_can_make_two_owners_but_no_receiver_takes_the_older():
    """What holds and what does not where a voter says yes to everybody: docs/OWNERSHIP.md."""
    sim = fleet(3, seed=11)
    liar = sim.directors[2].machine.parts.voter
    honest = type(liar).request

    class Liar(type(liar)):
        __slots__ = ()

        def request(self, now, scope, holder, token):
            return honest(self, now, scope, holder, token)._replace(granted=True, token=token)

    liar.__class__ = Liar
    sim.network.cut_links = {(0, 1), (1, 0)}
    sim.run(20 * SECOND_US)
    sim.network.cut_links = set()
    sim.run(5 * SECOND_US)
    assert not any("ledger" in wrong for wrong in sim.violations)
    assert any("owned by" in wrong for wrong in sim.violations), "the lease alone does not hold against a liar"


def test_bytes_that_can_t_be_are_counted_and_change_nothing():
    sim = fleet(3, seed=12)
    m = sim.directors[0].machine
    fleet_hash = m.parts.messenger.header[0]
    before, now = m.describe(sim.clock(sim.directors[0])), sim.clock(sim.directors[0])
    good = wire.encode(messages.LeaseRelease(fleet_hash, 1, 5, ((0, 1, -1),)))
    bad = [
        b"",
        b"RO",
        b"RO\x01\xff",
        b"RO\x02" + good[3:],
        good[:-1],
        good + b"\x00" * 300,
        wire.encode(messages.LeaseRelease(fleet_hash + 1, 1, 5, ())),
        wire.encode(messages.LeaseRelease(fleet_hash, 2, 5, ())),
        wire.encode(messages.LeaseRequest(fleet_hash, 1, 5, 0, 0, ((0, -5, 0),))),
    ]
    for data in bad:
        m.feed(now, DatagramReceived(1, data))
    assert m.unusable_datagrams == len(bad) and m.describe(now) == before
    with pytest.raises(wire.LeaseProtocolError):
        wire.decode(bad[2])
