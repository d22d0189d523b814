"""The adaptive limit of this router's fills in flight, which falls when fills are late."""

from __future__ import annotations

import math

from rookbend.routing.fill_rate import FillRateLimiter

TARGET_LATE_RATIO = 0.06  # share of fills that may be late before the limit falls
DECREASE_RATIO = 0.05  # decrease per late fill, times the square root of the location's router count
MAX_DECREASE_RATIO = 0.5
MIN_INCREASE_FILLS = 0.06  # per timely fill
MIN_LIMIT_CAPACITY_RATIO = 0.08  # relative to `FillConcurrencyLimit.capacity`, as the next two
INITIAL_LIMIT_CAPACITY_RATIO = 1.0
MAX_LIMIT_CAPACITY_RATIO = 4.0
MIN_CAPACITY_TRANSFERS = 1.0


class FillConcurrencyLimit:
    """Fills in flight and their limit: additive increase with timely fills, multiplicative decrease with late ones.

    `capacity` is this router's share of the capacity of the location's caches, in transfers.
    """

    def __init__(self, rate: FillRateLimiter) -> None:
        self.rate = rate
        self.in_flight = 0
        self.limit = 0.0
        self.is_sized = False  # False until the first membership update sets the limit
        self.capacity = MIN_CAPACITY_TRANSFERS
        self.decrease_ratio = DECREASE_RATIO

    def resize(self, cache_capacity: float, router_count: int) -> None:
        """Fit the limit to the location: `cache_capacity`, in transfers, is shared by `router_count` routers."""
        share = cache_capacity / router_count
        self.capacity = max(share, MIN_CAPACITY_TRANSFERS)
        self.decrease_ratio = min(DECREASE_RATIO * math.sqrt(router_count), MAX_DECREASE_RATIO)
        if not self.is_sized:
            self.limit = INITIAL_LIMIT_CAPACITY_RATIO * share
            self.is_sized = True
        lower_bound = MIN_LIMIT_CAPACITY_RATIO * self.capacity
        self.limit = min(max(self.limit, lower_bound), MAX_LIMIT_CAPACITY_RATIO * self.capacity)

    def has_capacity(self, now_us: int) -> bool:
        """Whether another fill may start now."""
        return self.in_flight < self.limit and self.rate.has_token(now_us)

    def observe(self, late: bool) -> None:
        """Adjust the limit after a fill has ended."""
        if late:
            lower_bound = MIN_LIMIT_CAPACITY_RATIO * self.capacity
            self.limit = max(lower_bound, self.limit * (1 - self.decrease_ratio))
        elif self.in_flight + 1 > self.limit / 2:
            balanced = self.limit * self.decrease_ratio * TARGET_LATE_RATIO / (1 - TARGET_LATE_RATIO)
            increase = max(MIN_INCREASE_FILLS, balanced)
            self.limit = min(MAX_LIMIT_CAPACITY_RATIO * self.capacity, self.limit + increase)
