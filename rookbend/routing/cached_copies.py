"""The servers that recently served each object: they hold a copy, so that a request needs no fill."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.interface import Settings
from rookbend.routing.bounded_table import BoundedTable
from rookbend.routing.membership import Membership
from rookbend.routing.request_state import ObjectKey, Request

TABLE_REQUESTS_RATIO = 1.0  # size of the table, relative to max_requests_in_flight
LIFETIME_PROPAGATION_RATIO = 0.5  # how long a copy is assumed to exist, relative to the purge propagation time


@dataclass(slots=True)
class CachedCopy:
    """Server and time of an object's last response, and its measured or expected transfer time."""

    server: int
    served_us: int
    transfer_us: float


class CachedCopies:
    """The server that last served each object."""

    def __init__(self, settings: Settings, membership: Membership) -> None:
        self.settings = settings
        self.membership = membership
        self.by_key: BoundedTable[ObjectKey, CachedCopy] = BoundedTable(
            TABLE_REQUESTS_RATIO * settings.max_requests_in_flight
        )

    def record(self, key: ObjectKey, server: int, now_us: int, transfer_us: float) -> None:
        """Record that a server has served the object."""
        self.by_key.put(key, CachedCopy(server, now_us, transfer_us))

    def location(self, request: Request, purged_us: int | None, now_us: int) -> int | None:
        """The ready server that should hold a fresh copy, served after the purge; None where there is none."""
        copy = self.by_key.get(request.key)
        if copy is None or (purged_us is not None and copy.served_us <= purged_us):
            return None
        lifetime_us = LIFETIME_PROPAGATION_RATIO * self.settings.purge_propagation_us
        if request.traffic_class.freshness_lifetime_us:
            lifetime_us = min(lifetime_us, request.traffic_class.freshness_lifetime_us)
        if now_us - copy.served_us <= lifetime_us and self.membership.is_ready(copy.server):
            return copy.server
        return None
