"""Whether a request may get another attempt, and what follows the end of one."""

from __future__ import annotations

from enum import Enum

from rookbend.interface import AttemptDetail, AttemptFinished, AttemptStatus, Idempotency, Member, Settings
from rookbend.routing.failure_attribution import is_origin_failure
from rookbend.routing.membership import Membership
from rookbend.routing.request_state import Attempt, Request

MIN_TIME_LEFT_TRANSFER_RATIO = 0.5  # no attempt if less than this share of the minimum transfer time is left
MAX_ERRORS = 3  # servers that answer with an error before the request itself is considered invalid
FIRST_WRITE_BACKOFF_CONNECT_TIMEOUTS = 0.5  # doubles with each attempt


class Denial(Enum):
    """Why an attempt is not sent."""

    NO_ENDPOINT = "no server is left to try"
    OBJECTIVE_UNREACHABLE = "every cache would send it late"
    ATTEMPTS_EXHAUSTED = "it has had max_attempts"
    DEADLINE_TOO_NEAR = "the deadline comes before its transfer"
    MAY_HAVE_EXECUTED = "it may have been executed, and must not be twice"
    IDEMPOTENCY_WINDOW_OVER = "its idempotency key may have expired"
    OUTSIDE_RETRY_SCOPE = "its idempotency key is not known to that server"
    NO_FILL_CAPACITY = "no fill may start now"


class NextStep(Enum):
    """The step of a request that follows the end of an attempt."""

    SERVED = "it was served"
    FAILED = "it has failed for good"
    REJECT = "it is answered at once: another attempt would do no good"
    BACK_OFF = "a write pauses before an origin that fails"
    FAIL = "the request itself is at fault"
    RETRY_WRITE = "a write goes on to another server"
    FILL_AFTER_MISS = "the cache has no copy: it has to be filled"
    HAND_OVER_AND_RETRY = "a leader hands its fill over, and waits or leads again"
    RETRY = "it goes on to another server"


class RetryPolicy:
    """The rules for repeated attempts, and the limits of all attempts."""

    def __init__(self, settings: Settings, membership: Membership) -> None:
        self.settings = settings
        self.membership = membership

    def denial(self, request: Request, member: Member, now_us: int) -> Denial | None:
        """Why a request may not be sent to a member, or None where it may.

        A request that may have been executed is repeated if it is idempotent, or within the window of its
        idempotency key and its retry scope.
        """
        if request.attempt_count >= self.settings.max_attempts:
            return Denial.ATTEMPTS_EXHAUSTED
        if now_us + MIN_TIME_LEFT_TRANSFER_RATIO * request.min_transfer_us >= request.deadline_us:
            return Denial.DEADLINE_TOO_NEAR
        if request.possibly_executed_us is None or request.traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return None
        if request.traffic_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return Denial.MAY_HAVE_EXECUTED
        window_us = request.traffic_class.idempotency_key_window_us - self.settings.clock_tick_us
        if now_us - request.possibly_executed_us >= window_us:
            return Denial.IDEMPOTENCY_WINDOW_OVER
        return None if in_retry_scope(request, member) else Denial.OUTSIDE_RETRY_SCOPE

    def next_step(self, request: Request, attempt: Attempt, event: AttemptFinished, now_us: int) -> NextStep:
        """The step after an attempt of an open request; no other attempt is in flight, or the end is final."""
        if event.final:
            return NextStep.SERVED if event.status is AttemptStatus.OK else NextStep.FAILED
        if is_origin_failure(attempt, event.detail, self.membership):
            # Retries by all routers would keep an overloaded origin down: reads are rejected, writes back off.
            backs_off = request.is_write and now_us + self.write_backoff_us(request) < request.objective_deadline_us
            return NextStep.BACK_OFF if backs_off else NextStep.REJECT
        if len(request.erring_servers) >= MAX_ERRORS:
            return NextStep.FAIL
        if request.is_write:
            return NextStep.RETRY_WRITE
        if attempt.is_cache_only and event.status is AttemptStatus.MISS:
            return NextStep.FILL_AFTER_MISS
        if event.detail is AttemptDetail.SOURCE_LACKS:
            return NextStep.REJECT  # no parent has a copy, and the read may not reach the origin
        return NextStep.HAND_OVER_AND_RETRY if request.is_leader else NextStep.RETRY

    def write_backoff_us(self, request: Request) -> float:
        """Backoff of a write in microseconds after the origin has failed it."""
        first_us = FIRST_WRITE_BACKOFF_CONNECT_TIMEOUTS * self.settings.connect_timeout_us
        return first_us * float(2 ** (request.attempt_count - 1))


def in_retry_scope(request: Request, member: Member) -> bool:
    """Whether a member knows the idempotency keys of the member where the request may have been executed."""
    first = request.possibly_executed_at
    scope = request.traffic_class.retry_scope
    if scope == "all" or first is None:
        return True
    return member.zone == first.zone and (scope == "zone" or member.cell == first.cell)
