"""Attempts that are taken back before their first byte was sent."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from rookbend.core.engine import Engine
from rookbend.core.model import Attempt
from rookbend.core.send_guard import WithholdReason
from rookbend.net.member_connection import MemberConnection


def split_attempts(
    attempts: Iterable[Attempt], is_taken: Callable[[Attempt], bool]
) -> tuple[list[Attempt], list[Attempt]]:
    """The attempts for which `is_taken` returns true, and the others, each in their order."""
    taken: list[Attempt] = []
    kept: list[Attempt] = []
    for attempt in attempts:
        (taken if is_taken(attempt) else kept).append(attempt)
    return taken, kept


def take_unsent(connection: MemberConnection, is_taken: Callable[[Attempt], bool]) -> list[Attempt]:
    """Removes from the connection's buffer the last attempts, as long as `is_taken` returns true for them.

    Bytes wait there until the end of the event loop's turn, and for as long as the member does not read.
    """
    taken: list[Attempt] = []
    for request_id, pending in reversed(list(connection.in_flight.items())):
        is_unsent = pending.start_byte >= connection.socket.sent_bytes
        if not (is_unsent and is_taken(pending.attempt) and connection.withdraw(pending)):
            break
        del connection.in_flight[request_id]
        taken.append(pending.attempt)
    return taken


def withhold_all(engine: Engine, attempts: Iterable[Attempt]) -> None:
    """Ends attempts that may not be sent any more."""
    for attempt in attempts:
        engine.withhold(attempt, engine.withhold_reason(attempt) or WithholdReason.FINISHED)


async def return_unsent(engine: Engine, attempts: Sequence[Attempt]) -> None:
    """Ends the attempts. Run as a task of its own: the router has to know the change before it places them anew."""
    for attempt in attempts:
        if not attempt.is_finished:
            engine.withhold(attempt, WithholdReason.MEMBER_LEFT)
