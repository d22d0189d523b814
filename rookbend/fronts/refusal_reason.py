"""Why a front refuses a request before it reaches the router."""

from __future__ import annotations

from enum import Enum

from rookbend.core.engine import Engine

MAX_LOGGED_ID_CHARS = 40  # of a client's request id


class RefusalReason(Enum):
    """The `reason` of a `request_refused` event; each has the counter `refused_` with this name."""

    TOO_MANY_OPEN = "too_many_open"  # on this connection
    OVERLOAD = "overload"  # the event loop is late
    CLIENT_LEFT = "client_left"  # it has closed its side
    UNREAD_INPUT = "unread_input"  # it sends faster than it can be read
    MEMORY = "memory"  # what requests hold has reached its limit
    CLOSING = "closing"  # the director is shutting down


def record_refusal(engine: Engine, reason: RefusalReason, request_id: str) -> None:
    """Counts and logs a request that is refused; `request_id` is as the client wrote it."""
    engine.counters.requests += 1
    engine.counters.increment(f"refused_{reason.value}")
    engine.log("request_refused", reason=reason.value, request=request_id[:MAX_LOGGED_ID_CHARS])
