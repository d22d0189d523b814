"""Events: the input of a router."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.interface.settings import AttemptDetail, AttemptStatus, Member, MembershipUpdateKind, Settings

# Not frozen: a frozen dataclass takes three times as long to create, and each request needs several events.


@dataclass(slots=True)
class MembershipUpdated:
    """The members: all of them, or with `MembershipUpdateKind.DELTA` those that changed."""

    kind: MembershipUpdateKind
    version: int = 0
    members: tuple[Member, ...] = ()


@dataclass(slots=True)
class RequestArrived:
    """A new request. `deadline_us` is absolute; `is_retry` marks the repeat of an earlier request."""

    request: int
    traffic_class: int
    object_id: int
    deadline_us: int
    size_kb: float = 0.0
    group: int = 0
    part: int = 0
    tenant: int = 0
    is_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended. `final`: its request is closed, and no more actions may be taken for it."""

    request: int
    attempt: int
    server: int
    status: AttemptStatus
    elapsed_us: int = 0
    final: bool = False
    detail: AttemptDetail = AttemptDetail.NONE
    fill_queue_us: int = 0
    load_report: tuple[float, ...] = ()


@dataclass(slots=True)
class ResponseStarted:
    """The first bytes of an attempt's response have arrived."""

    request: int
    attempt: int
    server: int
    elapsed_us: int = 0


@dataclass(slots=True)
class RequestCancelled:
    """The request is closed, since its client has left or its deadline has passed."""

    request: int


@dataclass(slots=True)
class HealthCheckFinished:
    """A health check that `StartHealthCheck` started has ended."""

    server: int
    status: AttemptStatus
    elapsed_us: int = 0
    load_report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessageReceived:
    """A message from another router."""

    sender: int
    data: bytes


@dataclass(slots=True)
class TimerFired:
    """The delay of a `SetTimer` is over."""

    token: int


@dataclass(slots=True)
class PurgeReceived:
    """A purge of one object, or of a whole group where `object_id` is 0."""

    object_id: int
    group: int
    age_us: int


@dataclass(slots=True)
class AdmissionLimitsChanged:
    """Externally set limits, which apply until the next such event.

    Requests of `rejected_classes` are rejected at once. `fills_per_second` limits fills and direct requests;
    None: no limit.
    """

    rejected_classes: frozenset[int] = frozenset()
    fills_per_second: float | None = None


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from now on.

    A class keeps its position in `classes`, even if its settings change or it is retired. Requests that arrived
    earlier keep the class settings of their arrival.
    """

    settings: Settings


@dataclass(slots=True)
class ActiveProcessesChanged:
    """The number of this router's processes that send requests, this one included. Shared budgets are divided by it."""

    processes: int = 1


Event = (
    MembershipUpdated
    | RequestArrived
    | AttemptFinished
    | ResponseStarted
    | RequestCancelled
    | HealthCheckFinished
    | PeerMessageReceived
    | TimerFired
    | PurgeReceived
    | AdmissionLimitsChanged
    | SettingsChanged
    | ActiveProcessesChanged
)
