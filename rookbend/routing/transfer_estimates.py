"""Estimates of transfer times, from the size where it is known, else from past transfers of the object or class."""

from __future__ import annotations

from rookbend.interface import Settings, TrafficClass
from rookbend.routing.cached_copies import CachedCopies
from rookbend.routing.request_state import Request

PRIOR_SAMPLES = 10  # weight of the initial estimate in a class's mean
PRIOR_OBJECTIVE_RATIO = 1.5  # the initial estimate, relative to the latency objective
CHARGE_MEAN_RATIO = 1.25  # work charged to a slow start budget, relative to the class's mean transfer time
MIN_ESTIMATE_RATIO = 0.3  # share of an estimate that may cause a rejection: most objects are small
US_PER_S = 1e6


class ClassStats:
    """Mean transfer time of a class, in microseconds, starting from a high initial estimate."""

    __slots__ = ("count", "total_us")

    def __init__(self, traffic_class: TrafficClass) -> None:
        self.count = PRIOR_SAMPLES
        self.total_us: float = PRIOR_SAMPLES * PRIOR_OBJECTIVE_RATIO * traffic_class.latency_objective_us

    def add(self, transfer_us: float) -> None:
        """Record a transfer."""
        self.count += 1
        self.total_us = self.total_us + transfer_us

    def mean_us(self) -> float:
        """The mean so far."""
        return self.total_us / self.count


class TransferEstimates:
    """Expected transfer times; `class_stats` is indexed by the position of the class in the settings."""

    def __init__(self, settings: Settings, copies: CachedCopies) -> None:
        self.settings = settings
        self.copies = copies
        self.class_stats: list[ClassStats] = []
        self.add_classes()

    def add_classes(self) -> None:
        """Start the statistics of classes that are new in the settings; the others keep their positions."""
        new_classes = self.settings.classes[len(self.class_stats) :]
        self.class_stats += [ClassStats(traffic_class) for traffic_class in new_classes]

    def estimate(self, request: Request, size_kb: float, now_us: int) -> None:
        """Set the estimates of a request that has just arrived, from its size in KB (0: unknown)."""
        class_stats = self.class_stats[request.class_index]
        request.slow_start_charge_us = CHARGE_MEAN_RATIO * class_stats.mean_us()
        if size_kb > 0 and self.settings.pace_kb_per_s > 0:
            request.size_is_known = True
            transfer_us = size_kb / self.settings.pace_kb_per_s * US_PER_S
            class_stats.add(transfer_us)
            request.min_transfer_us = transfer_us
        elif (copy := self.copies.by_key.get(request.key)) is not None:
            transfer_us = copy.transfer_us
            request.min_transfer_us = transfer_us
        else:
            transfer_us = class_stats.mean_us()
            request.min_transfer_us = MIN_ESTIMATE_RATIO * transfer_us
        request.expected_transfer_us = transfer_us
        traffic_class = request.traffic_class
        stretch_us = traffic_class.latency_objective_stretch * transfer_us
        objective_us = now_us + traffic_class.latency_objective_us + stretch_us
        request.objective_deadline_us = min(objective_us, request.deadline_us)

    def record_served(self, request: Request, server: int, now_us: int, elapsed_us: int) -> None:
        """Record a served attempt: the location of the copy, and the transfer time."""
        if request.is_write:
            self.class_stats[request.class_index].add(elapsed_us)
            return
        transfer_us = request.expected_transfer_us if request.size_is_known else elapsed_us
        self.copies.record(request.key, server, now_us, transfer_us)
