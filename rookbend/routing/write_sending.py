"""Sends writes, which the origin executes: directly where that is allowed, otherwise through a cache."""

from __future__ import annotations

import math

from rookbend.interface import Action, Fetch, FetchCached, Idempotency, Member, Settings
from rookbend.routing.attempt_tracking import AttemptTracker
from rookbend.routing.endpoint_selection import EndpointSelector
from rookbend.routing.membership import Membership
from rookbend.routing.request_state import Request
from rookbend.routing.retry_policy import Denial, RetryPolicy
from rookbend.routing.source_selection import SourceSelector

TIMEOUT_OBJECTIVE_RATIO = 0.45
RETENTION_RANK = 0


class WriteSender:
    """Sends writes."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        endpoints: EndpointSelector,
        sources: SourceSelector,
        retry_policy: RetryPolicy,
        tracker: AttemptTracker,
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.endpoints = endpoints
        self.sources = sources
        self.retry_policy = retry_policy
        self.tracker = tracker

    def send(self, request: Request, now_us: int, actions: list[Action]) -> Denial | None:
        """Send a write to the origin, or through a cache; returns why no attempt was sent, or None."""
        source: Member | None = self.membership.ready_origin()
        if source is None or source.server in request.failed_sources:
            source = self.sources.choose(request, None, now_us)
        is_direct = self.settings.allows_direct_to_source
        member = source if is_direct else self.endpoints.choose_cache(request, None, now_us)
        if source is None or member is None:
            return Denial.NO_ENDPOINT
        denial = self.retry_policy.denial(request, member, now_us)
        if denial is not None:
            return denial
        attempt = self.tracker.start(request, member, source.server, timeout_us(request), True, now_us)
        if member is source and member.kind == self.settings.origin_kind:
            actions.append(FetchCached(request.id, member.server, attempt.timeout_us))
        else:
            actions.append(Fetch(request.id, member.server, attempt.timeout_us, source.server, RETENTION_RANK))
        return None


def timeout_us(request: Request) -> float:
    """Time-out of a write in microseconds, before `AttemptTracker.start` doubles it for each earlier time-out.

    This function doubles it too, so it grows fourfold each time. A write that is not idempotent cannot be repeated
    after a time-out, so it has none but its deadline: an earlier one would only discard its answer.
    """
    if request.traffic_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return math.inf
    first_us = TIMEOUT_OBJECTIVE_RATIO * request.traffic_class.latency_objective_us
    return first_us * float(2**request.timeout_count)
