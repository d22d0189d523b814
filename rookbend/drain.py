"""The end of a director: everything that it has accepted is answered before it leaves.

Clients are notified at once. Requests that arrive within the grace time are served, later ones rejected with a
Retry-After. The listener closes after what waited in it was accepted, and a client's connection once nothing is owed
and nothing readable is left on it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from rookbend.core.clock import Clock
from rookbend.core.engine import Engine
from rookbend.net.client_listener import ClientListener
from rookbend.net.component import Component
from rookbend.process_metrics import TIMER_STEP_US

if TYPE_CHECKING:
    from rookbend.net.upgrade import Upgrade

GRACE_US = 700_000  # after SIGTERM new requests still arrive for this long, and are served
MAX_ANSWER_TIME_US = 3_000_000  # longer deadlines are cut to this: SIGKILL may come 0.7 s after it
KILL_MARGIN_US = 200_000  # everything is answered so long before SIGKILL
POLL_INTERVAL_S = 0.01


@dataclass(frozen=True, slots=True)
class DrainContext:
    """What the drain needs of a director. `upgrade` is None where no other process can take over."""

    clock: Clock
    engine: Engine
    client_listener: ClientListener
    components: Sequence[Component]
    upgrade: Upgrade | None


class Drain:
    """Answers what a director has accepted, then ends its connections."""

    def __init__(self, context: DrainContext) -> None:
        self._context = context
        self._began_us = 0  # 0: it has not begun

    def is_grace_over(self) -> bool:
        """Whether the drain has begun and new requests are rejected."""
        return bool(self._began_us) and self._context.clock.now() >= self._began_us + GRACE_US

    async def run(self, accepting: trio.CancelScope) -> None:
        """Returns once everything is answered, or has to be since the process may be killed."""
        context = self._context
        self._began_us = context.clock.now()
        self._prepare_upgrade(accepting)
        context.client_listener.announce_closing()
        answered_by_us = self._began_us + self._time_to_answer_us()
        context.engine.finish_all_by(answered_by_us)
        for component in context.components:
            component.drain(answered_by_us)
        await trio.sleep_until(context.clock.monotonic_at(self._began_us + GRACE_US))
        await self._stop_accepting(accepting)
        while self._is_busy() and context.clock.now() < answered_by_us + TIMER_STEP_US:
            context.client_listener.close_idle_clients()
            await trio.sleep(POLL_INTERVAL_S)

    def _prepare_upgrade(self, accepting: trio.CancelScope) -> None:
        upgrade = self._context.upgrade
        if upgrade is None:
            return
        upgrade.handover.shutdown_requested()
        if upgrade.handover.taken_over:
            # The next process accepts from the same queue: nothing that waits in it is lost.
            accepting.cancel()

    async def _stop_accepting(self, accepting: trio.CancelScope) -> None:
        accepting.cancel()
        await self._context.client_listener.accepted_all.wait()
        for component in self._context.components:
            component.stop_accepting()

    def _time_to_answer_us(self) -> int:
        """How long after SIGTERM everything accepted has its answer: before SIGKILL may come."""
        classes = self._context.engine.settings.classes
        longest_us = max(traffic_class.deadline_us for traffic_class in classes)
        return min(longest_us, MAX_ANSWER_TIME_US) + GRACE_US - KILL_MARGIN_US

    def _is_busy(self) -> bool:
        context = self._context
        if context.engine.open_requests or context.client_listener.open:
            return True
        return any(component.busy for component in context.components)
