"""The settings of a router, and the types that events and actions share."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    """Whether requests of a class may be repeated: always, under their idempotency key, or never."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class AttemptStatus(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2  # answered with an error
    FULL = 3  # rejected by the member: no capacity
    TIMEOUT = 4
    CONNECT_FAILED = 5  # the request was not sent completely
    RESET = 6
    CANCELLED = 7
    MOOT = 8  # never sent, or no longer needed
    MISS = 9  # a cache-only attempt found no copy


# The server did not execute the request: after these, a write may be repeated without restriction.
NEVER_EXECUTED = frozenset({AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.MOOT, AttemptStatus.MISS})


class AttemptDetail(IntEnum):
    """How a response was produced, or why a fill failed."""

    NONE = 0
    HIT = 1
    FILLED = 2  # filled from a copy at the parent
    ORIGIN_ASKED = 3  # filled from the origin
    JOINED = 4  # joined a fill in flight
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_LACKS = 8  # the parent has no copy, and the attempt was not allowed to reach the origin
    NO_FILL_PLACE = 9  # the cache's own fill capacity is exhausted
    ORIGIN_FAILED = 10


class MemberState(IntEnum):
    """Whether a member takes requests: it has left, is in service, or only finishes its open requests."""

    GONE = 0
    READY = 1
    DRAINING = 2


class MembershipUpdateKind(IntEnum):
    """Content of an update: all members, a cached list of them, nothing because it failed, or changes."""

    FULL = 0
    CACHED = 1
    FAILED = 2
    DELTA = 3


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A request class. Times in microseconds; `retry_scope` is all, zone or cell."""

    name: str
    latency_objective_us: int
    deadline_us: int
    latency_objective_stretch: float = 0.0
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    retry_scope: str = "all"
    idempotency_key_window_us: int = 0
    streaming: bool = False
    is_write: bool = False
    has_parts: bool = False
    freshness_lifetime_us: int = 0
    stale_grace_us: int = 0
    stale_priority_weight: float = 0.0
    is_retired: bool = False  # removed from the settings: only requests that arrived earlier belong to it


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a router; every field but the classes has a default. Times in microseconds."""

    classes: tuple[TrafficClass, ...]
    zone: int = 0
    router_index: int = 0
    router_count: int = 1
    routers_by_zone: tuple[int, ...] = ()
    home_parents: tuple[int, ...] = ()
    link_kb_per_s: tuple[float, ...] = ()
    parent_kind: int = -1
    origin_kind: int = -1
    weights: str = "nominal"
    pace_kb_per_s: float = 0.0
    supports_joined_fills: bool = False
    answer_detail: str = "none"
    allows_direct_to_source: bool = False
    sibling_sources: str = "none"
    purge_grace_us: int = 0
    purge_propagation_us: int = 0
    cold_capacity_ratio: float = 1.0
    warm_up_us: int = 0
    overload_multiple: float = 1.0
    overload_window_us: int = 0
    parent_cold_capacity_ratio: float = 1.0
    parent_warm_up_us: int = 0
    parent_overload_multiple: float = 1.0
    drain_grace_us: int = 0
    membership_poll_interval_us: int = 0
    max_attempts: int = 4
    allows_hedged_requests: bool = False
    allows_cancellation: bool = False
    allows_probes: bool = False
    allows_peer_messages: bool = False
    allows_retry_after: bool = False
    max_retry_after_us: int = 0
    max_requests_in_flight: int = 20_000
    connect_timeout_us: int = 400_000
    membership_is_pushed: bool = True
    load_report_fields: tuple[str, ...] = ()
    clock_tick_us: int = 0


@dataclass(frozen=True, slots=True)
class Member:
    """A member. `weight` is the capacity of its outgoing link, in transfers at full pace, where weights are nominal."""

    server: int
    weight: float = 1.0
    cell: int = 0
    zone: int = 0
    started_us: int = 0
    state: MemberState = MemberState.READY
    kind: int = 0
