"""Settings, events and actions of the router policy: what goes in and what comes out.

Times are integer microseconds on one monotonic clock. A server is named by an opaque integer,
which an embedding router maps to an address of its own.
"""

from rookbend.interface.actions import (
    Action,
    CancelAttempt,
    CloseIdle,
    Fail,
    Fault,
    Fetch,
    LogLine,
    Lookup,
    Probe,
    Refuse,
    ReloadMembers,
    SendPeer,
    SetTimer,
    WatchMembers,
)
from rookbend.interface.events import (
    AnswerStarted,
    AttemptFinished,
    Event,
    Limited,
    MembersChanged,
    PeerMessage,
    ProbeFinished,
    Purged,
    RequestArrived,
    RequestCancelled,
    SettingsChanged,
    Shared,
    TimerFired,
)
from rookbend.interface.settings import (
    NEVER_RAN,
    Effect,
    ListKind,
    Member,
    MemberState,
    Note,
    Settings,
    Status,
    TrafficClass,
)

__all__ = [
    "Action", "AnswerStarted", "AttemptFinished", "CancelAttempt", "CloseIdle", "Effect", "Event",
    "Fail", "Fault", "Fetch", "Limited", "ListKind", "LogLine", "Lookup", "Member", "MemberState",
    "MembersChanged", "NEVER_RAN", "Note", "PeerMessage", "Probe", "ProbeFinished", "Purged",
    "Refuse", "ReloadMembers", "RequestArrived", "RequestCancelled", "SendPeer", "SetTimer",
    "Settings", "SettingsChanged", "Shared", "Status", "TimerFired", "TrafficClass", "WatchMembers",
]
