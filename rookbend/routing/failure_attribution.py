"""Attribution of a failed attempt to the cache, the source, the origin or the request itself."""

from __future__ import annotations

from rookbend.interface import AttemptDetail, AttemptFinished, AttemptStatus, Settings
from rookbend.routing.membership import Membership
from rookbend.routing.origin_protection import OriginProtection
from rookbend.routing.outlier_detection import OutlierDetector
from rookbend.routing.request_state import Attempt, Request
from rookbend.routing.server_stats import ServerTable

FULL_PAUSE_CONNECT_TIMEOUTS = 0.5  # how long a cache that rejected an attempt counts as full

ANSWERED_BY_CACHE = (AttemptStatus.MISS, AttemptStatus.FULL, AttemptStatus.ERROR)
UNATTRIBUTED_STATUSES = (AttemptStatus.CANCELLED, AttemptStatus.MOOT, AttemptStatus.MISS)
FILLED_BY_SOURCE = (AttemptDetail.FILLED, AttemptDetail.ORIGIN_ASKED)
SOURCE_UNAVAILABLE = (AttemptDetail.SOURCE_REFUSED, AttemptDetail.SOURCE_UNREACHABLE)
SOURCE_FAILED = (*SOURCE_UNAVAILABLE, AttemptDetail.SOURCE_LACKS, AttemptDetail.ORIGIN_FAILED)


def is_origin_failure(attempt: Attempt, detail: AttemptDetail, membership: Membership) -> bool:
    """Whether the origin failed an attempt: as reported through a parent, or as the source itself."""
    if detail is AttemptDetail.ORIGIN_FAILED:
        return True
    return detail in SOURCE_UNAVAILABLE and membership.is_origin(attempt.source)


class FailureAttribution:
    """Attributes failures by status and detail, and by which other attempts are answered."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        servers: ServerTable,
        outliers: OutlierDetector,
        origin_protection: OriginProtection,
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.servers = servers
        self.outliers = outliers
        self.origin_protection = origin_protection

    def attribute(self, attempt: Attempt, event: AttemptFinished, now_us: int) -> None:
        """Record the end of an attempt with its servers, and exclude servers from further attempts of the request."""
        status = event.status
        request = attempt.request
        if status is AttemptStatus.CANCELLED:
            self._cancelled(attempt)
        if status in ANSWERED_BY_CACHE:
            self.outliers.record_answer(attempt.server, now_us)  # the cause of a delay or failure lies behind it
        if status in UNATTRIBUTED_STATUSES:
            return
        if status is AttemptStatus.OK:
            self._served(attempt, event.detail, now_us)
        elif event.detail in SOURCE_FAILED:
            self._source_failed(attempt, event.detail, now_us)
        elif status is AttemptStatus.FULL or event.detail is AttemptDetail.NO_FILL_PLACE:
            pause_us = FULL_PAUSE_CONNECT_TIMEOUTS * self.settings.connect_timeout_us
            self.servers[attempt.server].full_until_us = now_us + pause_us
            request.tried_servers.add(attempt.server)
        elif status is AttemptStatus.ERROR:
            # Counts against the server only once another one serves the request: an invalid request fails on all.
            request.tried_servers.add(attempt.server)
            request.erring_servers.append(attempt.server)
        else:
            self._unanswered(attempt, request, status, now_us)

    def _cancelled(self, attempt: Attempt) -> None:
        request = attempt.request
        if attempt.cancelled_for == attempt.server:
            request.tried_servers.add(attempt.server)
        else:
            request.failed_sources.add(attempt.cancelled_for)

    def _served(self, attempt: Attempt, detail: AttemptDetail, now_us: int) -> None:
        request = attempt.request
        for server in request.erring_servers:  # another server serves the request, so these have failed
            self.outliers.record_failure(server, now_us)
        request.erring_servers.clear()
        self.outliers.record_success(attempt.server, now_us)
        if attempt.source is not None and detail in FILLED_BY_SOURCE:
            self.outliers.record_success(attempt.source, now_us)

    def _source_failed(self, attempt: Attempt, detail: AttemptDetail, now_us: int) -> None:
        attempt.request.failed_sources.add(attempt.source)
        if is_origin_failure(attempt, detail, self.membership):
            self.origin_protection.record_failure(now_us)
        if attempt.source is not None and detail in SOURCE_UNAVAILABLE:
            self.outliers.record_failure(attempt.source, now_us)

    def _unanswered(self, attempt: Attempt, request: Request, status: AttemptStatus, now_us: int) -> None:
        if status is AttemptStatus.RESET and not request.had_reset:
            request.had_reset = True  # not excluded yet: if only the answer was lost, that cache now has the object
        else:
            request.tried_servers.add(attempt.server)
        if status is AttemptStatus.TIMEOUT:
            request.timeout_count += 1
            answered_another = self.servers[attempt.server].last_answer_us >= attempt.sent_us
            if attempt.timeout_us < request.expected_transfer_us or answered_another:
                return  # too short for the transfer, or the server answers other attempts: not its failure
        self.outliers.record_failure(attempt.server, now_us)
