"""Actions that the driver of every state machine carries out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SendDatagram:
    """Send a datagram to the director with the number `peer`."""

    peer: int
    data: bytes


@dataclass(slots=True)
class PersistRow:
    """Write a row to durable storage, if configured; `awaited` asks for an event once the row is durable."""

    kind: str
    key: str
    value: bytes
    awaited: bool = False


@dataclass(slots=True)
class DeleteRow:
    """Delete a row from durable storage."""

    kind: str
    key: str


@dataclass(slots=True)
class WriteLogLine:
    """Write a line to the structured log."""

    event: str
    level: str
    fields: dict[str, object]
