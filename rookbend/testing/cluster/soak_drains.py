"""Events of a soak run in which caches drain: by themselves, while a director starts, and while one is stopped."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import trio

from rookbend.testing.cluster.process_cluster import ProcessCluster
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.workload import LostRequest

LONGEST_START_S = 1.0  # within which the drain begins
LONGEST_ANSWER_DELAY_S = 1.5  # of the coordinator, while a director starts
SHORTEST_STOP_S, LONGEST_STOP_S = 0.6, 3.0  # more than the grace of a drain; the stream of the coordinator may end


class SoakDrains:
    """Each event drains a cache and lets it return. `restart(director)` restarts one and waits until it is admitted."""

    def __init__(
        self, cluster: ProcessCluster, chooser: random.Random, restart: Callable[[str], Awaitable[None]]
    ) -> None:
        self.cluster = cluster
        self.random = chooser
        self._restart = restart
        self._stops: list[tuple[str, int, int]] = []  # directors, from and to, Unix microseconds
        cluster.coordinator.tells_starting_at_once = True

    async def drain(self, _name: str) -> None:
        """A cache drains and returns."""
        member = self.random.choice(self.cluster.caches).name
        self._set_draining(member, True)
        await trio.sleep(self.random.uniform(0.5, 2.0))
        self._set_draining(member, False)

    async def drain_during_restart(self, name: str) -> None:
        """A director restarts, a cache drains after the list of its start was made, and the coordinator is slow."""
        member = self.random.choice(self.cluster.caches).name
        starts = self.cluster.nodes[name].start_count
        coordinator = self.cluster.coordinator
        coordinator.answer_delay_s = self.random.uniform(0, LONGEST_ANSWER_DELAY_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restart, name)
            await self.cluster.wait_until(
                lambda: self.cluster.nodes[name].start_count > starts, f"{name} is started again"
            )
            await trio.sleep(self.random.uniform(0, LONGEST_START_S))
            self._set_draining(member, True)
        coordinator.answer_delay_s = 0.0
        await trio.sleep(self.random.uniform(0.5, 2.0))
        self._set_draining(member, False)

    async def drain_while_stopped(self, name: str) -> None:
        """A director is stopped and continues; its clients have left, and a cache drains meanwhile."""
        member = self.random.choice(self.cluster.caches).name
        stopped_us = now_us()
        self.cluster.freeze(name)
        self._set_draining(member, True)
        await trio.sleep(self.random.uniform(SHORTEST_STOP_S, LONGEST_STOP_S))
        self.cluster.resume(name)
        self._stops.append((name, stopped_us, now_us()))
        await self.cluster.wait_until_admitted(name)
        await trio.sleep(self.random.uniform(0.5, 2.0))
        self._set_draining(member, False)

    def _set_draining(self, member: str, draining: bool) -> None:
        self.cluster.members[member].draining = draining
        self.cluster.coordinator.publish_members(member)

    def ended_at_stop(self, request: LostRequest) -> bool:
        """Whether the client of this request ended its connection since the director was stopped."""
        return any(
            request.director == name and from_us <= request.lost_us <= to_us for name, from_us, to_us in self._stops
        )
