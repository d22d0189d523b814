"""Selection of the cache of an attempt and the parent of a fill: the first in hash order that can take it."""

from __future__ import annotations

from collections.abc import Sequence

from rookbend.interface import Member, MemberState, Settings
from rookbend.routing.membership import Membership
from rookbend.routing.outlier_detection import OutlierDetector
from rookbend.routing.request_state import Request
from rookbend.routing.server_load import ServerLoad
from rookbend.routing.server_stats import ServerTable
from rookbend.routing.slow_start import SlowStart

CONGESTED_TIME_LEFT_RATIO = 1.5  # a cache is congested if a transfer takes longer than the time left times this
CONGESTED_UTILIZATION_RATIO = 1.5  # without spillover, requests of any size are rejected above this utilization
PARENT_CONGESTED_SHARE_RATIO = 4.0  # a parent is congested above this multiple of the router's share of it
SPILLOVER_UTILIZATION_RATIO = 0.33  # highest utilization of a spillover target, relative to the congested cache
SPILLOVER_MAX_SLOWNESS_RATIO = 1.5  # a cache this slow spills over to a target of any utilization

# The first member that is healthy and not congested, the first that is healthy, and the first that is usable at all.
Candidates = tuple[Member | None, Member | None, Member | None]


class EndpointSelector:
    """Selects from an object's hash order.

    Slow start budgets and drains always apply. Ejection and congestion are ignored when no better server is left,
    but an ejected server gets at most one attempt of this router at a time. Servers that the request has already
    tried are skipped.
    """

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        servers: ServerTable,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        load: ServerLoad,
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.servers = servers
        self.slow_start = slow_start
        self.outliers = outliers
        self.load = load

    def choose_cache(self, request: Request, preferred: int | None, now_us: int) -> Member | None:
        """The cache for the next attempt, `preferred` before others.

        Sets `request.cannot_meet_objective` where this is the first attempt and it would be late at every cache.
        """
        order = self.membership.order(request.key).caches
        suitable, healthy, usable = self._scan(request, order, request.tried_servers, preferred, False, now_us)
        is_first = request.attempt_count == 0 and now_us < request.objective_deadline_us
        if healthy is not None and suitable is not healthy and is_first:
            suitable = self._spillover(request, healthy, suitable, now_us)
        return suitable or healthy or usable

    def choose_parent(self, request: Request, preferred: int | None, now_us: int) -> Member | None:
        """The parent that a fill comes from, `preferred` before others."""
        order = self.membership.order(request.key).parents
        suitable, healthy, usable = self._scan(request, order, request.failed_sources, preferred, True, now_us)
        return suitable or healthy or usable

    def _scan(
        self,
        request: Request,
        order: Sequence[Member],
        excluded: set[int] | set[int | None],
        preferred: int | None,
        for_fill: bool,
        now_us: int,
    ) -> Candidates:
        if preferred is not None:
            order = sorted(order, key=lambda member: member.server != preferred)
        healthy = usable = None
        for member in order:  # usually returns at the first member
            if member.state is not MemberState.READY or member.server in excluded:
                continue
            if not self.slow_start.admits(member, now_us, request.slow_start_charge_us):
                continue
            stats = self.servers[member.server]
            in_use = stats.fills_in_flight if for_fill else stats.in_flight
            if usable is None and not (stats.ejected_until_us and in_use):
                usable = member
            is_suspect = stats.ejected_until_us or stats.is_half_open
            if is_suspect and not self.outliers.admits(member.server, now_us, in_use):
                continue
            healthy = healthy or member
            if not self.is_congested(member, request, request.expected_transfer_us, now_us):
                return member, healthy, usable
        return None, healthy, usable

    def _spillover(self, request: Request, primary: Member, alternative: Member | None, now_us: int) -> Member | None:
        """Choose between `primary`, the congested first healthy cache, and `alternative`, the first not congested.

        The primary is kept where there is no alternative or the alternative is about as full: a second fill there
        would take capacity from requests that can be on time. The request must then fit at the primary; where its
        size is estimated, its minimum transfer time decides.
        """
        stats = self.servers[primary.server]
        is_responsive = now_us >= stats.full_until_us and stats.slowness() < SPILLOVER_MAX_SLOWNESS_RATIO
        primary_utilization = self.load.utilization(primary, now_us)
        if alternative is not None and not (
            is_responsive
            and self.load.utilization(alternative, now_us) > SPILLOVER_UTILIZATION_RATIO * primary_utilization
        ):
            return alternative
        request.cannot_meet_objective = primary_utilization > CONGESTED_UTILIZATION_RATIO or self.is_congested(
            primary, request, request.min_transfer_us, now_us
        )
        return primary

    def is_congested(self, member: Member, request: Request, transfer_us: float, now_us: int) -> bool:
        """Whether a server is loaded so much that the transfer would be late."""
        stats = self.servers[member.server]
        if member.kind == self.settings.parent_kind:
            share = self.membership.weight(member) / self.settings.router_count
            return stats.fills_in_flight > PARENT_CONGESTED_SHARE_RATIO * share
        if now_us < stats.full_until_us:
            return True
        expected_us = self.load.utilization(member, now_us) * stats.slowness() * transfer_us
        return expected_us > CONGESTED_TIME_LEFT_RATIO * max(request.objective_deadline_us - now_us, 0)
