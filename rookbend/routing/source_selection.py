"""Which source a fill comes from: a parent, or the origin."""

from __future__ import annotations

from rookbend.interface import Member, Settings
from rookbend.routing.endpoint_selection import EndpointSelector
from rookbend.routing.fill_concurrency import FillConcurrencyLimit
from rookbend.routing.membership import Membership
from rookbend.routing.request_state import Request
from rookbend.routing.server_stats import ServerTable

MIN_PARENT_SHARE_TRANSFERS = 4.0  # with a smaller share, own fills don't show whether a parent's link is full


class SourceSelector:
    """Selects the source of a fill."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        servers: ServerTable,
        endpoints: EndpointSelector,
        fill_limit: FillConcurrencyLimit,
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.servers = servers
        self.endpoints = endpoints
        self.fill_limit = fill_limit

    def choose(self, request: Request, preferred: int | None, now_us: int) -> Member | None:
        """A parent; the origin where no parent is available, and for some fills while the parent's link is full."""
        parent = self.endpoints.choose_parent(request, preferred, now_us)
        origin = self.membership.ready_origin()
        if parent is None:
            return origin
        if origin is not None and self._link_is_full(parent) and self._may_bypass_to(origin):
            return origin
        return parent

    def _link_is_full(self, parent: Member) -> bool:
        """Whether this router has more fills at the parent than its share of the link."""
        share = self.membership.weight(parent) / self.settings.router_count
        return MIN_PARENT_SHARE_TRANSFERS < share < self.servers[parent.server].fills_in_flight

    def _may_bypass_to(self, origin: Member) -> bool:
        """Whether this router has fewer fills at the origin than the location's capacity divided by all routers."""
        location_routers = self.membership.location_router_count()
        share = self.fill_limit.capacity * location_routers / self.settings.router_count
        return self.servers[origin.server].fills_in_flight < share
