"""Events: what goes into a router."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.interface.settings import AttemptDetail, AttemptStatus, Member, MembershipUpdateKind, Settings

# Not frozen: a frozen one takes three times as long to make, and several are made for each request.


@dataclass(slots=True)
class MembershipUpdated:
    """The members: all of them, or with `MembershipUpdateKind.DELTA` those that changed."""

    kind: MembershipUpdateKind
    version: int = 0
    members: tuple[Member, ...] = ()


@dataclass(slots=True)
class RequestArrived:
    """A request to decide on. `deadline_us` is absolute; `is_retry` marks the repeat of an earlier request."""

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
    """An attempt has ended. `final`: its request is closed, nothing more may be decided for it."""

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
    """The first bytes of an attempt's answer are there."""

    request: int
    attempt: int
    server: int
    elapsed_us: int = 0


@dataclass(slots=True)
class RequestCancelled:
    """The request is closed, since its client has left or its time is over."""

    request: int


@dataclass(slots=True)
class HealthCheckFinished:
    """A check that was started by `StartHealthCheck` has ended."""

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
    """Limits from outside, until the next such event.

    `rejected_classes` are rejected at once. `fills_per_second` bounds fills and direct requests; None: no bound.
    """

    rejected_classes: frozenset[int] = frozenset()
    fills_per_second: float | None = None


@dataclass(slots=True)
class SettingsChanged:
    """Other settings from now on.

    A class keeps its place in `classes`, whatever changes of it. A retired one stays there, and requests that
    came before go on under the settings they came with.
    """

    settings: Settings


@dataclass(slots=True)
class ActiveProcessesChanged:
    """How many processes of this router send, this one included: budgets that bind all are divided by it."""

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
