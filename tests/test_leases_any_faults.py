"""Fleets of lease coordinators in simulated time under any order of faults: one owner at a time, orders once and in
order; and an owner again once all is well."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rookbend.testing.lease_simulation import LeaseSimulation
from rookbend.testing.lease_simulation_parts import SECOND_US


def consistent(sim):
    """Orders took effect in one order, each once."""
    lists = sorted((n.applied_orders for n in sim.directors if n.machine is not None), key=len)
    for shorter, longer in zip(lists, lists[1:], strict=False):
        assert longer[: len(shorter)] == shorter
    if lists:
        named = [member for member, _ in lists[-1]]
        assert len(named) == len(set(named)), "an order took effect twice"


class Fleet(RuleBasedStateMachine):
    """Any order of faults. `clocks`: at starts they may be wrong; else disks may be lost (see OWNERSHIP.md on
    both at once)."""

    @initialize(
        count=st.sampled_from([5, 7]),
        seed=st.integers(0, 1000),
        clocks=st.booleans(),
        loss=st.sampled_from([0.0, 0.1]),
        voters=st.sampled_from([3, 5]),
    )
    def begin(self, count, seed, clocks, loss, voters):
        self.sim = LeaseSimulation(count, seed, voters, 3, loss=loss, duplication=0.1, drift=0.02)
        self.clocks, self.spoilt, self.orders = clocks, set(), {}
        self.sim.start()
        self.sim.run(8 * SECOND_US)

    def some(self, number):
        return number % self.sim.count

    @rule(number=st.integers(0, 6), for_ms=st.integers(50, 4_000))
    def kill_and_start(self, number, for_ms):
        number = self.some(number)
        self.sim.kill(number)
        self.sim.run(for_ms * 1000)
        if self.clocks:
            self.sim.directors[number].clock_step_us = self.sim.random.choice((-600, 0, 600)) * SECOND_US
        elif not self.spoilt - {number} and self.sim.random.random() < 0.3:
            self.spoilt.add(number)  # one disk at most: two of three voters would be a majority
            self.sim.directors[number].storage.clear()
        self.sim.start(number)

    @rule(number=st.integers(0, 6), for_ms=st.integers(100, 10_000))
    def freeze(self, number, for_ms):
        number = self.some(number)
        self.sim.freeze(number)
        self.sim.run(for_ms * 1000)
        self.sim.freeze(number, False)

    @rule(a=st.integers(0, 6), b=st.integers(0, 6), both=st.booleans())
    def cut(self, a, b, both):
        a, b = self.some(a), self.some(b)
        if a != b:
            self.sim.network.cut_links |= {(a, b), (b, a)} if both else {(a, b)}

    @rule()
    def heal(self):
        self.sim.network.cut_links.clear()

    @rule(number=st.integers(0, 6))
    def order(self, number):
        member = f"m{len(self.orders)}"
        self.orders[self.sim.order(self.some(number), member, "drain")] = member

    @rule(for_ms=st.integers(10, 4_000))
    def run(self, for_ms):
        self.sim.run(for_ms * 1000)

    @invariant()
    def safe(self):
        if hasattr(self, "sim"):
            self.sim.check()
            assert not self.sim.violations, self.sim.violations
            consistent(self.sim)

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
        assert not sim.leaderless_scopes(), "a stable majority leads to owners"
        answered = [self.orders[i] for n in sim.directors for i, fault in n.order_outcomes.items() if not fault]
        for node in sim.directors:
            stood = [member for member, _ in node.applied_orders]
            assert set(answered) <= set(stood), "an order that was said to stand"
        consistent(sim)


Fleet.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
TestFleet = Fleet.TestCase
