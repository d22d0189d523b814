"""Orders for the fleet reach the leader despite lost datagrams, late voters and a change of leader."""

import random

import pytest

from rookbend.coordination.actions import SendDatagram
from rookbend.leases.events import MoveRequested
from rookbend.leases.leader_tasks import ORDERS_SCOPE
from rookbend.protocol.lease_messages import OrderOutcome, SubmitOrder
from rookbend.protocol.leases import decode
from rookbend.testing.lease_simulation import LeaseSimulation
from rookbend.testing.lease_simulation_parts import SECOND_US

DIRECTORS = 4
STEP_US = 20_000
LONGEST_ELECTION_US = 20 * SECOND_US
ORDER_TIMEOUT_US = 4 * SECOND_US + 2 * STEP_US


def run_until(sim, condition, limit_us):
    """Advances simulated time until `condition` returns a true value, and returns that value."""
    end_us = sim.now_us + limit_us
    while not (value := condition()):
        assert sim.now_us < end_us, f"condition not met within {limit_us} us"
        sim.run(STEP_US)
    return value


def leader_and_another(sim):
    (leader,) = run_until(sim, lambda: sim.holders(ORDERS_SCOPE), LONGEST_ELECTION_US)
    return leader, next(number for number in range(DIRECTORS) if number != leader)


def outcome(sim, number, order_id):
    """Returns the error that the operator gets, which is empty if the order was committed."""
    outcomes = sim.directors[number].order_outcomes
    run_until(sim, lambda: order_id in outcomes, ORDER_TIMEOUT_US)
    return outcomes[order_id]


def drop_next(sim, message_type, count):
    """Drops the next `count` datagrams with a message of that type; returns a list with the number still to drop."""
    send = sim._handlers[SendDatagram]
    remaining = [count]

    def send_or_drop(director, action):
        if remaining[0] and isinstance(decode(action.data), message_type):
            remaining[0] -= 1
        else:
            send(director, action)

    sim._handlers[SendDatagram] = send_or_drop
    return remaining


@pytest.mark.parametrize("message_type", [SubmitOrder, OrderOutcome])
@pytest.mark.parametrize("lost", [1, 2, 3, 4])
def test_order_is_resent_until_its_outcome_arrives(message_type, lost):
    # Guards against sending an order only once: one lost datagram made it fail although the leader was available.
    sim = LeaseSimulation(DIRECTORS)
    sim.start()
    _, other = leader_and_another(sim)
    sim.run(5 * SECOND_US)
    remaining = drop_next(sim, message_type, lost)
    order_id = sim.order(other, "c1", "maintain")
    assert outcome(sim, other, order_id) == "" and remaining == [0]
    sim.run(5 * SECOND_US)
    assert all(
        director.applied_orders == [("c1", "maintain")] for director in sim.directors
    ), "the order is applied once"


@pytest.mark.parametrize("loss, delay_us", [(0.0, 30_000), (0.1, 2_000)])
@pytest.mark.parametrize("seed", range(25))
def test_order_right_after_the_first_election_is_committed(seed, loss, delay_us):
    # Guards against orders that fail because the leader has only just been elected and the network loses datagrams.
    sim = LeaseSimulation(DIRECTORS, seed=seed, loss=loss, delay_us=delay_us)
    generator = random.Random(seed)
    for number in generator.sample(range(DIRECTORS), DIRECTORS):
        sim.start(number)
        sim.run(generator.randrange(SECOND_US // 4))
    _, other = leader_and_another(sim)
    assert outcome(sim, other, sim.order(other, "c1", "maintain")) == ""
    assert not sim.violations


@pytest.mark.parametrize("seed", range(10))
def test_order_during_a_change_of_leader_is_committed_by_the_next_leader(seed):
    sim = LeaseSimulation(DIRECTORS, seed=seed)
    sim.start()
    leader, other = leader_and_another(sim)
    sim.run(5 * SECOND_US)
    successor = next(number for number in range(DIRECTORS) if number not in (leader, other))
    order_id = sim.order(other, "c1", "maintain")
    sim.feed(sim.directors[leader], MoveRequested(ORDERS_SCOPE, successor))
    assert outcome(sim, other, order_id) == "" and not sim.violations
