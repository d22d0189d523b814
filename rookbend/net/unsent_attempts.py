"""Attempts whose member has gone or moved before they were sent."""

from __future__ import annotations

from collections.abc import Sequence

from rookbend.core.engine import Engine
from rookbend.core.model import Attempt
from rookbend.core.send_guard import WithholdReason


async def return_unsent(engine: Engine, attempts: Sequence[Attempt]) -> None:
    """Ends the attempts. Run as a task of its own: the router has to know the change before it places them anew."""
    for attempt in attempts:
        if not attempt.is_finished:
            engine.withhold(attempt, WithholdReason.MEMBER_LEFT)
