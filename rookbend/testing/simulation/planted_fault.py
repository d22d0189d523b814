"""A router without origin protection, as it was before that existed: a baseline, and a fault that tests must detect."""

from __future__ import annotations

from rookbend.interface import AttemptFinished, AttemptStatus, Settings
from rookbend.routing import Router
from rookbend.routing.failure_attribution import is_origin_failure
from rookbend.routing.fill_concurrency import FillConcurrencyLimit
from rookbend.routing.fill_lateness import FillMonitor
from rookbend.routing.membership import Membership
from rookbend.routing.origin_protection import OriginProtection
from rookbend.routing.request_state import Attempt


class DisabledOriginProtection(OriginProtection):
    """Never skips an origin, even if it refuses calls."""

    def skips_origin(self, request_id: int, now_us: int) -> bool:
        return False


class OriginRefusalsAsLateFills(FillMonitor):
    """Treats the refusals of an origin as late fills, as if its link were full."""

    def __init__(self, limit: FillConcurrencyLimit, membership: Membership) -> None:
        super().__init__(limit)
        self.membership = membership

    def attempt_finished(self, attempt: Attempt, event: AttemptFinished) -> None:
        super().attempt_finished(attempt, event)
        refused = attempt.may_fill and event.status is AttemptStatus.FULL
        if refused and is_origin_failure(attempt, event.detail, self.membership):
            self.limit.observe(True)


class RouterWithoutOriginProtection(Router):
    """A router with both faults."""

    def __init__(self, settings: Settings, seed: int = 0) -> None:
        super().__init__(settings, seed)
        self.origin_protection = DisabledOriginProtection(settings, seed)
        self.reads.origin_protection = self.origin_protection
        self.fill_monitor = OriginRefusalsAsLateFills(self.fill_limit, self.membership)
        self.reads.fill_monitor = self.fill_monitor
