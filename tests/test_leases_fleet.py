"""Fleets of ownership machines in simulated time: whatever is lost, late, doubled, cut, stopped, started again,
one owner at a time, tokens that grow, orders once and in order; and an owner again once all is well."""

import pytest

from rookbend.coordination.events import DatagramReceived
from rookbend.leases import events
from rookbend.leases.leader_tasks import REPORT_SCOPE
from rookbend.protocol import lease_messages as messages
from rookbend.protocol import leases as wire
from rookbend.testing.lease_simulation import SECOND, OwnerSim

ORDERS, CHECKS = 0, 16


def fleet(count=5, **more):
    sim = OwnerSim(count, **more)
    sim.start()
    sim.run(8 * SECOND)
    assert not sim.ownerless() and not sim.wrong
    return sim


@pytest.mark.parametrize("count", [3, 5, 40])
def test_an_owner_that_stands_still_for_three_leases_is_replaced_and_does_no_harm(count):
    sim = fleet(count, loss=0.05, double=0.1, drift=0.02, seed=count)
    for scope in (ORDERS, REPORT_SCOPE, CHECKS):
        owner = sim.owners(scope)[0]
        sim.freeze(owner)
        sim.run(9 * SECOND)
        assert sim.owners(scope) and sim.owners(scope) != [owner]
        sim.freeze(owner, False)
        sim.run(3 * SECOND)
        sim.check()
        assert not sim.wrong and len(sim.owners(scope)) <= 1
    sim.run(3 * SECOND)
    assert not sim.ownerless()


def test_an_order_stands_at_a_majority_and_outlives_its_writer_and_a_lost_disk():
    sim = fleet(5, voters=3, seed=3)
    writer = sim.owners(ORDERS)[0]
    first = sim.order((writer + 1) % 5, "c1", "drain")
    sim.run(SECOND)
    assert sim.nodes[(writer + 1) % 5].done == {first: ""}
    lost = sorted(sim.voters)[0]
    sim.kill(writer, lost)
    sim.nodes[lost].disk.clear()
    sim.start(lost)
    sim.run(12 * SECOND)
    second = sim.order(lost, "c2", "maintain")
    sim.run(12 * SECOND)
    assert sim.nodes[lost].done == {second: ""}
    sim.start(writer)
    sim.run(6 * SECOND)
    assert [n.stood for n in sim.nodes] == [[("c1", "drain"), ("c2", "maintain")]] * 5
    assert not sim.wrong


def test_without_a_majority_nobody_owns_and_orders_are_refused_by_name():
    sim = fleet(3, seed=4)
    sim.kill(0, 1)
    sim.run(4 * SECOND)
    assert sim.ownerless() == list(sim.scopes())
    asked = sim.order(2, "c1", "drain")
    sim.run(12 * SECOND)
    assert "owns" in sim.nodes[2].done[asked] or "can't be told" in sim.nodes[2].done[asked]
    assert not sim.nodes[2].stood


def test_sigterm_hands_over_at_once():
    sim = fleet(5, seed=5)
    owner = max(range(5), key=lambda i: sum(i in sim.owners(s) for s in sim.scopes()))
    mine = [s for s in sim.scopes() if sim.owners(s) == [owner]]
    sim._feed(sim.nodes[owner], events.ShutdownRequested())
    sim.run(300_000)
    assert mine and all(sim.owners(s) and sim.owners(s) != [owner] for s in mine)


def test_a_successor_that_dies_with_the_hand_over_leaves_no_scope_behind():
    sim = fleet(5, seed=6)
    owner = sim.owners(CHECKS)[0]
    heir = next(p for p in sim.nodes[owner].machine.parts.placement.ranking(CHECKS) if p != owner)
    sim.kill(heir)
    sim._feed(sim.nodes[owner], events.ShutdownRequested())
    sim.kill(owner)
    sim.run(10 * SECOND)
    assert not sim.ownerless() and not sim.wrong


@pytest.mark.parametrize("way", ["hears", "is heard"])
def test_an_owner_that_is_cut_off_one_way_loses_its_scopes_and_knows_it(way):
    sim = fleet(5, seed=7)
    owner = sim.owners(ORDERS)[0]
    for other in range(5):
        if other != owner:
            sim.cut.add((owner, other) if way == "hears" else (other, owner))
    sim.run(9 * SECOND)
    sim.check()
    assert not sim.wrong and sim.owners(ORDERS) and sim.owners(ORDERS) != [owner]


def test_two_hundred_scopes_find_owners_after_their_largest_owner_dies():
    sim = OwnerSim(5, 8, shards=200, duties=frozenset({"checks"}))
    sim.start()
    sim.run(12 * SECOND)
    assert not sim.ownerless()
    largest = max(range(5), key=lambda i: sum(i in sim.owners(s) for s in sim.scopes()))
    sim.kill(largest)
    sim.run(10 * SECOND)
    assert not sim.ownerless() and not sim.wrong


def test_a_reload_of_half_of_the_directors_to_other_voters_makes_no_second_owner():
    sim = fleet(6, voters=3, seed=9)
    new = frozenset({3, 4, 5})
    for number in (0, 4, 5):
        sim._feed(sim.nodes[number], events.VotersChanged(new))
    sim.run(10 * SECOND)
    sim.check()
    assert not sim.wrong and not sim.ownerless()
    for number in (1, 2, 3):
        sim._feed(sim.nodes[number], events.VotersChanged(new))
    sim.run(10 * SECOND)
    assert not sim.wrong and not sim.ownerless()
    assert all(n.machine.parts.voters.quorums == (new,) for n in sim.nodes)
    sim.kill(0, 1, 2)
    sim.run(10 * SECOND)
    assert not sim.ownerless(), "the new voters alone are enough now"


def test_voters_whose_disks_refuse_grant_nothing_new():
    sim = fleet(3, seed=10)
    for node in sim.nodes:
        node.refuses = True
    owner = sim.owners(CHECKS)[0]
    sim.kill(owner)
    sim.run(10 * SECOND)
    assert CHECKS in sim.ownerless()
    for node in sim.nodes:
        node.refuses = False
    sim.run(8 * SECOND)
    assert not sim.ownerless() and not sim.wrong


def test_a_liar_among_the_voters_can_make_two_owners_but_no_receiver_takes_the_older():
    """What holds and what does not where a voter says yes to everybody: docs/OWNERSHIP.md."""
    sim = fleet(3, seed=11)
    liar = sim.nodes[2].machine.parts.voter
    honest = type(liar).request

    class Liar(type(liar)):
        __slots__ = ()

        def request(self, now, scope, holder, token):
            return honest(self, now, scope, holder, token)._replace(granted=True, token=token)

    liar.__class__ = Liar
    sim.cut = {(0, 1), (1, 0)}
    sim.run(20 * SECOND)
    sim.cut = set()
    sim.run(5 * SECOND)
    assert not any("ledger" in wrong for wrong in sim.wrong)
    assert any("owned by" in wrong for wrong in sim.wrong), "the lease alone does not hold against a liar"


def test_bytes_that_can_t_be_are_counted_and_change_nothing():
    sim = fleet(3, seed=12)
    m = sim.nodes[0].machine
    fleet_hash = m.parts.messenger.header[0]
    before, now = m.describe(sim.clock(sim.nodes[0])), sim.clock(sim.nodes[0])
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
