"""Sends reads to a cache, which may fill from a source, within all limits."""

from __future__ import annotations

from rookbend.interface import Action, Fetch, Member, Settings
from rookbend.routing.attempt_tracking import AttemptTracker
from rookbend.routing.cached_copies import CachedCopies
from rookbend.routing.endpoint_selection import EndpointSelector
from rookbend.routing.fill_concurrency import FillConcurrencyLimit
from rookbend.routing.fill_lateness import FillMonitor
from rookbend.routing.origin_protection import OriginProtection
from rookbend.routing.purge_log import PurgeLog
from rookbend.routing.request_state import Request
from rookbend.routing.retry_policy import Denial, RetryPolicy
from rookbend.routing.server_stats import ServerTable
from rookbend.routing.source_selection import SourceSelector
from rookbend.routing.timers import TimerTable

OVERDUE_OBJECTIVE_RATIO = 0.7  # a read is overdue after its objective and its transfer time, in these ratios
OVERDUE_TRANSFER_RATIO = 1.7
TIMEOUT_OBJECTIVE_RATIO = 6.0  # long: a fill outlives its attempt, so an early time-out only adds another fill
TIMEOUT_TRANSFER_RATIO = 6.0
RETENTION_RANK = 1
MIN_MAX_AGE_US = 1  # 0 would select the class's freshness lifetime
DEFAULT_MAX_AGE_US = 0


class ReadSender:
    """Sends reads. The actions of an attempt, its timer and then its fetch, are appended to those of the event."""

    def __init__(
        self,
        settings: Settings,
        servers: ServerTable,
        endpoints: EndpointSelector,
        sources: SourceSelector,
        retry_policy: RetryPolicy,
        origin_protection: OriginProtection,
        fill_limit: FillConcurrencyLimit,
        fill_monitor: FillMonitor,
        copies: CachedCopies,
        purges: PurgeLog,
        tracker: AttemptTracker,
        timers: TimerTable,
    ) -> None:
        self.settings = settings
        self.servers = servers
        self.endpoints = endpoints
        self.sources = sources
        self.retry_policy = retry_policy
        self.origin_protection = origin_protection
        self.fill_limit = fill_limit
        self.fill_monitor = fill_monitor
        self.copies = copies
        self.purges = purges
        self.tracker = tracker
        self.timers = timers

    def send(
        self,
        request: Request,
        preferred_server: int | None,
        preferred_source: int | None,
        now_us: int,
        actions: list[Action],
    ) -> Denial | None:
        """Send a read to the preferred cache, to fill from the preferred source, or to others if these can't take it.

        Returns why no attempt was sent, or None.
        """
        member = self.endpoints.choose_cache(request, preferred_server, now_us)
        source = self.sources.choose(request, preferred_source, now_us)
        if member is None and self.settings.allows_direct_to_source:
            member = source  # no cache of the location is left
        if member is None:
            return Denial.NO_ENDPOINT
        if request.cannot_meet_objective:
            return Denial.OBJECTIVE_UNREACHABLE
        denial = self.retry_policy.denial(request, member, now_us)
        if denial is not None:
            return denial
        return self._fetch(request, member, source, now_us, actions)

    def _fetch(
        self, request: Request, member: Member, source: Member | None, now_us: int, actions: list[Action]
    ) -> Denial | None:
        """Send a read to `member`, limited to cached copies where no fill may start."""
        purged_us = self.purges.latest(request.object_id, request.group, now_us)
        is_cached = self.copies.location(request, purged_us, now_us) == member.server
        cache_only = not is_cached and source is not None and not self.fill_limit.has_capacity(now_us)
        if cache_only and (request.cache_missed or member is source):
            return Denial.NO_FILL_CAPACITY
        parent_only = self._is_parent_only(request, source, cache_only, now_us)
        if cache_only and not parent_only:
            source = None
        source_server = source.server if source is not None else None
        may_fill = source is not None and not is_cached and not cache_only
        attempt = self.tracker.start(request, member, source_server, timeout_us(request), may_fill, now_us)
        attempt.is_cache_only = cache_only
        slowness = self.servers[member.server].slowness()
        actions.append(self.timers.start(overdue_after_us(request, slowness), attempt))
        actions.append(
            Fetch(
                request.id,
                member.server,
                attempt.timeout_us,
                member.server if source_server is None else source_server,
                RETENTION_RANK,
                DEFAULT_MAX_AGE_US if purged_us is None else self._max_age_us(request, purged_us, now_us),
                self.settings.supports_joined_fills and purged_us is None,
                parent_only,
            )
        )
        return None

    def _is_parent_only(self, request: Request, source: Member | None, cache_only: bool, now_us: int) -> bool:
        """Whether the attempt may use a copy at a parent but may not reach the origin.

        This holds for cache-only attempts while fills from parents are timely and those from the origin are late,
        since a parent's copy takes no fill capacity, and for some reads after a failure of the origin.
        """
        if cache_only and self.settings.answer_detail == "all" and self.fill_monitor.origin_is_slow():
            return True
        if cache_only or source is None or source.kind != self.settings.parent_kind:
            return False
        return self.origin_protection.skips_origin(request.id, now_us)

    def _max_age_us(self, request: Request, purged_us: int, now_us: int) -> int:
        """Age in microseconds below which a copy is younger than the purge."""
        since_purge_us = now_us - purged_us - self.settings.clock_tick_us
        fresh_us = request.traffic_class.freshness_lifetime_us or now_us
        return max(MIN_MAX_AGE_US, min(since_purge_us, fresh_us))


def timeout_us(request: Request) -> float:
    """Time-out of a read in microseconds, before `AttemptTracker.start` doubles it for each earlier time-out."""
    objective_us = request.traffic_class.latency_objective_us
    transfer_us = request.expected_transfer_us
    return TIMEOUT_OBJECTIVE_RATIO * objective_us + TIMEOUT_TRANSFER_RATIO * transfer_us


def overdue_after_us(request: Request, slowness_ratio: float) -> float:
    """Time in microseconds after which a read is overdue at a server of this slowness."""
    objective_us = request.traffic_class.latency_objective_us
    transfer_us = request.expected_transfer_us
    return OVERDUE_OBJECTIVE_RATIO * objective_us + OVERDUE_TRANSFER_RATIO * transfer_us * slowness_ratio
