"""Attempts in flight, and the counters that their start and end change."""

from __future__ import annotations

from rookbend.interface import NEVER_EXECUTED, AttemptFinished, Member
from rookbend.routing.fill_concurrency import FillConcurrencyLimit
from rookbend.routing.request_state import Attempt, AttemptKey, Request
from rookbend.routing.server_stats import ServerTable
from rookbend.routing.slow_start import SlowStart


class AttemptTracker:
    """The attempts in flight by request and number."""

    def __init__(self, servers: ServerTable, slow_start: SlowStart, fill_limit: FillConcurrencyLimit) -> None:
        self.servers = servers
        self.slow_start = slow_start
        self.fill_limit = fill_limit
        self.in_flight: dict[AttemptKey, Attempt] = {}

    def start(
        self, request: Request, member: Member, source: int | None, timeout_us: float, may_fill: bool, now_us: int
    ) -> Attempt:
        """Record an attempt. Its time-out doubles with each earlier time-out of the request, up to the deadline."""
        server = member.server
        limit_us = int(min(timeout_us * 2**request.timeout_count, request.deadline_us - now_us))
        attempt = Attempt(request, request.attempt_count, server, source, now_us, limit_us, may_fill)
        self.slow_start.charge(server, now_us, request.slow_start_charge_us)
        if source is not None and source != server:
            self.slow_start.charge(source, now_us, request.slow_start_charge_us)
        self.servers[server].in_flight += 1
        if may_fill and source is not None:
            self._start_fill(request, source)
        self.in_flight[(request.id, attempt.number)] = attempt
        request.attempt_count += 1
        request.attempt = attempt
        if request.possibly_executed_us is None:
            request.possibly_executed_us = now_us
            request.possibly_executed_at = member
        if request.is_leader and request.collapsed_fill is not None:
            request.collapsed_fill.server = server
            request.collapsed_fill.source = source
        return attempt

    def _start_fill(self, request: Request, source: int) -> None:
        self.servers[source].fills_in_flight += 1
        self.fill_limit.rate.tokens -= 1  # a write consumes a token too, but waits for none
        if not request.is_write:
            self.fill_limit.in_flight += 1

    def finish(self, event: AttemptFinished) -> Attempt | None:
        """Remove an attempt from those in flight; returns it, or None where it is not in flight."""
        attempt = self.in_flight.pop((event.request, event.attempt), None)
        if attempt is None:
            return None
        self.servers[attempt.server].in_flight -= 1
        if attempt.may_fill and attempt.source is not None:
            self.servers[attempt.source].fills_in_flight -= 1
            if not attempt.request.is_write:
                self.fill_limit.in_flight -= 1
        return attempt

    def update_request(self, attempt: Attempt, event: AttemptFinished) -> None:
        """Clear a finished attempt from its request, and the possible execution where the status rules it out."""
        request = attempt.request
        if request.attempt is attempt:
            request.attempt = None
        if event.status in NEVER_EXECUTED and request.possibly_executed_us == attempt.sent_us:
            request.possibly_executed_us = None
            request.possibly_executed_at = None
