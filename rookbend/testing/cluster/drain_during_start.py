"""A scenario: directors are killed and start again, and caches begin to drain while they start.

The list in their configuration is older than the drains, which are in the coordinator and count as told before the
directors have heard of them. The coordinator may answer late, or be unreachable for a while.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from rookbend.testing.cluster.cluster_runner import open_cluster
from rookbend.testing.cluster.director_config import PURGE_LIFE_US
from rookbend.testing.cluster.process_cluster import ProcessCluster
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.request_outcomes import RequestOutcomes, count_outcomes
from rookbend.testing.invariant_rules import Violation


@dataclass(frozen=True)
class DrainDuringStart:
    """The size and the faults of a run. `asks_readiness`: clients come once the directors say that they are ready,
    rather than as soon as they listen."""

    seed: int = 7
    directors: int = 2
    restarted: int = 1
    caches: int = 4
    drained: int = 2
    rate: float = 80.0  # requests per second
    list_age_s: float = 1.0  # from the list in the configuration, and the drains, until the start
    answer_delay_s: float = 0.0  # of the coordinator
    unreachable_s: float = 0.0  # of the coordinator, to those that start, from the start on
    observed_s: float = 4.0  # from the start on
    asks_readiness: bool = True


@dataclass(frozen=True)
class DrainDuringStartResult:
    """The violations of the run; the outcomes of the requests that went to a restarted director, and of the others,
    both from the start on; `slowest_admission_s` is from the start until the front had admitted the last director."""

    violations: list[Violation]
    at_restarted: RequestOutcomes
    at_others: RequestOutcomes
    slowest_admission_s: float

    def __str__(self) -> str:
        return (
            f"{len(self.violations)} violations; at restarted directors: {self.at_restarted}; at others: "
            f"{self.at_others}; admitted within {self.slowest_admission_s:.2f} s"
        )


async def play(scenario: DrainDuringStart) -> DrainDuringStartResult:
    """Plays one run. Raises AssertionError if a director contained a fault or a wait timed out."""
    async with open_cluster(
        scenario.directors, scenario.caches, seed=scenario.seed, rate=scenario.rate, notice_s=0.3
    ) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        await cluster.wait_for_served(20)
        restarted = cluster.names[: scenario.restarted]
        cluster.power_off(*restarted)
        for name in restarted:
            await cluster.nodes[name].wait_for_exit()
        await cluster.wait_until(
            lambda: not any(cluster.front.targets[name].admitted for name in restarted), "the front notices"
        )
        return await _restart(cluster, scenario, restarted)


async def _restart(cluster: ProcessCluster, scenario: DrainDuringStart, restarted: list[str]) -> DrainDuringStartResult:
    coordinator, front = cluster.coordinator, cluster.front
    front.asks_readiness = scenario.asks_readiness
    coordinator.tells_at_once = True
    coordinator.answer_delay_s = scenario.answer_delay_s
    coordinator.unreachable_to.update(restarted if scenario.unreachable_s else ())
    known = {name: coordinator.known_at_start(name, PURGE_LIFE_US) for name in restarted}
    drained = [cache.name for cache in cluster.caches[: scenario.drained]]
    for name in drained:
        cluster.members[name].draining = True
    coordinator.publish_members(*drained)
    await trio.sleep(scenario.list_age_s)
    started_us, started_s = now_us(), trio.current_time()
    for name in restarted:
        await cluster.start(name, known=known[name])
    cluster.nursery.start_soon(_make_reachable, cluster, scenario.unreachable_s)
    await cluster.wait_until_admitted(*restarted)
    admission_s = trio.current_time() - started_s
    await trio.sleep(max(0.0, scenario.observed_s - admission_s))
    front.running.cancel()
    await cluster.wait_until(lambda: not front.open_requests, "all requests are answered")
    requests = [request for request in front.requests if request.arrival_us >= started_us]
    return DrainDuringStartResult(
        cluster.record.find_violations(),
        count_outcomes(request for request in requests if set(restarted) & set(request.directors)),
        count_outcomes(request for request in requests if not set(restarted) & set(request.directors)),
        admission_s,
    )


async def _make_reachable(cluster: ProcessCluster, after_s: float) -> None:
    await trio.sleep(after_s)
    cluster.coordinator.unreachable_to.clear()
