"""A scenario: directors are stopped (SIGSTOP) while attempts wait for members that don't answer, and all clients leave.

When the directors continue (SIGCONT), the time of these attempts is over, and the ends of the clients' connections wait
in their sockets.
"""

from __future__ import annotations

import signal
from dataclasses import dataclass

import trio

from rookbend.testing.cluster.cluster_runner import open_cluster
from rookbend.testing.cluster.process_cluster import ProcessCluster
from rookbend.testing.cluster.request_outcomes import RequestOutcomes, count_outcomes
from rookbend.testing.invariant_rules import Rule, Violation


@dataclass(frozen=True)
class LeaveDuringStop:
    """The size of a run; in every round, the caches fall silent from `silent_s` before the stop until after it."""

    seed: int = 7
    directors: int = 1
    caches: int = 4
    rounds: int = 4
    rate: float = 80.0  # requests per second
    silent_s: float = 0.1
    stopped_s: float = 0.8


@dataclass(frozen=True)
class LeaveDuringStopResult:
    """The violations of the rule on clients that have left, and all requests' outcomes."""

    violations: list[Violation]
    outcomes: RequestOutcomes

    def __str__(self) -> str:
        return f"{len(self.violations)} violations; {self.outcomes}"


async def play(scenario: LeaveDuringStop) -> LeaveDuringStopResult:
    """Plays one run. Raises AssertionError if a director contained a fault or a wait timed out."""
    async with open_cluster(
        scenario.directors, scenario.caches, seed=scenario.seed, rate=scenario.rate, notice_s=0.1
    ) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        await cluster.wait_for_served(20)
        for _ in range(scenario.rounds):
            await _play_round(cluster, scenario)
        cluster.front.running.cancel()
        await cluster.wait_until(lambda: not cluster.front.open_requests, "all requests are answered")
        violations = [found for found in cluster.record.find_violations() if found.rule is Rule.LEFT]
        return LeaveDuringStopResult(violations, count_outcomes(cluster.front.requests))


async def _play_round(cluster: ProcessCluster, scenario: LeaveDuringStop) -> None:
    nodes = list(cluster.nodes.values())
    links = [(cache.name, name) for name in cluster.names for cache in cluster.caches]
    for link in links:
        cluster.cut(*link)
    await trio.sleep(scenario.silent_s)
    for node in nodes:
        node.signal(signal.SIGSTOP)
    for node in nodes:
        await node.wait_until_stopped()
    for name in cluster.names:
        cluster.front.drop_connections(name)
    await trio.sleep(scenario.stopped_s)
    for node in nodes:
        node.signal(signal.SIGCONT)
    await trio.sleep(scenario.silent_s)
    for link in links:
        cluster.heal(*link)
    await cluster.wait_until_admitted()
    await cluster.wait_for_served(20)
