"""Fleets of lease state machines in simulated time, with lost, late and duplicate datagrams, cut links and restarts.

Checks that a scope has at most one holder at a time, that tokens increase, that orders are applied once and in order,
and that every scope has a holder again once the faults are over.
"""

import pytest

from rookbend.coordination.events import DatagramReceived
from rookbend.leases import events
from rookbend.leases.leader_tasks import REPORT_SCOPE
from rookbend.protocol import lease_messages as messages
from rookbend.protocol import leases as codec
from rookbend.testing.lease_simulation import LeaseSimulation
from rookbend.testing.lease_simulation_parts import SECOND_US

ORDERS, CHECKS = 0, 16


def fleet(count=5, **options):
    sim = LeaseSimulation(count, **options)
    sim.start()
    sim.run(8 * SECOND_US)
    assert not sim.leaderless_scopes() and not sim.violations
    return sim


@pytest.mark.parametrize("count", [3, 5, 40])
def test_holder_frozen_for_three_leases_is_replaced_and_violates_no_invariant(count):
    sim = fleet(count, loss=0.05, duplication=0.1, drift=0.02, seed=count)
    for scope in (ORDERS, REPORT_SCOPE, CHECKS):
        holder = sim.holders(scope)[0]
        sim.freeze(holder)
        sim.run(9 * SECOND_US)
        assert sim.holders(scope) and sim.holders(scope) != [holder]
        sim.freeze(holder, False)
        sim.run(3 * SECOND_US)
        sim.check()
        assert not sim.violations and len(sim.holders(scope)) <= 1
    sim.run(3 * SECOND_US)
    assert not sim.leaderless_scopes()


def test_committed_order_survives_the_loss_of_its_writer_and_of_a_voters_storage():
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
    assert [director.applied_orders for director in sim.directors] == [[("c1", "drain"), ("c2", "maintain")]] * 5
    assert not sim.violations


def test_without_a_majority_no_scope_is_held_and_orders_fail_with_a_reason():
    sim = fleet(3, seed=4)
    sim.kill(0, 1)
    sim.run(4 * SECOND_US)
    assert sim.leaderless_scopes() == list(sim.scopes())
    order_id = sim.order(2, "c1", "drain")
    sim.run(12 * SECOND_US)
    assert (
        "owns" in sim.directors[2].order_outcomes[order_id]
        or "can't be told" in sim.directors[2].order_outcomes[order_id]
    )
    assert not sim.directors[2].applied_orders


def test_shutdown_hands_over_all_scopes_at_once():
    sim = fleet(5, seed=5)
    holder = max(range(5), key=lambda i: sum(i in sim.holders(s) for s in sim.scopes()))
    held = [s for s in sim.scopes() if sim.holders(s) == [holder]]
    sim.feed(sim.directors[holder], events.ShutdownRequested())
    sim.run(300_000)
    assert held and all(sim.holders(s) and sim.holders(s) != [holder] for s in held)


def test_scope_finds_a_holder_if_the_successor_dies_during_the_hand_over():
    sim = fleet(5, seed=6)
    holder = sim.holders(CHECKS)[0]
    successor = next(
        number for number in sim.directors[holder].machine.parts.placement.ranking(CHECKS) if number != holder
    )
    sim.kill(successor)
    sim.feed(sim.directors[holder], events.ShutdownRequested())
    sim.kill(holder)
    sim.run(10 * SECOND_US)
    assert not sim.leaderless_scopes() and not sim.violations


@pytest.mark.parametrize("direction", ["receives only", "sends only"])
def test_holder_cut_off_in_one_direction_loses_its_scopes(direction):
    sim = fleet(5, seed=7)
    holder = sim.holders(ORDERS)[0]
    for other in range(5):
        if other != holder:
            sim.network.cut_links.add((holder, other) if direction == "receives only" else (other, holder))
    sim.run(9 * SECOND_US)
    sim.check()
    assert not sim.violations and sim.holders(ORDERS) and sim.holders(ORDERS) != [holder]


def test_200_scopes_find_holders_after_the_largest_holder_dies():
    sim = LeaseSimulation(5, 8, shards=200, tasks=frozenset({"checks"}))
    sim.start()
    sim.run(12 * SECOND_US)
    assert not sim.leaderless_scopes()
    largest = max(range(5), key=lambda i: sum(i in sim.holders(s) for s in sim.scopes()))
    sim.kill(largest)
    sim.run(10 * SECOND_US)
    assert not sim.leaderless_scopes() and not sim.violations


def test_voter_change_reloaded_on_half_of_the_directors_makes_no_second_holder():
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
    assert all(director.machine.parts.voters.quorums == (new,) for director in sim.directors)
    sim.kill(0, 1, 2)
    sim.run(10 * SECOND_US)
    assert not sim.leaderless_scopes(), "the new voters alone are a majority"


def test_voters_whose_storage_fails_make_no_new_grants():
    sim = fleet(3, seed=10)
    for director in sim.directors:
        director.storage_fails = True
    holder = sim.holders(CHECKS)[0]
    sim.kill(holder)
    sim.run(10 * SECOND_US)
    assert CHECKS in sim.leaderless_scopes()
    for director in sim.directors:
        director.storage_fails = False
    sim.run(8 * SECOND_US)
    assert not sim.leaderless_scopes() and not sim.violations


def test_faulty_voter_can_cause_two_holders_but_receivers_reject_the_older_token():
    """A voter that grants every request: docs/OWNERSHIP.md describes which guarantees still hold."""
    sim = fleet(3, seed=11)
    faulty = sim.directors[2].machine.parts.voter
    correct_request = type(faulty).request

    class FaultyVoter(type(faulty)):
        __slots__ = ()

        def request(self, now, scope, holder, token):
            return correct_request(self, now, scope, holder, token)._replace(granted=True, token=token)

    faulty.__class__ = FaultyVoter
    sim.network.cut_links = {(0, 1), (1, 0)}
    sim.run(20 * SECOND_US)
    sim.network.cut_links = set()
    sim.run(5 * SECOND_US)
    assert not any("ledger" in violation for violation in sim.violations)
    assert any(
        "held by directors" in violation for violation in sim.violations
    ), "a faulty voter defeats the lease alone"


def test_invalid_datagrams_are_counted_and_change_no_state():
    sim = fleet(3, seed=12)
    machine = sim.directors[0].machine
    fleet_hash = machine.parts.messenger.header[0]
    before, now = machine.describe(sim.clock(sim.directors[0])), sim.clock(sim.directors[0])
    good = codec.encode(messages.LeaseRelease(fleet_hash, 1, 5, ((0, 1, -1),)))
    bad = [
        b"",
        b"RO",
        b"RO\x01\xff",
        b"RO\x02" + good[3:],
        good[:-1],
        good + b"\x00" * 300,
        codec.encode(messages.LeaseRelease(fleet_hash + 1, 1, 5, ())),
        codec.encode(messages.LeaseRelease(fleet_hash, 2, 5, ())),
        codec.encode(messages.LeaseRequest(fleet_hash, 1, 5, 0, 0, ((0, -5, 0),))),
    ]
    for data in bad:
        machine.feed(now, DatagramReceived(1, data))
    assert machine.unusable_datagrams == len(bad) and machine.describe(now) == before
    with pytest.raises(codec.LeaseProtocolError):
        codec.decode(bad[2])
