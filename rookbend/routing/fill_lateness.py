"""Detection of late fills, and of an origin that is the cause."""

from __future__ import annotations

from rookbend.interface import AttemptDetail, AttemptFinished, AttemptStatus
from rookbend.routing.fill_concurrency import FillConcurrencyLimit
from rookbend.routing.request_state import Attempt, Request

LATE_OBJECTIVE_RATIO = 0.8  # a fill is late above this share of its latency objective, stretch included
LATE_RATIO_SPAN_FILLS = 24  # fills over which the late ratios are averaged
ORIGIN_SLOW_MAX_PARENT_LATE_RATIO = 0.05
ORIGIN_SLOW_MIN_ORIGIN_LATE_RATIO = 0.25


class FillMonitor:
    """Observes finished reads: adjusts the concurrency limit, and averages the late ratio by kind of source."""

    def __init__(self, limit: FillConcurrencyLimit) -> None:
        self.limit = limit
        self.parent_late_ratio = 0.0  # of fills from a parent's copy
        self.origin_late_ratio = 0.0  # of fills from the origin

    def origin_is_slow(self) -> bool:
        """Whether fills from the origin are late while those from parents' copies are timely."""
        return (
            self.parent_late_ratio < ORIGIN_SLOW_MAX_PARENT_LATE_RATIO
            and self.origin_late_ratio > ORIGIN_SLOW_MIN_ORIGIN_LATE_RATIO
        )

    def attempt_finished(self, attempt: Attempt, event: AttemptFinished) -> None:
        """Record the end of a read. Time-outs are ignored: the answer to a timely fill may have been lost."""
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
                # Time in the source's fill queue is not counted.
                self.limit.observe(event.elapsed_us - event.fill_queue_us > late_after_us)
        elif event.status is AttemptStatus.FULL and event.detail in (AttemptDetail.NONE, AttemptDetail.NO_FILL_PLACE):
            self.limit.observe(True)  # failures behind the cache say nothing about the location's link

    def _late_after_us(self, request: Request) -> float:
        traffic_class = request.traffic_class
        stretch_us = traffic_class.latency_objective_stretch * request.expected_transfer_us
        return LATE_OBJECTIVE_RATIO * (traffic_class.latency_objective_us + stretch_us)
