"""The current membership: the members by role, their readiness, and the hash order of each object over them."""

from __future__ import annotations

from typing import NamedTuple

from rookbend.interface import Member, MembershipUpdated, MembershipUpdateKind, MemberState, Settings
from rookbend.routing.bounded_table import BoundedTable
from rookbend.routing.rendezvous_hash import WeightedMember, mix, preference_order
from rookbend.routing.request_state import ObjectKey

MIN_WEIGHT_TRANSFERS = 1e-3
UNIFORM_WEIGHT_TRANSFERS = 1.0  # of every member where the configured weights are not capacities
INCREMENTAL_UPDATES = (MembershipUpdateKind.DELTA, MembershipUpdateKind.FAILED)


class PreferenceOrder(NamedTuple):
    """Members in the hash order of an object, best first. Draining members stay in it, to keep the order stable."""

    caches: list[Member]
    parents: list[Member]


class Membership:
    """The members by id and by role, with hash orders per object."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.all: dict[int, Member] = {}
        self.caches: list[Member] = []
        self.parents: list[Member] = []
        self.origins: list[Member] = []
        self.orders: BoundedTable[ObjectKey, PreferenceOrder] = BoundedTable(settings.max_requests_in_flight)
        self._hashed_caches: list[WeightedMember] = []
        self._hashed_parents: list[WeightedMember] = []

    def apply(self, event: MembershipUpdated) -> list[int]:
        """Apply a full list or a change; returns the servers that are new or have restarted."""
        previous = self.all
        current = dict(previous) if event.kind in INCREMENTAL_UPDATES else {}
        for member in event.members:
            current[member.server] = member
        self.all = {server: member for server, member in current.items() if member.state is not MemberState.GONE}
        self._assign_roles()
        return [
            server
            for server, member in self.all.items()
            if server not in previous or member.started_us > previous[server].started_us
        ]

    def _assign_roles(self) -> None:
        parent_kind = self.settings.parent_kind
        origin_kind = self.settings.origin_kind
        members = sorted(self.all.values(), key=lambda member: member.server)
        self.caches = [
            member
            for member in members
            if member.kind not in (parent_kind, origin_kind) and member.zone == self.settings.zone
        ]
        self.parents = [member for member in members if member.kind == parent_kind]
        self.origins = [member for member in members if member.kind == origin_kind]
        self._hashed_caches = [self._hashed(member) for member in self.caches]
        self._hashed_parents = [self._hashed(member) for member in self.parents]
        self.orders.clear()

    def _hashed(self, member: Member) -> WeightedMember:
        return WeightedMember(mix(member.server), self.weight(member), member)

    def is_ready(self, server: int) -> bool:
        """Whether a server may get new attempts: it is listed and not draining."""
        member = self.all.get(server)
        return member is not None and member.state is MemberState.READY

    def ready_origin(self) -> Member | None:
        """The first origin that is ready."""
        for origin in self.origins:
            if self.is_ready(origin.server):
                return origin
        return None

    def is_origin(self, server: int | None) -> bool:
        """Whether the server is a listed origin, ready or not."""
        return any(origin.server == server for origin in self.origins)

    def weight(self, member: Member) -> float:
        """Capacity of a member in transfers at full pace."""
        if self.settings.weights in ("nominal", "rough"):
            return max(member.weight, MIN_WEIGHT_TRANSFERS)
        return UNIFORM_WEIGHT_TRANSFERS

    def cache_capacity(self) -> float:
        """Total capacity of the caches of this location, in transfers."""
        return sum(map(self.weight, self.caches))

    def location_router_count(self) -> int:
        """Number of routers at this router's location, at least 1; of all routers where that is unknown."""
        by_zone = self.settings.routers_by_zone
        zone = self.settings.zone
        return max(1, by_zone[zone] if zone < len(by_zone) else self.settings.router_count)

    def order(self, key: ObjectKey) -> PreferenceOrder:
        """The hash order of an (object id, part).

        Each part is cached separately, so parts are spread over the caches; all parts of an object share one parent.
        """
        order = self.orders.get(key)
        if order is None:
            object_id, part = key
            order = PreferenceOrder(
                preference_order(object_id ^ mix(part), self._hashed_caches),
                preference_order(object_id, self._hashed_parents),
            )
            self.orders.put(key, order)
        return order
