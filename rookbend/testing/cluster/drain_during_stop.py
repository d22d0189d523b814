"""A scenario: directors are stopped (SIGSTOP) for longer than the grace of a drain, and caches drain meanwhile.

When they continue (SIGCONT), the drains wait in their sockets from the coordinator, and requests in those from clients.
"""

from __future__ import annotations

import signal
from dataclasses import dataclass

import trio

from rookbend.testing.cluster.cluster_runner import open_cluster
from rookbend.testing.cluster.process_cluster import ProcessCluster
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.request_outcomes import RequestOutcomes, count_outcomes
from rookbend.testing.invariant_rules import Rule, Violation

RULES = Rule.DRAIN, Rule.DEADLINE  # a stopped process can't answer in time, but it must not send on what is over


@dataclass(frozen=True)
class DrainDuringStop:
    """The size of a run; in every round, half of the caches drain and return."""

    seed: int = 7
    directors: int = 1
    caches: int = 4
    rounds: int = 4
    rate: float = 80.0  # requests per second
    stopped_s: float = 1.5


@dataclass(frozen=True)
class DrainDuringStopResult:
    """The violations of `RULES`, and all requests' outcomes."""

    violations: list[Violation]
    outcomes: RequestOutcomes

    def __str__(self) -> str:
        return f"{len(self.violations)} violations; {self.outcomes}"


async def play(scenario: DrainDuringStop) -> DrainDuringStopResult:
    """Plays one run. Raises AssertionError if a director contained a fault or a wait timed out."""
    async with open_cluster(scenario.directors, scenario.caches, seed=scenario.seed, rate=scenario.rate) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        await cluster.wait_for_served(20)
        began_us = now_us()
        for number in range(scenario.rounds):
            await _play_round(cluster, scenario, number % 2)
        cluster.front.running.cancel()
        await cluster.wait_until(lambda: not cluster.front.open_requests, "all requests are answered")
        violations = [found for found in cluster.record.find_violations() if found.rule in RULES]
        requests = [request for request in cluster.front.requests if request.arrival_us >= began_us]
        return DrainDuringStopResult(violations, count_outcomes(requests))


async def _play_round(cluster: ProcessCluster, scenario: DrainDuringStop, half: int) -> None:
    names = [cache.name for cache in cluster.caches[half::2]]
    nodes = list(cluster.nodes.values())
    for node in nodes:
        node.signal(signal.SIGSTOP)
    for node in nodes:
        await node.wait_until_stopped()
    _set_draining(cluster, names, True)
    await trio.sleep(scenario.stopped_s)
    for node in nodes:
        node.signal(signal.SIGCONT)
    await cluster.wait_for_served(20)
    _set_draining(cluster, names, False)
    await cluster.wait_for_served(20)


def _set_draining(cluster: ProcessCluster, names: list[str], draining: bool) -> None:
    for name in names:
        cluster.members[name].draining = draining
    cluster.coordinator.publish_members(*names)
