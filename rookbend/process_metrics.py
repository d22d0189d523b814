"""What a director measures of itself, and the beat of its timers."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import trio

from rookbend.config import Limits
from rookbend.core.engine import Engine
from rookbend.net.client_listener import FrontServer
from rookbend.net.pool import Pool

if TYPE_CHECKING:
    from rookbend.health.spare_capacity import Sample

OWN_DESCRIPTORS = 40  # listeners, the coordinator, the loop's own
TIMER_STEP_US = 2_000  # timers within one step run together
LAG_BEAT_US = 50_000  # the loop's lateness is measured so often
PAGE = os.sysconf("SC_PAGE_SIZE")


class ProcessMetrics:
    """`pool` is there once the director runs; `lag_us` is the lateness that counts as full load."""

    def __init__(self, engine: Engine, front: FrontServer, limits: Limits, lag_us: int):
        self.engine, self.front, self.limits, self.lag_us = engine, front, limits, lag_us
        self.pool: Pool | None = None
        self._timer_due_earlier = trio.Event()
        engine.timers.on_earlier_due = lambda due: self._timer_due_earlier.set()

    async def run_timers(self) -> None:
        clock, engine = self.engine.clock, self.engine
        while True:
            due = engine.run_due()
            self._timer_due_earlier = trio.Event()
            if due:
                # Guards the CPU: without a least step, each timer would cost a turn of the loop.
                await trio.sleep_until(clock.monotonic_at(clock.now() + TIMER_STEP_US))
                with trio.move_on_at(clock.monotonic_at(due)):
                    await self._timer_due_earlier.wait()
            else:
                await self._timer_due_earlier.wait()

    async def measure_lag(self) -> None:
        """How late the loop runs. On a beat of its own: with no request open there is no timer to tell it,
        and a lag that nobody measured again would have everything refused for good."""
        clock = self.engine.clock
        while True:
            wake = clock.now() + LAG_BEAT_US
            await trio.sleep_until(clock.monotonic_at(wake))
            self.engine.lag_us = max(0, clock.now() - wake)

    def sample(self) -> Sample:
        from rookbend.health.spare_capacity import Sample

        limits, engine = self.limits, self.engine
        members = [e for e in engine.endpoints.values() if self._is_ours(e)]
        with open("/proc/self/statm", "rb") as f:
            resident = int(f.read().split()[1]) * PAGE
        return Sample(
            engine.lag_us / self.lag_us,
            engine.open_requests / engine.settings.max_requests_in_flight,
            (self.pool.open_connections + len(self.front.open) + OWN_DESCRIPTORS) / limits.sockets,
            resident / (limits.memory_mb << 20),
            len(members),
            sum(engine.is_in_service(e.member.server) for e in members),
        )

    def _is_ours(self, entry) -> bool:
        s, member = self.engine.settings, entry.member
        return member.zone == s.zone and member.kind not in (s.parent_kind, s.origin_kind)

    def gauges(self) -> dict[str, float]:
        """Figures that go up and down, for the operators' listener."""
        return {
            "loop_lag_seconds": self.engine.lag_us / 1e6,
            "open_requests": self.engine.open_requests,
            "member_connections": self.pool.open_connections if self.pool else 0,
            "clients_open": len(self.front.open),
        }
