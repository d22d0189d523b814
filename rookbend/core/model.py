"""The core's data: requests, attempts, results and answers, membership changes and purges."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from rookbend.interface import AttemptDetail, AttemptStatus, Member


class FinalOutcome(Enum):
    """How a request ended; each front translates it to its protocol."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Request:
    """A client's request. The deadline is absolute, on the director's clock.

    `key` is the object's name as the client wrote it, `request_id` the client's id; both are forwarded unchanged.
    """

    request_id: str
    traffic_class: int
    class_name: str
    key: str
    object_id: int
    deadline_us: int
    part: int = 0
    group: int = 0
    is_retry: bool = False
    known_version: str = ""
    body: bytes = b""
    idempotency_key: str = ""  # the client's, for a class that allows retries under a key; forwarded unchanged


@dataclass(slots=True)
class Answer:
    """The one final answer. `server` is the number of the member that served it."""

    outcome: FinalOutcome
    body: bytes = b""
    unchanged: bool = False
    retry_after_us: int = 0
    server: int = 0


@dataclass(slots=True)
class Attempt:
    """One try of a request at one member. It times out at `due_us`, an absolute time."""

    request: Request
    id: int
    number: int
    server: int
    source: int  # equal to `server`, or 0: no fill
    sent_us: int
    due_us: int
    retention_rank: int = 0
    max_age_us: int = 0
    join_fill: bool = False
    only_if_cached: bool = False
    parent_no_store: bool = False
    refresh_in_background: bool = False
    new_connection: bool = False  # to be sent on a connection that was not used before
    retry_deadline_us: int = 0  # the first byte of a retry is written before this time; 0: no limit
    is_finished: bool = False
    connection: object = None  # set by the backend: the connection that carries the attempt


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, as reported by the backend."""

    status: AttemptStatus
    detail: AttemptDetail = AttemptDetail.NONE
    fill_queue_us: int = 0
    load_report: tuple[float, ...] = ()
    body: bytes = b""
    unchanged: bool = False


@dataclass(slots=True)
class Endpoint:
    """An entry of the membership: the member as the router sees it, its name and its address."""

    member: Member
    name: str
    address: tuple[str, int]


@dataclass(slots=True)
class MembershipChange:
    """The whole membership (`complete`), or the entries of it that changed."""

    complete: bool
    version: int
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class Purge:
    """A purge of one object, or of a whole group if `object_id` is None. Its time is Unix microseconds."""

    object_id: int | None
    group: int
    unix_us: int
