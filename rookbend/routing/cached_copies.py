"""Where an object was served from lately: a copy is there, and there is no fill to wait for."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.interface import Settings
from rookbend.routing.bounded_table import BoundedTable
from rookbend.routing.membership import Membership
from rookbend.routing.request_state import ObjectKey, Request

TABLE_REQUESTS_RATIO = 1.0  # objects remembered, in the requests that a router may hold
LIFETIME_PROPAGATION_RATIO = 0.5  # a copy is taken to be there for this share of a purge's propagation time


@dataclass(slots=True)
class CachedCopy:
    """Where and when an object was served, and what its transfer took or was expected to take."""

    server: int
    served_us: int
    transfer_us: float


class CachedCopies:
    """The last place that served each object."""

    def __init__(self, settings: Settings, membership: Membership) -> None:
        self.settings = settings
        self.membership = membership
        self.by_key: BoundedTable[ObjectKey, CachedCopy] = BoundedTable(
            TABLE_REQUESTS_RATIO * settings.max_requests_in_flight
        )

    def record(self, key: ObjectKey, server: int, now_us: int, transfer_us: float) -> None:
        """A server has served the object."""
        self.by_key.put(key, CachedCopy(server, now_us, transfer_us))

    def location(self, request: Request, purged_us: int | None, now_us: int) -> int | None:
        """The ready server that still has a fresh copy, one served after the purge; None where none is sure to."""
        copy = self.by_key.get(request.key)
        if copy is None or (purged_us is not None and copy.served_us <= purged_us):
            return None
        lifetime_us = LIFETIME_PROPAGATION_RATIO * self.settings.purge_propagation_us
        if request.traffic_class.freshness_lifetime_us:
            lifetime_us = min(lifetime_us, request.traffic_class.freshness_lifetime_us)
        if now_us - copy.served_us <= lifetime_us and self.membership.is_ready(copy.server):
            return copy.server
        return None
