"""An order for the fleet reaches the leader through lost datagrams, late voters and a change of leader."""

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


def until(sim, holds, limit_us):
    """Lets time pass until `holds` returns something true, and returns it."""
    end_us = sim.now_us + limit_us
    while not (found := holds()):
        assert sim.now_us < end_us, "never"
        sim.run(STEP_US)
    return found


def leader_and_another(sim):
    (leader,) = until(sim, lambda: sim.holders(ORDERS_SCOPE), LONGEST_ELECTION_US)
    return leader, next(number for number in range(DIRECTORS) if number != leader)


def outcome(sim, number, order_id):
    """The error that the operator gets, empty where the order was carried out."""
    outcomes = sim.directors[number].order_outcomes
    until(sim, lambda: order_id in outcomes, ORDER_TIMEOUT_US)
    return outcomes[order_id]


def drop(sim, message_type, count):
    """The next `count` datagrams with such a message are lost."""
    send = sim._handlers[SendDatagram]
    left = [count]

    def send_or_drop(director, action):
        if left[0] and isinstance(decode(action.data), message_type):
            left[0] -= 1
        else:
            send(director, action)

    sim._handlers[SendDatagram] = send_or_drop
    return left


@pytest.mark.parametrize("message_type", [SubmitOrder, OrderOutcome])
@pytest.mark.parametrize("lost", [1, 2, 3, 4])
def test_an_order_is_sent_again_until_its_outcome_has_come(message_type, lost):
    # Guards against an order that is sent once: after one lost datagram it was refused, though the leader was well.
    sim = LeaseSimulation(DIRECTORS)
    sim.start()
    _, other = leader_and_another(sim)
    sim.run(5 * SECOND_US)
    left = drop(sim, message_type, lost)
    order_id = sim.order(other, "c1", "maintain")
    assert outcome(sim, other, order_id) == "" and left == [0]
    sim.run(5 * SECOND_US)
    assert all(director.applied_orders == [("c1", "maintain")] for director in sim.directors), "it runs once"


@pytest.mark.parametrize("loss, delay_us", [(0.0, 30_000), (0.1, 2_000)])
@pytest.mark.parametrize("seed", range(25))
def test_an_order_right_after_the_first_election_is_carried_out(seed, loss, delay_us):
    # Guards against orders that are refused where the leader has only begun, over a network that loses some.
    sim = LeaseSimulation(DIRECTORS, seed=seed, loss=loss, delay_us=delay_us)
    generator = random.Random(seed)
    for number in generator.sample(range(DIRECTORS), DIRECTORS):
        sim.start(number)
        sim.run(generator.randrange(SECOND_US // 4))
    _, other = leader_and_another(sim)
    assert outcome(sim, other, sim.order(other, "c1", "maintain")) == ""
    assert not sim.violations


@pytest.mark.parametrize("seed", range(10))
def test_an_order_that_meets_a_change_of_leader_is_carried_out_by_the_next(seed):
    sim = LeaseSimulation(DIRECTORS, seed=seed)
    sim.start()
    leader, other = leader_and_another(sim)
    sim.run(5 * SECOND_US)
    successor = next(number for number in range(DIRECTORS) if number not in (leader, other))
    order_id = sim.order(other, "c1", "maintain")
    sim.feed(sim.directors[leader], MoveRequested(ORDERS_SCOPE, successor))
    assert outcome(sim, other, order_id) == "" and not sim.violations
