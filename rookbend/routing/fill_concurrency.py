"""How many fills this router has in flight: a limit that falls when they come late, and a rate from outside."""

from __future__ import annotations

import math

from rookbend.interface import AttemptDetail, AttemptFinished, AttemptStatus
from rookbend.routing.request_state import Attempt, Request

TARGET_LATE_RATIO = 0.06  # share of fills that may come late before the limit falls
DECREASE_RATIO = 0.05  # of the limit with each late fill, times the root of the location's routers
MAX_DECREASE_RATIO = 0.5
MIN_INCREASE_FILLS = 0.06  # with each timely fill
MIN_LIMIT_CAPACITY_RATIO = 0.08  # of this router's share of what the caches carry
INITIAL_LIMIT_CAPACITY_RATIO = 1.0
MAX_LIMIT_CAPACITY_RATIO = 4.0
MIN_CAPACITY_TRANSFERS = 1.0
BURST_S = 0.5  # fills at once, in seconds of the rate
MIN_BURST_FILLS = 1.0
US_PER_S = 1e6
LATE_OBJECTIVE_RATIO = 0.8  # a fill is late from this share of its stretched latency objective
LATE_RATIO_SPAN_FILLS = 24  # fills over which the late ratios are averaged
ORIGIN_SLOW_MAX_PARENT_LATE_RATIO = 0.05
ORIGIN_SLOW_MIN_ORIGIN_LATE_RATIO = 0.25


class FillRateLimiter:
    """A token bucket under the rate set from outside; None: any rate."""

    def __init__(self) -> None:
        self.per_second: float | None = None
        self.tokens = 0.0
        self.refilled_us = 0

    def set_rate(self, now_us: int, per_second: float | None, initial_tokens: float) -> None:
        """Change the rate. A bucket that had none starts with `initial_tokens`."""
        if self.per_second is None:
            self.tokens = initial_tokens
            self.refilled_us = now_us
        elif per_second is not None:
            self.refill(now_us, self.per_second)
        self.per_second = per_second

    def refill(self, now_us: int, per_second: float) -> float:
        """Add what has come in since the last refill; returns the tokens."""
        burst = max(MIN_BURST_FILLS, BURST_S * per_second)
        self.tokens = min(burst, self.tokens + (now_us - self.refilled_us) * per_second / US_PER_S)
        self.refilled_us = now_us
        return self.tokens

    def has_token(self, now_us: int) -> bool:
        """Whether a fill may start under the rate."""
        return self.per_second is None or self.refill(now_us, self.per_second) >= 1


class FillConcurrencyLimit:
    """Fills in flight and their limit: additive increase with timely fills, multiplicative decrease with late ones.

    `capacity` is this router's share of what the location's caches carry, in transfers.
    """

    def __init__(self, rate: FillRateLimiter) -> None:
        self.rate = rate
        self.in_flight = 0
        self.limit = 0.0
        self.is_sized = False  # until the first membership there is no limit to speak of
        self.capacity = MIN_CAPACITY_TRANSFERS
        self.decrease_ratio = DECREASE_RATIO

    def resize(self, cache_capacity: float, router_count: int) -> None:
        """Fit the limit to the location: what its caches carry in transfers, shared by so many routers."""
        share = cache_capacity / router_count
        self.capacity = max(share, MIN_CAPACITY_TRANSFERS)
        self.decrease_ratio = min(DECREASE_RATIO * math.sqrt(router_count), MAX_DECREASE_RATIO)
        if not self.is_sized:
            self.limit = INITIAL_LIMIT_CAPACITY_RATIO * share
            self.is_sized = True
        least = MIN_LIMIT_CAPACITY_RATIO * self.capacity
        self.limit = min(max(self.limit, least), MAX_LIMIT_CAPACITY_RATIO * self.capacity)

    def has_capacity(self, now_us: int) -> bool:
        """Whether another fill may start now."""
        return self.in_flight < self.limit and self.rate.has_token(now_us)

    def observe(self, late: bool) -> None:
        """Take in how a fill ended."""
        if late:
            least = MIN_LIMIT_CAPACITY_RATIO * self.capacity
            self.limit = max(least, self.limit * (1 - self.decrease_ratio))
        elif self.in_flight + 1 > self.limit / 2:
            balanced = self.limit * self.decrease_ratio * TARGET_LATE_RATIO / (1 - TARGET_LATE_RATIO)
            increase = max(MIN_INCREASE_FILLS, balanced)
            self.limit = min(MAX_LIMIT_CAPACITY_RATIO * self.capacity, self.limit + increase)


class FillMonitor:
    """Tells from the end of an attempt whether its fill was late: by the limit, and by who held the object."""

    def __init__(self, limit: FillConcurrencyLimit) -> None:
        self.limit = limit
        self.parent_late_ratio = 0.0  # of what a parent held
        self.origin_late_ratio = 0.0  # of what the origin was called for

    def origin_is_slow(self) -> bool:
        """Whether fills from the origin come late while those that parents hold are timely."""
        return (
            self.parent_late_ratio < ORIGIN_SLOW_MAX_PARENT_LATE_RATIO
            and self.origin_late_ratio > ORIGIN_SLOW_MIN_ORIGIN_LATE_RATIO
        )

    def attempt_finished(self, attempt: Attempt, event: AttemptFinished) -> None:
        """Take in the end of a read. A time-out counts for nothing: the answer may be lost, and the fill timely."""
        late_after_us = self._late_after_us(attempt.request)
        if event.detail is AttemptDetail.FILLED:
            late = event.elapsed_us > late_after_us
            self.parent_late_ratio += (late - self.parent_late_ratio) / LATE_RATIO_SPAN_FILLS
        elif event.detail is AttemptDetail.ORIGIN_ASKED:
            late = event.elapsed_us > late_after_us
            self.origin_late_ratio += (late - self.origin_late_ratio) / LATE_RATIO_SPAN_FILLS
        if not attempt.may_fill:
            return
        if event.status is AttemptStatus.OK:
            if event.detail is not AttemptDetail.HIT:
                self.limit.observe(event.elapsed_us - event.fill_queue_us > late_after_us)  # the queue is the source's
        elif event.status is AttemptStatus.FULL and event.detail in (AttemptDetail.NONE, AttemptDetail.NO_FILL_PLACE):
            self.limit.observe(True)  # what fails behind the cache says nothing of the location's link

    def _late_after_us(self, request: Request) -> float:
        traffic_class = request.traffic_class
        stretch_us = traffic_class.latency_objective_stretch * request.expected_transfer_us
        return LATE_OBJECTIVE_RATIO * (traffic_class.latency_objective_us + stretch_us)
