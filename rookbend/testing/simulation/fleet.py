"""The fleet: directors' engines over the modelled members, clients before them, and what came of it."""

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
from rookbend.testing.simulation.deployment import KEEP_S, ORIGIN, PARENT, PARENT_KEEP_S, Kind, World
from rookbend.testing.simulation.links import Pipe
from rookbend.testing.simulation.node import Node
from rookbend.testing.simulation.sources import Origin, Parent

PARTS, GAP_S = 12, 0.55  # parts of an object that is asked for in order, and the time between two
LINK_ROOM = 1.3  # links into locations, over what is asked of them
TRIES = 3  # a client's, after its first


class EdgeFleet:
    """`make(settings, seed)` gives a director's module: the program's, or a policy to compare with."""

    def __init__(self, world: World, seed: int = 7, make=Router):
        self.world, self.seed, self.make = world, seed, make
        self.sim, self.random = Simulation(), random.Random(f"{seed} edge")
        self.seconds: dict[int, Counter] = {}
        self.by_class: dict[str, list[float]] = {k.cls.name: [0.0, 0.0] for k in world.kinds}
        self.kinds = {k.cls.name: k for k in world.kinds}
        self.indices = {k.cls.name: i for i, k in enumerate(world.kinds)}
        self.last_rid = 0
        per_s = world.requests_per_s / world.locations
        misses = world.misses - world.fresh
        self.catalogues = {
            k.cls.name: Catalogue(k, per_s * k.share, misses, self.parts(k)) for k in world.kinds if not k.cls.is_write
        }
        self._build()

    @staticmethod
    def parts(kind: Kind) -> int:
        return PARTS if kind.cls.has_parts else 1

    def _build(self) -> None:
        w, draw = self.world, self.random
        self.origin = Origin(self.sim, w)
        ids = draw.sample(range(1, 1 << 32), w.parents + 1 + w.locations * w.caches)
        self.boxes: dict[int, object] = {ids[0]: self.origin}
        members = [Member(ids[0], kind=ORIGIN)]
        for ident in ids[1 : w.parents + 1]:
            self.boxes[ident] = Parent(self.sim, w, self.origin, int(PARENT_KEEP_S * 1e6))
            members.append(Member(ident, w.parent_links, kind=PARENT))
        sources = dict(self.boxes)
        rest = ids[w.parents + 1 :]
        for zone in range(w.locations):
            place = Pipe(self.sim, LINK_ROOM * w.fills_per_s * w.work_s / w.locations)
            for ident in rest[zone * w.caches : (zone + 1) * w.caches]:
                self.boxes[ident] = Cache(self.sim, w, place, sources, int(KEEP_S * 1e6))
                members.append(Member(ident, w.cache_links, zone=zone))
        self.membership = [Endpoint(m, f"s{m.server:x}", ("127.0.0.1", 1)) for m in members]
        self.nodes = [Node(self, i, i % w.locations) for i in range(w.directors)]
        for node in self.nodes:
            node.engine.membership_changed(MembershipChange(True, 1, list(self.membership)))
        self.at_zone = [[n for n in self.nodes if n.zone == z] for z in range(w.locations)]

    # Clients

    def note(self, *names: str) -> None:
        row = self.seconds.setdefault(self.sim.time // 1_000_000, Counter())
        row.update(names)

    def fill_up(self) -> None:
        """Caches and parents hold what was asked for lately, each at its hashed place."""
        for name, catalogue in self.catalogues.items():
            kind = self.kinds[name]
            per_s = self.world.requests_per_s * kind.share / self.parts(kind)
            for zone in range(self.world.locations):
                order = self.at_zone[zone][0].router.membership.order
                for _ in range(int(per_s / self.world.locations * PARENT_KEEP_S)):
                    item = self._object(name, catalogue.draw(self.random.random()))
                    lately = self.random.random() < KEEP_S / PARENT_KEEP_S
                    for part in range(self.parts(kind)):
                        caches, parents = order((item, part))
                        if lately:
                            self.boxes[caches[0].server].kept.put((item, part))
                        self.boxes[parents[0].server].kept.put((item, part))

    def _object(self, name: str, rank: int) -> int:
        return random.Random(f"{self.seed} {name} {rank}").getrandbits(50)

    def work_of(self, request: Request) -> tuple[Kind, float]:
        """The same for each asking of a part."""
        kind = self.kinds[request.class_name]
        spread = random.Random(request.object_id * 31 + request.part)
        return kind, kind.work_s * math.exp(spread.gauss(-(kind.sigma**2) / 2, kind.sigma))

    def clients(self, seconds: float, shape=lambda second: 1.0) -> None:
        """Requests for so many seconds from now; `shape` multiplies the load."""
        end = self.sim.now + int(seconds * 1e6)
        for kind in self.world.kinds:
            per_s = self.world.requests_per_s * kind.share / self.parts(kind)
            self._arrive(kind, per_s, end, shape)

    def _arrive(self, kind: Kind, per_s: float, end: int, shape) -> None:
        gap = self.random.expovariate(per_s * shape(self.sim.time / 1e6))
        due = self.sim.now + int(gap * 1e6)
        if due < end:
            self.sim.at(due, self._first, kind, per_s, end, shape)

    def _first(self, kind: Kind, per_s: float, end: int, shape) -> None:
        name = kind.cls.name
        zone = self.random.randrange(self.world.locations)
        if kind.cls.is_write or self.random.random() < self.world.fresh:
            item = self.random.getrandbits(50)
        else:
            item = self._object(name, self.catalogues[name].draw(self.random.random()))
        for part in range(self.parts(kind)):
            due = self.sim.now + int(part * GAP_S * 1e6)
            if due < end:
                self.sim.at(due, self._ask, kind, item, part, zone, 0, due)
        self._arrive(kind, per_s, end, shape)

    def _ask(self, kind: Kind, item: int, part: int, zone: int, tries: int, since: int) -> None:
        self.last_rid += 1
        node = self.random.choice(self.at_zone[zone])
        name = kind.cls.name
        request = Request(
            f"{self.last_rid:016x}",
            self.indices[name],
            name,
            f"{item:x}",
            item,
            self.sim.now + kind.cls.deadline_us,
            part,
            0,
            tries > 0,
        )
        self.note("asked" if not tries else "again")
        node.engine.submit(
            request, lambda answer: self._answered(kind, item, part, zone, tries, since, request, answer)
        )

    def _answered(self, kind, item, part, zone, tries, since, request: Request, answer: Answer) -> None:
        cls, w = kind.cls, self.world
        self.note(answer.outcome.value)
        if answer.outcome is FinalOutcome.REJECTED and tries < TRIES and self.random.random() < w.retries:
            wait = w.retry_s * 2**tries * 1e6 * (0.5 + self.random.random())
            if self.random.random() < w.honour:
                wait = max(wait, answer.retry_after_us)
            return self.sim.at(self.sim.now + int(wait), self._ask, kind, item, part, zone, tries + 1, since)
        took, (_, work_s) = self.sim.now - since, self.work_of(request)
        aim = cls.latency_objective_us + cls.latency_objective_stretch * work_s * 1e6
        worth = 0.0
        if answer.outcome is FinalOutcome.SERVED:
            late = cls.late_priority_weight * cls.priority_weight if took <= cls.deadline_us else 0.0
            worth = cls.priority_weight if took <= aim else late
        got = self.by_class[cls.name]
        got[0] += worth
        got[1] += cls.priority_weight
        row = self.seconds.setdefault((since - self.sim.now + self.sim.time) // 1_000_000, Counter())
        row["worth_milli"] += int(worth * 1000)
        row["owed_milli"] += int(cls.priority_weight * 1000)

    # What came of it

    def share(self, first: int = 0, last: int = 10**6) -> float:
        """Worth served of what was asked for in those seconds."""
        rows = [r for s, r in self.seconds.items() if first <= s < last]
        owed = sum(r["owed_milli"] for r in rows)
        return sum(r["worth_milli"] for r in rows) / owed if owed else 0.0
