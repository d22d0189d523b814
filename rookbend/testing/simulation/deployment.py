"""The sizes and parameters of a simulated deployment; rates and capacities follow from its members and the load.

A deployment has locations with caches and directors, parents that all locations share, and one origin. The origin
refuses calls above a rate, and goes down for some seconds when it is asked for far more than its capacity.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from rookbend.interface import Idempotency, Settings, TrafficClass

PARENT, ORIGIN = 1, 2
CACHE_RETENTION_S, PARENT_RETENTION_S = 10.0, 25.0  # time that a copy is kept after its last use


@dataclass(frozen=True, slots=True)
class ClassProfile:
    """The requests of a traffic class: their ratio to all requests, and their mean transfer time.

    Transfer times have a log-normal distribution with `sigma`; objects are requested by Zipf's law with the exponent
    `zipf`.
    """

    traffic_class: TrafficClass
    request_ratio: float
    mean_work_s: float = 0.0
    sigma: float = 1.0
    zipf: float = 1.05


FILM = TrafficClass("film", 500_000, 5050_000, 1.6, priority_weight=2.0, late_priority_weight=0.15, has_parts=True)
PICTURE = TrafficClass("picture", 250_000, 3050_000, 2.0, priority_weight=1.0, late_priority_weight=0.2)
FORM = TrafficClass(
    "form", 800_000, 3050_000, priority_weight=3.0, idempotency=Idempotency.NOT_IDEMPOTENT, is_write=True
)


@dataclass(frozen=True, slots=True)
class Deployment:
    """The parameters; `load` is the requested bandwidth in proportion to that of the links of all caches."""

    directors: int = 200
    locations: int = 18
    caches: int = 5  # in each location
    parents: int = 10
    cache_links: float = 8.0  # transfers at the full rate that a cache's link carries
    slots_per_link: float = 4.5
    queue_per_link: float = 5.0
    load: float = 0.45
    profiles: tuple[ClassProfile, ...] = (
        ClassProfile(FILM, 0.545, 0.45),
        ClassProfile(PICTURE, 0.423, 0.08, 0.9),
        ClassProfile(FORM, 0.032, 0.02, 0.1),
    )
    miss_ratio: float = 0.33  # of reads, with warm caches
    new_object_ratio: float = 0.12  # of reads, for objects that have not been requested before
    parent_hit_ratio: float = 0.8  # of the other misses
    fill_rate: float = 3.0  # rate of a fill, in proportion to a transfer to a client
    parent_headroom: float = 3.0  # capacity of the parents' links in proportion to their demand at this load
    origin_headroom: float = 1.4  # capacity of the origin in proportion to its demand at this load
    origin_call_s: float = 0.04
    origin_admission_ratio: float = 0.85  # calls above this ratio of its capacity are refused; 0: none
    origin_overload_multiple: float = 2.5  # more calls than this multiple of its capacity bring it down
    origin_window_s: float = 1.0
    origin_down_s: float = 4.0
    is_silent_when_down: bool = False  # calls get no answer while it is down, instead of a refusal
    fill_timeout_s: float = 2.5
    fill_retries: int = 1
    parent_retries: int = 2
    collapses_fills: bool = False  # requests can join a fill in progress at a parent
    aborts_fills: bool = True  # a fill is cancelled with the request that started it
    drops_abandoned_calls: bool = False  # the origin skips queued calls that have been cancelled
    allows_direct_to_source: bool = False
    cache_delay_s: float = 0.002
    source_delay_s: float = 0.025
    max_attempts: int = 8
    retry_ratio: float = 0.75  # probability that a client retries a rejected request, at most three times
    retry_s: float = 0.2
    retry_after_ratio: float = 0.6  # probability that a retry waits for the time in the rejection

    def with_changes(self, **changes) -> Deployment:
        return replace(self, **changes)

    @property
    def mean_work_s(self) -> float:
        """The mean transfer time of a read, in seconds."""
        reads = [profile for profile in self.profiles if not profile.traffic_class.is_write]
        return sum(profile.request_ratio * profile.mean_work_s for profile in reads) / sum(
            profile.request_ratio for profile in reads
        )

    @property
    def total_links(self) -> float:
        return self.locations * self.caches * self.cache_links

    @property
    def requests_per_s(self) -> float:
        reads = sum(profile.request_ratio for profile in self.profiles if not profile.traffic_class.is_write)
        return self.load * self.total_links / self.mean_work_s / reads

    @property
    def fills_per_s(self) -> float:
        reads = sum(profile.request_ratio for profile in self.profiles if not profile.traffic_class.is_write)
        return self.requests_per_s * reads * self.miss_ratio

    @property
    def origin_per_s(self) -> float:
        """The capacity of the origin, in calls per second."""
        writes = sum(profile.request_ratio for profile in self.profiles if profile.traffic_class.is_write)
        reads = self.new_object_ratio + (self.miss_ratio - self.new_object_ratio) * (1 - self.parent_hit_ratio)
        return self.origin_headroom * self.requests_per_s * ((1 - writes) * reads + writes)

    @property
    def origin_workers(self) -> int:
        return max(2, math.ceil(self.origin_per_s * self.origin_call_s))

    @property
    def parent_links(self) -> float:
        """The number of transfers at the full rate that the link of one parent carries."""
        return self.parent_headroom * self.fills_per_s * self.mean_work_s / self.parents

    def settings(self, number: int, zone: int) -> Settings:
        """Returns the platform settings of director `number`."""
        routers_by_location = tuple(len(range(z, self.directors, self.locations)) for z in range(self.locations))
        return Settings(
            tuple(profile.traffic_class for profile in self.profiles),
            zone,
            number,
            self.directors,
            routers_by_location,
            parent_kind=PARENT,
            origin_kind=ORIGIN,
            supports_joined_fills=self.collapses_fills,
            answer_detail="all",
            allows_direct_to_source=self.allows_direct_to_source,
            purge_propagation_us=6_000_000,
            cold_capacity_ratio=0.3,
            warm_up_us=12_000_000,
            overload_multiple=2.0,
            overload_window_us=1_000_000,
            parent_cold_capacity_ratio=0.1,
            parent_warm_up_us=17_000_000,
            parent_overload_multiple=2.0,
            max_attempts=self.max_attempts,
            allows_cancellation=True,
            allows_retry_after=True,
            max_retry_after_us=500_000,
            clock_tick_us=2_000,
        )
