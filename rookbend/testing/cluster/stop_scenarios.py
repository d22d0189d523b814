"""Scenarios in which all directors of a cluster are stopped (SIGSTOP) and continue (SIGCONT), several times.

`drain_during_stop`: caches begin to drain meanwhile. The drains wait in the sockets from the coordinator, and requests
in those from clients.

`leave_during_stop`: the caches fall silent first, and all clients leave meanwhile. When the directors continue, the
time of their attempts is over, and the ends of the clients' connections wait in their sockets.
"""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from rookbend.testing.cluster.cluster_runner import open_cluster
from rookbend.testing.cluster.process_cluster import ProcessCluster
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.request_outcomes import RequestOutcomes, count_outcomes
from rookbend.testing.invariant_rules import Rule, Violation

# The rules that are checked: a stopped process can't answer in time, but it must not send on what is over.
DRAIN_RULES = (Rule.DRAIN, Rule.DEADLINE)
LEAVE_RULES = (Rule.LEFT,)
SERVED_BETWEEN_STOPS = 20
SILENT_S = 0.1  # from the caches' silence to the stop, and from its end until they answer


@dataclass(frozen=True)
class StopScenario:
    """The size of a run; `rate` is in requests per second."""

    seed: int = 7
    directors: int = 1
    caches: int = 4
    rounds: int = 4
    rate: float = 80.0
    stopped_s: float = 1.5


@dataclass(frozen=True)
class StopResult:
    """The violations of the scenario's rules, and the outcomes of all requests since its first stop."""

    violations: list[Violation]
    outcomes: RequestOutcomes

    def __str__(self) -> str:
        return f"{len(self.violations)} violations; {self.outcomes}"


async def drain_during_stop(scenario: StopScenario) -> StopResult:
    """Plays one run. Raises AssertionError if a director contained a fault or a wait timed out."""
    return await _play(scenario, _drain_and_stop, DRAIN_RULES)


async def leave_during_stop(scenario: StopScenario) -> StopResult:
    """Plays one run; raises as `drain_during_stop`."""
    return await _play(scenario, _leave_and_stop, LEAVE_RULES)


PlayRound = Callable[[ProcessCluster, StopScenario, int], Awaitable[None]]


async def _play(scenario: StopScenario, play_round: PlayRound, rules: tuple[Rule, ...]) -> StopResult:
    async with open_cluster(
        scenario.directors, scenario.caches, seed=scenario.seed, rate=scenario.rate, notice_s=0.1
    ) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        await cluster.wait_for_served(SERVED_BETWEEN_STOPS)
        began_us = now_us()
        for number in range(scenario.rounds):
            await play_round(cluster, scenario, number)
        cluster.front.running.cancel()
        await cluster.wait_until(lambda: not cluster.front.open_requests, "all requests are answered")
        violations = [found for found in cluster.record.find_violations() if found.rule in rules]
        requests = [request for request in cluster.front.requests if request.arrival_us >= began_us]
        return StopResult(violations, count_outcomes(requests))


@asynccontextmanager
async def _stopped(cluster: ProcessCluster) -> AsyncIterator[None]:
    nodes = list(cluster.nodes.values())
    for node in nodes:
        node.signal(signal.SIGSTOP)
    for node in nodes:
        await node.wait_until_stopped()
    yield
    for node in nodes:
        node.signal(signal.SIGCONT)


async def _drain_and_stop(cluster: ProcessCluster, scenario: StopScenario, number: int) -> None:
    """Half of the caches drain and return, the other half in the next round."""
    names = [cache.name for cache in cluster.caches[number % 2 :: 2]]
    async with _stopped(cluster):
        _set_draining(cluster, names, True)
        await trio.sleep(scenario.stopped_s)
    await cluster.wait_for_served(SERVED_BETWEEN_STOPS)
    _set_draining(cluster, names, False)
    await cluster.wait_for_served(SERVED_BETWEEN_STOPS)


def _set_draining(cluster: ProcessCluster, names: list[str], draining: bool) -> None:
    for name in names:
        cluster.members[name].draining = draining
    cluster.coordinator.publish_members(*names)


async def _leave_and_stop(cluster: ProcessCluster, scenario: StopScenario, number: int) -> None:
    links = [(cache.name, name) for name in cluster.names for cache in cluster.caches]
    for link in links:
        cluster.cut(*link)
    await trio.sleep(SILENT_S)
    async with _stopped(cluster):
        for name in cluster.names:
            cluster.front.drop_connections(name)
        await trio.sleep(scenario.stopped_s)
    await trio.sleep(SILENT_S)
    for link in links:
        cluster.heal(*link)
    await cluster.wait_until_admitted()
    await cluster.wait_for_served(SERVED_BETWEEN_STOPS)
