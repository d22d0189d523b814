"""Actions of the leases' state machine."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.coordination.actions import DeleteRow, PersistRow, SendDatagram, WriteLogLine


@dataclass(slots=True)
class Owned:
    """From now on, until that time or `Lost`: what stands on the scope may run."""

    scope: int
    token: int
    until: int


@dataclass(slots=True)
class Lost:
    scope: int
    why: str


@dataclass(slots=True)
class OrderStands:
    """Takes effect here: on a member."""

    member: str
    order: str
    by: str


@dataclass(slots=True)
class OrderDone:
    id: int
    fault: str


@dataclass(slots=True)
class Told:
    """A shard's owner has told of it: the follower has news for the board."""

    scope: int


@dataclass(slots=True)
class Count:
    """Our counters are wanted."""


@dataclass(slots=True)
class WriteLine:
    """To the ledger, by the lease's end and not later."""

    number: int
    token: int
    line: str
    until: int


Action = (
    SendDatagram
    | PersistRow
    | DeleteRow
    | Owned
    | Lost
    | OrderStands
    | OrderDone
    | Told
    | Count
    | WriteLine
    | WriteLogLine
)
