"""What the invariant checker keeps of an open request."""

from __future__ import annotations

from dataclasses import dataclass, field

from rookbend.testing.invariant_events import AttemptReceived, RequestSent


@dataclass(slots=True)
class RequestRecord:
    """An open request and what has been observed of it."""

    request: RequestSent
    attempts: int = 0
    in_flight: dict[str, AttemptReceived] = field(default_factory=dict)  # by member
    may_have_executed: bool = False
    responses: int = 0
    client_closed_us: int | None = None  # when the client left
    first_bytes_us: dict[str, int] = field(default_factory=dict)  # time of the newest attempt's first byte, by member
