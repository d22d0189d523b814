"""The fleet: directors' engines with modelled members and clients, and the results of a run."""

from __future__ import annotations

import math
import random
from collections import Counter

from rookbend.core.model import Answer, Endpoint, FinalOutcome, MembershipChange, Request
from rookbend.interface import Member
from rookbend.routing import Router
from rookbend.testing.simulation.cache import Cache
from rookbend.testing.simulation.catalogue import Catalogue
from rookbend.testing.simulation.clock import Simulation
from rookbend.testing.simulation.deployment import (
    CACHE_RETENTION_S,
    ORIGIN,
    PARENT,
    PARENT_RETENTION_S,
    ClassProfile,
    Deployment,
)
from rookbend.testing.simulation.links import SimulatedLink
from rookbend.testing.simulation.node import Node
from rookbend.testing.simulation.sources import Origin, Parent

PARTS, PART_INTERVAL_S = 12, 0.55  # parts of an object, requested in order at this interval
LOCATION_LINK_HEADROOM = 1.3  # capacity of the links into locations in proportion to their demand
MAX_RETRIES = 3  # of a client, after its first request


class SimulatedFleet:
    """The fleet; `make_router(settings, seed)` returns a director's router: the program's, or one to compare with."""

    def __init__(self, deployment: Deployment, seed: int = 7, make_router=Router):
        self.deployment, self.seed, self.make_router = deployment, seed, make_router
        self.sim, self.random = Simulation(), random.Random(f"{seed} edge")
        self.counts_by_second: dict[int, Counter] = {}
        self.weight_by_class: dict[str, list[float]] = {
            profile.traffic_class.name: [0.0, 0.0] for profile in deployment.profiles
        }
        self.profiles = {profile.traffic_class.name: profile for profile in deployment.profiles}
        self.class_indices = {profile.traffic_class.name: i for i, profile in enumerate(deployment.profiles)}
        self.last_request_number = 0
        requests_per_s = deployment.requests_per_s / deployment.locations
        miss_ratio = deployment.miss_ratio - deployment.new_object_ratio
        self.catalogues = {
            profile.traffic_class.name: Catalogue(
                profile, requests_per_s * profile.request_ratio, miss_ratio, self.parts(profile)
            )
            for profile in deployment.profiles
            if not profile.traffic_class.is_write
        }
        self._build()

    @staticmethod
    def parts(profile: ClassProfile) -> int:
        return PARTS if profile.traffic_class.has_parts else 1

    def _build(self) -> None:
        deployment, generator = self.deployment, self.random
        self.origin = Origin(self.sim, deployment)
        ids = generator.sample(range(1, 1 << 32), deployment.parents + 1 + deployment.locations * deployment.caches)
        self.members: dict[int, object] = {ids[0]: self.origin}
        members = [Member(ids[0], kind=ORIGIN)]
        for server in ids[1 : deployment.parents + 1]:
            self.members[server] = Parent(self.sim, deployment, self.origin, int(PARENT_RETENTION_S * 1e6))
            members.append(Member(server, deployment.parent_links, kind=PARENT))
        sources = dict(self.members)
        rest = ids[deployment.parents + 1 :]
        for zone in range(deployment.locations):
            location_link = SimulatedLink(
                self.sim,
                LOCATION_LINK_HEADROOM * deployment.fills_per_s * deployment.mean_work_s / deployment.locations,
            )
            for server in rest[zone * deployment.caches : (zone + 1) * deployment.caches]:
                self.members[server] = Cache(self.sim, deployment, location_link, sources, int(CACHE_RETENTION_S * 1e6))
                members.append(Member(server, deployment.cache_links, zone=zone))
        self.membership = [Endpoint(m, f"s{m.server:x}", ("127.0.0.1", m.server)) for m in members]
        self.nodes = [Node(self, i, i % deployment.locations) for i in range(deployment.directors)]
        for node in self.nodes:
            node.engine.membership_changed(MembershipChange(True, 1, list(self.membership)))
        self.nodes_by_zone = [[n for n in self.nodes if n.zone == z] for z in range(deployment.locations)]

    # Clients

    def count(self, *names: str) -> None:
        row = self.counts_by_second.setdefault(self.sim.time // 1_000_000, Counter())
        row.update(names)

    def warm_caches(self) -> None:
        """Fills caches and parents with the objects of recent requests, each at the members that it hashes to."""
        for name, catalogue in self.catalogues.items():
            profile = self.profiles[name]
            requests_per_s = self.deployment.requests_per_s * profile.request_ratio / self.parts(profile)
            for zone in range(self.deployment.locations):
                order = self.nodes_by_zone[zone][0].router.membership.order
                for _ in range(int(requests_per_s / self.deployment.locations * PARENT_RETENTION_S)):
                    object_id = self._object_id(name, catalogue.draw(self.random.random()))
                    is_recent = self.random.random() < CACHE_RETENTION_S / PARENT_RETENTION_S
                    for part in range(self.parts(profile)):
                        caches, parents = order((object_id, part))
                        if is_recent:
                            self.members[caches[0].server].copies.put((object_id, part))
                        self.members[parents[0].server].copies.put((object_id, part))

    def _object_id(self, name: str, rank: int) -> int:
        return random.Random(f"{self.seed} {name} {rank}").getrandbits(50)

    def work_of(self, request: Request) -> tuple[ClassProfile, float]:
        """Returns the class and the transfer time of a request; both are the same for every request of a part."""
        profile = self.profiles[request.class_name]
        spread = random.Random(request.object_id * 31 + request.part)
        return profile, profile.mean_work_s * math.exp(spread.gauss(-(profile.sigma**2) / 2, profile.sigma))

    def start_clients(self, duration_s: float, load_factor=lambda second: 1.0) -> None:
        """Sends requests for `duration_s` from now; `load_factor(second)` multiplies the load."""
        end_us = self.sim.now + int(duration_s * 1e6)
        for profile in self.deployment.profiles:
            requests_per_s = self.deployment.requests_per_s * profile.request_ratio / self.parts(profile)
            self._schedule_arrival(profile, requests_per_s, end_us, load_factor)

    def _schedule_arrival(self, profile: ClassProfile, requests_per_s: float, end_us: int, load_factor) -> None:
        interval_s = self.random.expovariate(requests_per_s * load_factor(self.sim.time / 1e6))
        due = self.sim.now + int(interval_s * 1e6)
        if due < end_us:
            self.sim.at(due, self._start_object, profile, requests_per_s, end_us, load_factor)

    def _start_object(self, profile: ClassProfile, requests_per_s: float, end_us: int, load_factor) -> None:
        name = profile.traffic_class.name
        zone = self.random.randrange(self.deployment.locations)
        if profile.traffic_class.is_write or self.random.random() < self.deployment.new_object_ratio:
            object_id = self.random.getrandbits(50)
        else:
            object_id = self._object_id(name, self.catalogues[name].draw(self.random.random()))
        for part in range(self.parts(profile)):
            due = self.sim.now + int(part * PART_INTERVAL_S * 1e6)
            if due < end_us:
                self.sim.at(due, self._send_request, profile, object_id, part, zone, 0, due)
        self._schedule_arrival(profile, requests_per_s, end_us, load_factor)

    def _send_request(
        self, profile: ClassProfile, object_id: int, part: int, zone: int, retries: int, first_sent_us: int
    ) -> None:
        self.last_request_number += 1
        node = self.random.choice(self.nodes_by_zone[zone])
        name = profile.traffic_class.name
        request = Request(
            f"{self.last_request_number:016x}",
            self.class_indices[name],
            name,
            f"{object_id:x}",
            object_id,
            self.sim.now + profile.traffic_class.deadline_us,
            part,
            0,
            retries > 0,
        )
        self.count("asked" if not retries else "again")
        node.engine.submit(
            request,
            lambda answer: self._response_received(
                profile, object_id, part, zone, retries, first_sent_us, request, answer
            ),
        )

    def _response_received(
        self, profile, object_id, part, zone, retries, first_sent_us, request: Request, answer: Answer
    ) -> None:
        traffic_class, deployment = profile.traffic_class, self.deployment
        self.count(answer.outcome.value)
        if (
            answer.outcome is FinalOutcome.REJECTED
            and retries < MAX_RETRIES
            and self.random.random() < deployment.retry_ratio
        ):
            wait_us = deployment.retry_s * 2**retries * 1e6 * (0.5 + self.random.random())
            if self.random.random() < deployment.retry_after_ratio:
                wait_us = max(wait_us, answer.retry_after_us)
            return self.sim.at(
                self.sim.now + int(wait_us),
                self._send_request,
                profile,
                object_id,
                part,
                zone,
                retries + 1,
                first_sent_us,
            )
        duration_us, (_, work_s) = self.sim.now - first_sent_us, self.work_of(request)
        objective_us = traffic_class.latency_objective_us + traffic_class.latency_objective_stretch * work_s * 1e6
        earned = 0.0
        if answer.outcome is FinalOutcome.SERVED:
            late = (
                traffic_class.late_priority_weight * traffic_class.priority_weight
                if duration_us <= traffic_class.deadline_us
                else 0.0
            )
            earned = traffic_class.priority_weight if duration_us <= objective_us else late
        weights = self.weight_by_class[traffic_class.name]
        weights[0] += earned
        weights[1] += traffic_class.priority_weight
        row = self.counts_by_second.setdefault((first_sent_us - self.sim.now + self.sim.time) // 1_000_000, Counter())
        row["worth_milli"] += int(earned * 1000)
        row["owed_milli"] += int(traffic_class.priority_weight * 1000)

    # Results

    def served_ratio(self, first: int = 0, last: int = 10**6) -> float:
        """Returns the priority weight earned in proportion to that requested, in seconds `first` to `last`."""
        rows = [r for s, r in self.counts_by_second.items() if first <= s < last]
        requested = sum(r["owed_milli"] for r in rows)
        return sum(r["worth_milli"] for r in rows) / requested if requested else 0.0
