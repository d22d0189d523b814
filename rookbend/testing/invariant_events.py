"""What the invariant checker is fed with: events seen on the sockets or the simulated wire.

All times are microseconds on the observer's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rookbend.testing.slow_start_budget import SlowStart

SERVED = "served"  # verdicts of a response; any other is a failure
REJECTED = "refused"


class MemberStatus(Enum):
    """A member's state as the coordinator sends it."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True)
class RequestSent:
    """A whole request of a client has arrived at a director's machine; `content_key` is its object and part."""

    at_us: int
    request_id: str
    director: str
    at_most_once: bool
    deadline_us: int
    content_key: tuple[str, int] | tuple[()] = ()
    group: int = 0


@dataclass(slots=True)
class ResponseReceived:
    """A client has read a response; `is_whole` False where its bytes can't be read as one."""

    at_us: int
    request_id: str
    verdict: str
    digest: str = ""
    is_whole: bool = True


@dataclass(slots=True)
class ClientClosed:
    """The client has cancelled the request, or closed: no response is owed."""

    at_us: int
    request_id: str


@dataclass(slots=True)
class AttemptReceived:
    """An attempt is whole at a member; `work_s` is the seconds of sending that its class takes on average."""

    at_us: int
    request_id: str
    member: str
    first_byte_us: int
    source: str = ""
    work_s: float = 0.0


@dataclass(slots=True)
class AttemptAnswered:
    """A member has written the end of an attempt, or learnt of its cancellation.

    `copied_us` is when the copy left the origin, and `digest` its bytes', where the attempt succeeded.
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
    """A fill has come to a member as a source: work as an attempt is."""

    at_us: int
    member: str
    work_s: float


@dataclass(slots=True)
class MembershipSent:
    """A director was notified of a member's state, or counts as notified."""

    at_us: int
    director: str
    member: str
    status: MemberStatus


@dataclass(slots=True)
class PurgeSent:
    """A director was notified of a purge of an object or a group, created at `created_us`."""

    at_us: int
    director: str
    created_us: int
    object_name: str = ""
    group: int = -1


@dataclass(slots=True)
class MemberStarted:
    """A member's process has started, its cache empty."""

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
