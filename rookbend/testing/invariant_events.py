"""Input events of the invariant checker, as observed on the sockets or on the simulated network.

All times are microseconds on the observer's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rookbend.testing.slow_start_budget import SlowStart

# Verdicts of a response; any other verdict is a failure.
SERVED = "served"
REJECTED = "refused"


class MemberStatus(Enum):
    """The state of a member as the coordinator sends it."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True)
class RequestSent:
    """A complete request of a client has arrived at the host of a director.

    `content_key` is the requested object and part.
    """

    at_us: int
    request_id: str
    director: str
    at_most_once: bool
    deadline_us: int
    content_key: tuple[str, int] | tuple[()] = ()
    group: int = 0


@dataclass(slots=True)
class ResponseReceived:
    """A client has received a response; `is_whole` is False if the response is malformed or truncated."""

    at_us: int
    request_id: str
    verdict: str
    digest: str = ""
    is_whole: bool = True


@dataclass(slots=True)
class ClientClosed:
    """The client has cancelled the request or closed its connection, so no response is required."""

    at_us: int
    request_id: str


@dataclass(slots=True)
class AttemptReceived:
    """A member has received a complete attempt; `work_s` is the mean transfer time of its class, in seconds.

    `wait_us` is how long the director will wait for the answer, as the attempt says; 0 if it does not.
    """

    at_us: int
    request_id: str
    member: str
    first_byte_us: int
    source: str = ""
    work_s: float = 0.0
    wait_us: int = 0


@dataclass(slots=True)
class AttemptAnswered:
    """A member has written the end of its response, or has received the cancellation of the attempt.

    If the attempt succeeded, `copied_us` is when the copy left the origin, and `digest` is the digest of its bytes.
    """

    at_us: int
    request_id: str
    member: str
    may_have_executed: bool
    succeeded: bool = False
    copied_us: int = 0
    digest: str = ""


@dataclass(slots=True)
class FillReceived:
    """A member has received a fill request as its source; a fill counts as work like an attempt."""

    at_us: int
    member: str
    work_s: float


@dataclass(slots=True)
class MembershipSent:
    """A director has been notified of a member's state, or is considered notified."""

    at_us: int
    director: str
    member: str
    status: MemberStatus


@dataclass(slots=True)
class PurgeSent:
    """A director has been notified of a purge of an object or a group; the purge was created at `created_us`."""

    at_us: int
    director: str
    created_us: int
    object_name: str = ""
    group: int = -1


@dataclass(slots=True)
class MemberStarted:
    """The process of a member has started, with an empty cache."""

    at_us: int
    member: str
    slow_start: SlowStart


WireEvent = (
    RequestSent
    | ResponseReceived
    | ClientClosed
    | AttemptReceived
    | AttemptAnswered
    | FillReceived
    | MembershipSent
    | PurgeSent
    | MemberStarted
)
