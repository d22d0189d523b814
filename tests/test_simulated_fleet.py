"""A whole fleet in simulated time, with an origin that is overloaded if all clients and directors retry at once."""

import random

import pytest

from benchmarks.origin import build_world, simulate_run
from rookbend.core.model import FinalOutcome
from rookbend.testing.simulation import Deployment, SimulatedFleet
from rookbend.testing.simulation.clock import Simulation
from rookbend.testing.simulation.links import RetainedCopies, SimulatedLink
from rookbend.testing.simulation.planted_fault import RouterWithoutOriginProtection
from rookbend.testing.simulation.sources import Call, Origin

DIRECTORS = 100


@pytest.fixture(scope="module")
def results_by_side():
    return {side: simulate_run(side, DIRECTORS, 1, origin_headroom=1.1) for side in ("before", "now")}


def test_without_origin_protection_a_burst_overloads_the_origin_for_good(results_by_side):
    """Shows that the next test can fail: without the protection, the same load overloads the origin."""
    assert results_by_side["before"]["stops"] >= 1
    assert results_by_side["before"]["after"] < 0.9


def test_with_origin_protection_the_fleet_recovers_from_a_burst(results_by_side):
    assert results_by_side["now"]["stops"] == 0
    assert results_by_side["now"]["after"] > 0.93
    assert results_by_side["now"]["class"] > results_by_side["before"]["class"] + 0.1


def test_every_request_gets_one_response_by_its_deadline():
    fleet = SimulatedFleet(build_world(24, origin_headroom=1.1), 3, RouterWithoutOriginProtection)
    late_requests, answered_requests = [], []
    response_received = fleet._response_received

    def record_answer(profile, object_id, part, zone, retries, first_sent_us, request, answer):
        answered_requests.append(request.request_id)
        if fleet.sim.now > request.deadline_us:
            late_requests.append(request.request_id)
        response_received(profile, object_id, part, zone, retries, first_sent_us, request, answer)

    fleet._response_received = record_answer
    fleet.warm_caches()
    fleet.start_clients(12, lambda second: 2.0)
    fleet.sim.run(30_000_000)
    assert len(answered_requests) == len(set(answered_requests)) == fleet.last_request_number and not late_requests
    assert not any(node.engine.open_requests for node in fleet.nodes)
    outcomes = {v for r in fleet.counts_by_second.values() for v in FinalOutcome if r[v.value]}
    assert outcomes >= {FinalOutcome.SERVED, FinalOutcome.REJECTED}


def test_same_seed_gives_the_same_run():
    results = []
    for _ in range(2):
        random.seed()  # the simulation must not use the global generator
        fleet = SimulatedFleet(build_world(12), 5)
        fleet.warm_caches()
        fleet.start_clients(6)
        fleet.sim.run(8_000_000)
        results.append((fleet.served_ratio(), fleet.origin.counts["asked"], fleet.last_request_number))
    assert results[0] == results[1]


def test_transfers_share_a_link_and_copies_expire_after_their_last_use():
    sim, finished = Simulation(), []
    link = SimulatedLink(sim, 2.0)
    for name in "abcd":
        link.send(name, 1.0, 1.0, lambda name=name: finished.append((name, round(sim.time / 1e6, 2))))
    sim.run(1_000_000)
    link.cancel("d")  # half of each transfer is done; three transfers share a capacity of two
    sim.run(10_000_000)
    assert finished == [("a", 1.75), ("b", 1.75), ("c", 1.75)]
    copies = RetainedCopies(sim, 5_000_000)
    copies.put("x")
    sim.run(14_000_000)
    assert copies.look_up("x")
    sim.run(18_000_000)
    assert copies.look_up("x") and not copies.look_up("y")
    sim.run(24_000_000)
    assert not copies.look_up("x")


def test_origin_refuses_calls_above_its_rate_and_goes_down_under_overload():
    sim, statuses = Simulation(), []
    deployment = Deployment()
    origin = Origin(sim, deployment)

    def send_calls(count):
        for i in range(count):
            sim.after(i / count, origin.request, Call(i, 0.1, lambda status, detail: statuses.append(status.name)))

    send_calls(int(deployment.origin_per_s * 1.2))
    sim.run(4_000_000)
    assert origin.overloads == 0 and 0.6 < statuses.count("OK") / len(statuses) < 0.8
    send_calls(int(deployment.origin_per_s * 3))
    sim.run(5_500_000)
    assert origin.overloads == 1
    statuses.clear()
    origin.request(Call("x", 0.1, lambda status, detail: statuses.append(status.name)))
    sim.run(5_600_000)
    assert statuses == ["FULL"]
    sim.run(10_000_000)
    origin.request(Call("x", 0.1, lambda status, detail: statuses.append(status.name)))
    sim.run(11_000_000)
    assert statuses[-1] == "OK"
