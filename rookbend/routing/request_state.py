"""The state of a request, of an attempt, and of a fill that requests wait for."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from rookbend.interface import Member, RequestArrived, TrafficClass

ObjectKey = tuple[int, int]  # object id, part
AttemptKey = tuple[int, int]  # request id, attempt number


@dataclass(slots=True, eq=False)
class Request:
    """An open request and its attempts so far. Deadlines and times of events are absolute, in microseconds."""

    id: int
    traffic_class: TrafficClass  # as of the arrival of the request
    class_index: int
    object_id: int
    group: int
    key: ObjectKey
    deadline_us: int
    is_write: bool

    # Estimates, set on arrival
    size_is_known: bool = False
    expected_transfer_us: float = 0.0
    min_transfer_us: float = 0.0  # lower bound, below the expected time where the size is unknown
    slow_start_charge_us: float = 0.0
    objective_deadline_us: float = 0.0
    cannot_meet_objective: bool = False

    # Attempts so far
    attempt_count: int = 0
    timeout_count: int = 0
    had_reset: bool = False
    cache_missed: bool = False
    tried_servers: set[int] = field(default_factory=set)
    failed_sources: set[int | None] = field(default_factory=set)
    erring_servers: list[int] = field(default_factory=list)
    possibly_executed_us: int | None = None  # start of the first attempt that may have been executed
    possibly_executed_at: Member | None = None

    # What the request waits for
    attempt: Attempt | None = None
    timer_token: int | None = None  # of the newest timer; others are ignored
    collapsed_fill: CollapsedFill | None = None
    is_leader: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt in flight."""

    request: Request
    number: int
    server: int
    source: int | None
    sent_us: int
    timeout_us: int
    may_fill: bool  # may start a fill from its source
    is_cache_only: bool = False  # no fill capacity was left, so only a cached copy is used
    timer_token: int | None = None  # of its timer
    cancelled_for: int | None = None  # the silent server that caused its cancellation


@dataclass(slots=True, eq=False)
class CollapsedFill:
    """A fill in flight of an (object id, part): its leader, its cache and source, and the requests that wait for it."""

    leader: Request
    started_us: int
    waiters: OrderedDict[Request, None] = field(default_factory=OrderedDict)  # oldest first
    server: int | None = None
    source: int | None = None

    def restart(self, leader: Request, now_us: int) -> None:
        """Begin anew under another leader, which has no cache and source yet; the waiters stay."""
        self.leader = leader
        self.started_us = now_us
        self.server = None
        self.source = None


def new_request(event: RequestArrived, traffic_class: TrafficClass) -> Request:
    """The state of a request that has just arrived, without its estimates."""
    return Request(
        event.request,
        traffic_class,
        event.traffic_class,
        event.object_id,
        event.group,
        (event.object_id, event.part),
        event.deadline_us,
        traffic_class.is_write or event.is_write,
    )
