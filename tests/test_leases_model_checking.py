"""Searches all interleavings of the lease protocol within small bounds.

The program breaks no property, and planted faults are detected. `python -m benchmarks.leases_model_checking` has the
large bounds.
"""

import pytest

from rookbend.model_checking.bounds import Bounds
from rookbend.model_checking.faults import FAULTS, planted
from rookbend.model_checking.lease import LeaseModel
from rookbend.model_checking.search import search

SMALL_BOUNDS = {
    "all of two rounds": Bounds(rounds=2, ticks=1),
    "disks": Bounds(rounds=2, ticks=3, with_disk=1, without_disk=1),
    "clocks": Bounds(rounds=2, ticks=3, drifts=2, known_tokens=(0, 1)),
    "hand-over": Bounds(rounds=3, ticks=0, releases=1, duplicates=1, known_tokens=(0, 5)),
}
QUICKLY_FOUND_FAULTS = (
    "no-quiet-time",
    "kept-grant-is-over",
    "grants-while-granted",
    "token-at-least",
    "half-is-enough",
    "one-vote-counts-twice",
    "owner-without-clock",
    "new-voters-at-once",
)


@pytest.mark.parametrize("bounds", SMALL_BOUNDS.values(), ids=SMALL_BOUNDS)
def test_no_property_is_broken_within_small_bounds(bounds):
    found = search(LeaseModel(bounds, first_prompt_candidate=0), 6_000)
    assert not found.broken_property, "\n".join([found.broken_property, *found.path])
    assert found.complete or found.states >= 6_000


@pytest.mark.parametrize("fault", [f for f in FAULTS if f.name in QUICKLY_FOUND_FAULTS], ids=lambda f: f.name)
def test_search_finds_the_property_that_a_planted_fault_breaks(fault):
    with planted(fault) as model:
        found = search(model, 20_000)
    assert found.broken_property == fault.broken_property
    # The path consists of steps of the model, and following it reproduces the failure.
    with planted(fault) as model:
        state = next(iter(model.initial_states()))
        for name in found.path:
            state = next(after for step, after in model.steps(state) if step == name)
        assert model.broken_property(state) == fault.broken_property


def test_search_counts_states_and_finds_the_shortest_path():
    class Counter:
        def initial_states(self):
            return [0]

        def steps(self, state):
            return [("one", state + 1), ("two", state + 2)] if state < 10 else []

        def canonical(self, state):
            return state

        def broken_property(self, state):
            return "seven" if state == 7 else ""

    found = search(Counter(), 100)
    assert found.broken_property == "seven" and len(found.path) == 4 and found.path.count("two") == 3
    assert search(Counter(), 100, max_depth=2).states == 5
