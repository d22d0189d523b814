"""A whole fleet in simulated time, before an origin that tips over when all ask again."""

import random

import pytest

from benchmarks.origin import build_world, simulate_run
from rookbend.core.model import FinalOutcome
from rookbend.testing.simulation import EdgeFleet, World
from rookbend.testing.simulation.clock import Simulation
from rookbend.testing.simulation.links import Kept, Pipe
from rookbend.testing.simulation.planted_fault import Careless
from rookbend.testing.simulation.sources import Call, Origin

FLEET = 100


@pytest.fixture(scope="module")
def turns():
    return {side: simulate_run(side, FLEET, 1, origin_room=1.1) for side in ("before", "now")}


def test_the_module_before_topples_the_origin_and_stays_down(turns):
    """The fault that the next test must be able to find."""
    assert turns["before"]["stops"] >= 1
    assert turns["before"]["after"] < 0.9


def test_a_burst_does_not_topple_the_origin_and_passes(turns):
    assert turns["now"]["stops"] == 0
    assert turns["now"]["after"] > 0.93
    assert turns["now"]["class"] > turns["before"]["class"] + 0.1


def test_every_request_has_one_answer_by_its_deadline():
    fleet = EdgeFleet(build_world(24, origin_room=1.1), 3, Careless)
    late, answers = [], []
    inner = fleet._answered

    def answered(kind, item, part, zone, tries, since, request, answer):
        answers.append(request.request_id)
        if fleet.sim.now > request.deadline_us:
            late.append(request.request_id)
        inner(kind, item, part, zone, tries, since, request, answer)

    fleet._answered = answered
    fleet.fill_up()
    fleet.clients(12, lambda second: 2.0)
    fleet.sim.run(30_000_000)
    assert len(answers) == len(set(answers)) == fleet.last_rid and not late
    assert not any(node.engine.open_requests for node in fleet.nodes)
    given = {v for r in fleet.seconds.values() for v in FinalOutcome if r[v.value]}
    assert given >= {FinalOutcome.SERVED, FinalOutcome.REJECTED}


def test_the_same_seed_gives_the_same_run():
    shares = []
    for _ in range(2):
        random.seed()  # nothing draws from the common source
        fleet = EdgeFleet(build_world(12), 5)
        fleet.fill_up()
        fleet.clients(6)
        fleet.sim.run(8_000_000)
        shares.append((fleet.share(), fleet.origin.counts["asked"], fleet.last_rid))
    assert shares[0] == shares[1]


def test_a_link_shares_itself_and_a_copy_is_kept_from_its_last_use():
    sim, ended = Simulation(), []
    pipe = Pipe(sim, 2.0)
    for name in "abcd":
        pipe.send(name, 1.0, 1.0, lambda name=name: ended.append((name, round(sim.time / 1e6, 2))))
    sim.run(1_000_000)
    pipe.abort("d")  # half of each has gone: three share two
    sim.run(10_000_000)
    assert ended == [("a", 1.75), ("b", 1.75), ("c", 1.75)]
    kept = Kept(sim, 5_000_000)
    kept.put("x")
    sim.run(14_000_000)
    assert kept.use("x")
    sim.run(18_000_000)
    assert kept.use("x") and not kept.use("y")
    sim.run(24_000_000)
    assert not kept.use("x")


def test_the_origin_turns_away_above_its_rate_and_stops_where_it_is_asked_for_far_more():
    sim, heard = Simulation(), []
    w = World()
    origin = Origin(sim, w)

    def ask(count):
        for i in range(count):
            sim.after(i / count, origin.ask, Call(i, 0.1, lambda status, note: heard.append(status.name)))

    ask(int(w.origin_per_s * 1.2))
    sim.run(4_000_000)
    assert origin.falls == 0 and 0.6 < heard.count("OK") / len(heard) < 0.8
    ask(int(w.origin_per_s * 3))
    sim.run(5_500_000)
    assert origin.falls == 1
    heard.clear()
    origin.ask(Call("x", 0.1, lambda status, note: heard.append(status.name)))
    sim.run(5_600_000)
    assert heard == ["FULL"]
    sim.run(10_000_000)
    origin.ask(Call("x", 0.1, lambda status, note: heard.append(status.name)))
    sim.run(11_000_000)
    assert heard[-1] == "OK"
