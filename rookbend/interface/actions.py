"""Actions: what comes out of a router."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FetchCached:
    """Attempt: answer from the server's own fresh copy, or miss; the origin holds everything."""

    request: int
    server: int
    timeout_us: int = 0


@dataclass(slots=True)
class Fetch:
    """Attempt that may fill from `source`. keep: rank 0 to 3; max_age_us 0: the class's fresh time."""

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
    request: int


@dataclass(slots=True)
class Reject:
    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class CancelAttempt:
    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    delay_us: int
    token: int


@dataclass(slots=True)
class StartHealthCheck:
    server: int


@dataclass(slots=True)
class CloseIdleConnections:
    server: int


@dataclass(slots=True)
class ReloadMembership:
    pass


@dataclass(slots=True)
class SubscribeMembership:
    on: bool = True


@dataclass(slots=True)
class SendPeerMessage:
    """A message to one router, or to all where `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(slots=True)
class WriteLog:
    text: str


@dataclass(slots=True)
class InternalError:
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
