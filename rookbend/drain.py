"""Graceful shutdown of a director: every request that it has accepted is answered before the process exits.

Clients are notified at once. Requests that arrive within the grace period are served, later ones rejected with a
Retry-After. The listener closes after the connections in its backlog were accepted. A client's connection closes once
no request is open and no received bytes are unread on it. The process ends when the other fronts and listeners owe no
answer either, or when the time is over.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import trio

from rookbend.core.clock import Clock
from rookbend.core.engine import Engine
from rookbend.core.traffic_classes import longest_deadline_us
from rookbend.net.client_listener import ClientListener
from rookbend.net.component import Component
from rookbend.process_metrics import TIMER_STEP_US

if TYPE_CHECKING:
    from rookbend.net.upgrade import Upgrade

GRACE_US = 700_000  # new requests that arrive within this time after SIGTERM are served
MAX_ANSWER_TIME_US = 3_000_000  # longer deadlines are cut to this time: SIGKILL may come 0.7 s after it
KILL_MARGIN_US = 200_000  # everything is answered this long before SIGKILL may come
LAST_ANSWERS_US = 100_000  # for the answers that are given when the time is over to be sent
POLL_INTERVAL_S = 0.01


@dataclass(frozen=True, slots=True)
class DrainContext:
    """The parts of a director that the drain uses. `upgrade` is None where no other process can take over."""

    clock: Clock
    engine: Engine
    client_listener: ClientListener
    components: Sequence[Component]
    upgrade: Upgrade | None
    log: Callable[..., None]


@dataclass(frozen=True, slots=True)
class Unfinished:
    """What a drain still waits for. `others` are answers that components owe, such as the DNS front."""

    requests: int
    clients: int
    others: int

    def __bool__(self) -> bool:
        return bool(self.requests or self.clients or self.others)


class Drain:
    """Answers every request that a director has accepted, then closes its connections."""

    def __init__(self, context: DrainContext) -> None:
        self._context = context
        self._started_us = 0  # 0 before the drain

    def is_grace_over(self) -> bool:
        """Whether the grace period of a drain is over, so that new requests are rejected."""
        return bool(self._started_us) and self._context.clock.now() >= self._started_us + GRACE_US

    async def run(self, accept_scope: trio.CancelScope) -> None:
        """Returns once everything is answered, at the latest shortly before the process may be killed.

        `accept_scope` is the cancel scope of the task that accepts clients.
        """
        context = self._context
        self._started_us = context.clock.now()
        self._prepare_upgrade(accept_scope)
        context.client_listener.announce_closing()
        answered_by_us = self._started_us + self._answer_time_us()
        context.engine.finish_all_by(answered_by_us)
        for component in context.components:
            component.drain(answered_by_us)
        await trio.sleep_until(context.clock.monotonic_at(self._started_us + GRACE_US))
        await self._stop_accepting(accept_scope)
        await self._wait_until_finished(answered_by_us + TIMER_STEP_US)
        context.client_listener.finish_all()
        for component in context.components:
            component.finish_all()
        await trio.sleep(POLL_INTERVAL_S)  # for the tasks that this wakes
        await self._wait_until_finished(answered_by_us + LAST_ANSWERS_US)
        unfinished = self._unfinished()
        if unfinished:
            context.log("drain_incomplete", "warning", **asdict(unfinished))

    async def _wait_until_finished(self, until_us: int) -> None:
        """Closes the connections of clients that are owed nothing, until all are closed and everything is answered."""
        while self._unfinished() and self._context.clock.now() < until_us:
            self._context.client_listener.close_idle_clients()
            for component in self._context.components:
                component.close_idle_clients()
            await trio.sleep(POLL_INTERVAL_S)

    def _prepare_upgrade(self, accept_scope: trio.CancelScope) -> None:
        upgrade = self._context.upgrade
        if upgrade is None:
            return
        upgrade.handover.shutdown_requested()
        if upgrade.handover.taken_over:
            # The new process accepts from the same backlog, so no waiting connection is lost.
            accept_scope.cancel()

    async def _stop_accepting(self, accept_scope: trio.CancelScope) -> None:
        accept_scope.cancel()
        await self._context.client_listener.accepted_all.wait()
        for component in self._context.components:
            component.stop_accepting()

    def _answer_time_us(self) -> int:
        """The time after SIGTERM within which every accepted request is answered, before SIGKILL may come."""
        longest_us = longest_deadline_us(self._context.engine.settings)
        return min(longest_us, MAX_ANSWER_TIME_US) + GRACE_US - KILL_MARGIN_US

    def _unfinished(self) -> Unfinished:
        context = self._context
        others = sum(component.unfinished for component in context.components)
        return Unfinished(context.engine.open_requests, len(context.client_listener.open), others)
