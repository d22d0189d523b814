"""Fleets of lease state machines in simulated time, under random sequences of faults.

Checks that a scope has at most one holder at a time, that orders are applied once and in the same order everywhere, and
that every scope has a holder again once the faults are over.
"""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rookbend.testing.lease_simulation import LeaseSimulation
from rookbend.testing.lease_simulation_parts import SECOND_US


def assert_orders_consistent(sim):
    """Checks that all directors apply the same orders in the same sequence, each once."""
    sequences = sorted((director.applied_orders for director in sim.directors if director.machine is not None), key=len)
    for shorter, longer in zip(sequences, sequences[1:], strict=False):
        assert longer[: len(shorter)] == shorter
    if sequences:
        targets = [member for member, _ in sequences[-1]]
        assert len(targets) == len(set(targets)), "an order was applied twice"


class Fleet(RuleBasedStateMachine):
    """Any sequence of faults.

    With `wrong_clocks`, a director's clock may be wrong after a start; otherwise its storage may be lost. OWNERSHIP.md
    describes both at once.
    """

    @initialize(
        count=st.sampled_from([5, 7]),
        seed=st.integers(0, 1000),
        wrong_clocks=st.booleans(),
        loss=st.sampled_from([0.0, 0.1]),
        voters=st.sampled_from([3, 5]),
    )
    def begin(self, count, seed, wrong_clocks, loss, voters):
        self.sim = LeaseSimulation(count, seed, voters, 3, loss=loss, duplication=0.1, drift=0.02)
        self.wrong_clocks, self.wiped, self.orders = wrong_clocks, set(), {}
        self.sim.start()
        self.sim.run(8 * SECOND_US)

    def director_number(self, number):
        return number % self.sim.count

    @rule(number=st.integers(0, 6), for_ms=st.integers(50, 4_000))
    def kill_and_start(self, number, for_ms):
        number = self.director_number(number)
        self.sim.kill(number)
        self.sim.run(for_ms * 1000)
        if self.wrong_clocks:
            self.sim.directors[number].clock_step_us = self.sim.random.choice((-600, 0, 600)) * SECOND_US
        elif not self.wiped - {number} and self.sim.random.random() < 0.3:
            self.wiped.add(number)  # at most one storage is lost: two of three voters would be a majority
            self.sim.directors[number].storage.clear()
        self.sim.start(number)

    @rule(number=st.integers(0, 6), for_ms=st.integers(100, 10_000))
    def freeze(self, number, for_ms):
        number = self.director_number(number)
        self.sim.freeze(number)
        self.sim.run(for_ms * 1000)
        self.sim.freeze(number, False)

    @rule(a=st.integers(0, 6), b=st.integers(0, 6), both=st.booleans())
    def cut(self, a, b, both):
        a, b = self.director_number(a), self.director_number(b)
        if a != b:
            self.sim.network.cut_links |= {(a, b), (b, a)} if both else {(a, b)}

    @rule()
    def restore_links(self):
        self.sim.network.cut_links.clear()

    @rule(number=st.integers(0, 6))
    def order(self, number):
        member = f"m{len(self.orders)}"
        self.orders[self.sim.order(self.director_number(number), member, "drain")] = member

    @rule(for_ms=st.integers(10, 4_000))
    def run(self, for_ms):
        self.sim.run(for_ms * 1000)

    @invariant()
    def invariants_hold(self):
        if hasattr(self, "sim"):
            self.sim.check()
            assert not self.sim.violations, self.sim.violations
            assert_orders_consistent(self.sim)

    def teardown(self):
        if not hasattr(self, "sim"):
            return
        sim = self.sim
        sim.network.cut_links.clear()
        sim.network.loss = 0.0
        sim.start()
        sim.run(15 * SECOND_US)
        sim.check()
        assert not sim.violations
        assert not sim.leaderless_scopes(), "every scope has a holder once a majority is stable"
        answered = [
            self.orders[order_id]
            for director in sim.directors
            for order_id, error in director.order_outcomes.items()
            if not error
        ]
        for director in sim.directors:
            applied = [member for member, _ in director.applied_orders]
            assert set(answered) <= set(applied), "an order that was reported as committed was not applied"
        assert_orders_consistent(sim)


Fleet.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
TestFleet = Fleet.TestCase
