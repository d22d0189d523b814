"""Slow start towards a cold origin: the rate that all directors together may use, and this director's quota of it.

The fleet's rate starts low and is multiplied by `GROWTH` every `STEP_US` while the origin answers successfully and
about as fast as the fastest answers known. It stays unchanged while the origin is slower, and is halved while calls
are refused or unanswered. The limit is removed at the full rate, or once most peers are unlimited.

Each director adapts the rate on its own, so rates differ a little. The quota bounds their sum: an equal share among
the live directors, or among all configured ones while it is uncertain which are live.
"""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

GROWTH = 1.6
STEP_US = 500_000
BACKOFF = 0.5
BACKOFF_US = 1_000_000
USED_RATIO = 0.5  # share of the quota that must have been used for a full step
WINDOW_US = 1_000_000
SAMPLE_VALID_US = 1_500_000
MIN_CALLS = 4
FAILING_RATIO = 0.3
MIN_RATE_RATIO = 0.25  # of the initial rate
SLOW_FACTOR = 3.0
SLOW_EXTRA_US = 60_000  # a call slower than SLOW_FACTOR * fastest + SLOW_EXTRA_US queues at the origin
SLOW_RATIO = 0.5
MAX_MEDIAN_RATIO = 1.25  # bounds the rate relative to the median of the peers' rates
UNLIMITED_RATIO = 2 / 3
MIN_UNLIMITED_SAMPLES = 3


@dataclass(slots=True)
class OriginSample:
    """A director's recent calls to the origin. `fleet_rate` is its present rate for the fleet; 0 means unlimited."""

    at_us: int
    fleet_rate: float
    calls: int
    failures: int
    slow_calls: int
    fastest_us: int


class SampleTotals(NamedTuple):
    """Sums over the samples of several directors."""

    calls: int
    failures: int
    slow_calls: int


class CompletedCall(NamedTuple):
    """A call of this director to the origin that has ended."""

    at_us: int
    succeeded: bool
    duration_us: int


class OriginRamp:
    """Rates are calls per second. `fleet_rate` is the rate of all directors together; None means unlimited. `halvings`
    counts how often it was halved."""

    def __init__(self, initial_rate: float, full_rate: float, began_us: int):
        self.initial_rate = initial_rate
        self.full_rate = full_rate
        self.fleet_rate: float | None = initial_rate
        self.stepped_us = began_us
        self.backed_off_us = began_us - BACKOFF_US
        self.calls_since_step = 0
        self.completed: deque[CompletedCall] = deque()
        self.fastest_us = 0
        self.peer_samples: dict[int, OriginSample] = {}
        self.halvings = 0

    # Observations

    def call_started(self) -> None:
        """A call of this director to the origin was sent."""
        self.calls_since_step += 1

    def call_ended(self, now: int, succeeded: bool, duration_us: int) -> None:
        """A call of this director to the origin, made directly or through a fill, has ended."""
        self.completed.append(CompletedCall(now, succeeded, duration_us))
        if succeeded:
            self.fastest_us = min(self.fastest_us or duration_us, duration_us)

    def add_peer_sample(self, number: int, sample: OriginSample) -> None:
        """Keeps the latest sample of a peer."""
        self.peer_samples[number] = sample

    def own_sample(self, now: int) -> OriginSample:
        """This director's sample, as it is sent to the peers."""
        while self.completed and self.completed[0].at_us <= now - WINDOW_US:
            self.completed.popleft()
        slow_us = SLOW_FACTOR * self._known_fastest_us(now) + SLOW_EXTRA_US
        return OriginSample(
            now,
            self.fleet_rate or 0.0,
            len(self.completed),
            sum(not call.succeeded for call in self.completed),
            sum(call.succeeded and call.duration_us > slow_us for call in self.completed),
            self.fastest_us,
        )

    def _valid_samples(self, now: int) -> list[OriginSample]:
        return [sample for sample in self.peer_samples.values() if now - sample.at_us <= SAMPLE_VALID_US]

    def _known_fastest_us(self, now: int) -> int:
        """The second lowest of the directors' fastest calls: a single faulty sample can't make the origin look slow."""
        fastest = [self.fastest_us, *(sample.fastest_us for sample in self._valid_samples(now))]
        known = sorted(duration_us for duration_us in fastest if duration_us)
        return known[min(1, len(known) - 1)] if known else 0

    def totals(self, now: int) -> SampleTotals:
        """The sums over the recent calls of this director and its peers."""
        samples = [self.own_sample(now), *self._valid_samples(now)]
        return SampleTotals(
            sum(sample.calls for sample in samples),
            sum(sample.failures for sample in samples),
            sum(sample.slow_calls for sample in samples),
        )

    def failure_ratio(self, now: int) -> float:
        """Ratio of failures among the recent calls; 0 while fewer than `MIN_CALLS` are known."""
        totals = self.totals(now)
        return totals.failures / totals.calls if totals.calls >= MIN_CALLS else 0.0

    def is_origin_failing(self, now: int) -> bool:
        """Whether so many calls fail that the load must not grow."""
        return self.failure_ratio(now) >= FAILING_RATIO

    # Decisions

    def quota(self, live: int, configured: int, is_live_count_known: bool) -> float:
        """This director's share of the fleet's rate, at least 1/configured."""
        return 1 / max(1, min(live, configured) if is_live_count_known else configured)

    def remove_limit(self) -> None:
        """Ends the ramp: the rate is unlimited."""
        self.fleet_rate = None

    def update(self, now: int, quota: float) -> bool:
        """Adapts the fleet's rate; returns whether it has changed."""
        if self.fleet_rate is None:
            return False
        totals = self.totals(now)
        if totals.calls >= MIN_CALLS and totals.failures >= FAILING_RATIO * totals.calls:
            return self._back_off(now, self.fleet_rate)
        if now - self.stepped_us < STEP_US or now - self.backed_off_us < BACKOFF_US:
            return False
        return self._step_up(now, self.fleet_rate, quota, totals)

    def _back_off(self, now: int, rate: float) -> bool:
        if now - self.backed_off_us < BACKOFF_US:
            return False
        self.backed_off_us = now
        self.stepped_us = now
        self.fleet_rate = max(self.initial_rate * MIN_RATE_RATIO, rate * BACKOFF)
        self.calls_since_step = 0
        self.halvings += 1
        return True

    def _step_up(self, now: int, rate: float, quota: float, totals: SampleTotals) -> bool:
        samples = self._valid_samples(now)
        peer_rates = [sample.fleet_rate for sample in samples if sample.fleet_rate]
        unlimited = len(samples) - len(peer_rates)
        if len(samples) >= MIN_UNLIMITED_SAMPLES and unlimited >= UNLIMITED_RATIO * len(samples):
            self.fleet_rate = None
            return True
        used = self.calls_since_step >= USED_RATIO * rate * quota * (now - self.stepped_us) / 1e6
        no_outcome_yet = self.calls_since_step and not totals.calls
        queueing = totals.calls and totals.slow_calls >= SLOW_RATIO * totals.calls
        if no_outcome_yet or queueing:
            return False
        self.stepped_us = now
        self.calls_since_step = 0
        # An unused quota says nothing about the origin, but a director with little traffic must not be the last one to
        # become unlimited, so it takes half a step.
        rate *= GROWTH if used else 1 + (GROWTH - 1) / 2
        if len(peer_rates) >= 2:
            rate = min(rate, MAX_MEDIAN_RATIO * statistics.median(peer_rates))
        self.fleet_rate = None if rate >= self.full_rate else rate
        return True
