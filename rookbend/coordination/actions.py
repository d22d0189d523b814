"""Actions that the driver of every state machine carries out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SendDatagram:
    """Send a datagram to one director, by its number."""

    peer: int
    data: bytes


@dataclass(slots=True)
class PersistRow:
    """Write a row to durable storage, where there is one; `awaited`: somebody waits for it to be durable."""

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
