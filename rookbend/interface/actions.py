"""Actions: the output of a router."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FetchCached:
    """Starts an attempt that the server answers from its own fresh copy or with a miss. The origin has every object.

    `timeout_us` 0: until the request's deadline.
    """

    request: int
    server: int
    timeout_us: int = 0


@dataclass(slots=True)
class Fetch:
    """Starts an attempt that may fill from `source`.

    `retention_rank` is 0 to 3. `max_age_us` 0: the class's freshness lifetime.
    """

    request: int
    server: int
    timeout_us: int
    source: int
    retention_rank: int = 1
    max_age_us: int = 0
    join_fill: bool = False
    only_if_cached: bool = False
    parent_no_store: bool = False
    refresh_in_background: bool = False


@dataclass(slots=True)
class Fail:
    """Answers the request as failed."""

    request: int


@dataclass(slots=True)
class Reject:
    """Answers the request as rejected: the client may repeat it, after `retry_after_us` where that is not 0."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class CancelAttempt:
    """Cancels an attempt in flight, by its number within the request."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Requests a `TimerFired` with this token after the delay."""

    delay_us: int
    token: int


@dataclass(slots=True)
class StartHealthCheck:
    """Probes a member; a `HealthCheckFinished` follows."""

    server: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Closes the connections to a member that carry no attempt."""

    server: int


@dataclass(slots=True)
class ReloadMembership:
    """Requests the whole membership again."""


@dataclass(slots=True)
class SubscribeMembership:
    """Turns the push of membership changes on or off."""

    on: bool = True


@dataclass(slots=True)
class SendPeerMessage:
    """Sends a message to one router, or to all where `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(slots=True)
class WriteLog:
    """Writes a line to the log."""

    text: str


@dataclass(slots=True)
class InternalError:
    """Reports an internal fault of the router."""

    text: str


Action = (
    FetchCached
    | Fetch
    | Fail
    | Reject
    | CancelAttempt
    | SetTimer
    | StartHealthCheck
    | CloseIdleConnections
    | ReloadMembership
    | SubscribeMembership
    | SendPeerMessage
    | WriteLog
    | InternalError
)
