"""Mutated datagrams from one faulty director: the other directors keep running and keep their guarantees.

To run more seeds: ROOKBEND_FUZZ_SEEDS=500 pytest tests/test_lying_peer.py
"""

import os
import random

import pytest

from rookbend.coordination.actions import SendDatagram
from rookbend.testing.lease_simulation import LeaseSimulation
from rookbend.testing.lease_simulation_parts import SECOND_US
from rookbend.testing.lying_peer import mutate_datagram
from rookbend.testing.recovery_simulation import Environment, RecoverySimulation

DIRECTORS = 5
MUTATION_RATIOS = 0.05, 0.3, 1.0
SEEDS = int(os.environ.get("ROOKBEND_FUZZ_SEEDS", "20"))


@pytest.mark.parametrize("seed", range(SEEDS))
def test_mutated_lease_datagrams_raise_nothing_and_make_no_second_leader(seed):
    # Guards against fields from a peer that crash a director: texts, tokens, scopes, numbers of directors and of entries.
    generator = random.Random(seed)
    sim = LeaseSimulation(DIRECTORS, seed=seed, report_period_us=2 * SECOND_US)
    faulty_director, ratio = generator.randrange(DIRECTORS), generator.choice(MUTATION_RATIOS)
    send = sim._handlers[SendDatagram]

    def send_mutated(director, action):
        if director.number == faulty_director and generator.random() < ratio:
            action = SendDatagram(action.peer, mutate_datagram(generator, action.data))
        send(director, action)

    sim._handlers[SendDatagram] = send_mutated
    sim.start()
    for _ in range(21):
        sim.run(SECOND_US)
        if generator.random() < 0.5:
            target = generator.choice(("c1", "c2", "@checks/1"))
            sim.order(generator.randrange(DIRECTORS), target, generator.choice(("drain", "ready", "pin2")))
    # Only a voter that breaks the protocol can cause two leaders (docs/OWNERSHIP.md describes which guarantees still hold).
    assert sim.violations == [] or faulty_director in sim.voters


@pytest.mark.parametrize("seed", range(SEEDS // 4))
def test_mutated_gossip_raises_nothing_while_the_fleet_restarts(seed):
    generator = random.Random(seed)
    sim = RecoverySimulation(DIRECTORS, seed, Environment(requests_per_s=100))
    faulty_director, ratio = generator.randrange(DIRECTORS), generator.choice(MUTATION_RATIOS)
    send = sim._send

    def send_mutated(source, target, data):
        if source == faulty_director and generator.random() < ratio:
            data = mutate_datagram(generator, data)
        send(source, target, data)

    sim._send = send_mutated
    for _ in range(2):
        sim.power_on()
        for _ in range(10):
            sim.run(SECOND_US)
            sim.order(generator.randrange(DIRECTORS), "c1", generator.choice(("drain", "ready")))
        sim.power_off()
        sim.run(SECOND_US)
