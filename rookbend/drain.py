"""The end of a director: everything that it has taken is settled before it leaves.

Clients are told at once. Requests that still arrive in the latecomers' time are served, later ones refused with a
time to come back. The listener closes after what waited in it was taken, and a client's connection once nothing
is owed and nothing readable is left on it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rookbend.process_metrics import TIMER_STEP_US

if TYPE_CHECKING:
    from rookbend.service import Service

LATECOMERS_US = 700_000  # after SIGTERM new requests still arrive for this long, and are served
LONGEST_US = 3_000_000  # SIGKILL follows the longest deadline, or this if it is longer, and 0.7 s more
KILL_MARGIN_US = 200_000  # everything has its answer so long before it
SETTLE_STEP_S = 0.01  # so often it is looked whether everything is settled


class Drain:
    """Settles what a service has taken."""

    def __init__(self, service: Service):
        self.service = service
        self.began_us = 0

    def latecomers_over(self) -> bool:
        """Whether the drain has begun and the latecomers' time has passed."""
        return bool(self.began_us) and self.service.clock.now() >= self.began_us + LATECOMERS_US

    async def run(self, accepting: trio.CancelScope) -> None:
        """Returns once everything is settled, or must be since the process may be killed."""
        service = self.service
        now = self.began_us = service.clock.now()
        if service.upgrade is not None:
            service.upgrade.handover.shutdown_requested()
            if service.upgrade.handover.taken_over:
                # The next process takes from the same queue: nothing that waits in it is lost by our leaving.
                accepting.cancel()
        service.front.say_closing()
        settled = now + self._settled_us()
        service.engine.finish_all_by(settled)
        for part in service.parts:
            part.drain(settled)
        await trio.sleep_until(service.clock.monotonic_at(now + LATECOMERS_US))
        await self._stop_taking(accepting)
        while self._is_busy() and service.clock.now() < settled + TIMER_STEP_US:
            service.front.end_idle()
            await trio.sleep(SETTLE_STEP_S)

    async def _stop_taking(self, accepting: trio.CancelScope) -> None:
        accepting.cancel()
        await self.service.front.accepted_all.wait()
        for part in self.service.parts:
            part.stop_taking()

    def _settled_us(self) -> int:
        """How long after SIGTERM everything taken has its answer: before SIGKILL may come."""
        longest = max(c.deadline_us for c in self.service.engine.settings.classes)
        return min(longest, LONGEST_US) + LATECOMERS_US - KILL_MARGIN_US

    def _is_busy(self) -> bool:
        service = self.service
        return bool(service.engine.open_requests or service.front.open) or any(part.busy for part in service.parts)
