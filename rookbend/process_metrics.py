"""Measurements of a director's own process, and the task that runs the engine's timers."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from rookbend.core.engine import Engine
from rookbend.core.model import Endpoint
from rookbend.net.client_listener import ClientListener
from rookbend.net.loop_pause import let_readers_run
from rookbend.net.pool import Pool
from rookbend.resource_budget import OWN_DESCRIPTORS, ResourceBudget

if TYPE_CHECKING:
    from rookbend.health.spare_capacity import CapacitySample

TIMER_STEP_US = 2_000  # timers within one step run together
LAG_INTERVAL_US = 50_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM_RESIDENT_FIELD = 1  # of /proc/self/statm, see proc(5)


class ProcessMetrics:
    """Measures event loop lag, load and resource use. `pool` is None until the director serves.

    `full_lag_us` is the event loop lag that counts as full load.
    """

    def __init__(
        self, engine: Engine, client_listener: ClientListener, budget: ResourceBudget, full_lag_us: int
    ) -> None:
        self.engine = engine
        self.client_listener = client_listener
        self.budget = budget
        self.full_lag_us = full_lag_us
        self.pool: Pool | None = None
        self.max_lag_us = 0  # since `take_max_lag_us`
        self.before_timers: Callable[[], None] = lambda: None  # called before timers are run
        self._has_paused = False  # the event loop, since timers were run
        self._timer_due_earlier = trio.Event()
        engine.timers.on_earlier_due = self._wake_timers

    def _wake_timers(self, due_us: int) -> None:
        self._timer_due_earlier.set()

    def loop_paused(self, pause_us: int) -> None:
        """The event loop stood still: answers that have arrived are read before their time-outs are run."""
        self._has_paused = True

    async def run_timers(self) -> None:
        """Runs the engine's timers when they are due."""
        engine = self.engine
        clock = engine.clock
        while True:
            self.before_timers()
            if self._has_paused:
                self._has_paused = False
                await let_readers_run()
            due_us = engine.run_due()
            self._timer_due_earlier = trio.Event()
            if due_us:
                # Saves CPU time: without a minimum step, each timer would cost an iteration of the event loop.
                await trio.sleep_until(clock.monotonic_at(clock.now() + TIMER_STEP_US))
                with trio.move_on_at(clock.monotonic_at(due_us)):
                    await self._timer_due_earlier.wait()
            else:
                await self._timer_due_earlier.wait()

    async def measure_lag(self) -> None:
        """Measures the lag of the event loop.

        The measurement has its own interval. The engine's timers are not enough: with no request open there is no
        timer, and a high lag that is not measured again would have every later request rejected.
        """
        clock = self.engine.clock
        while True:
            wake_us = clock.now() + LAG_INTERVAL_US
            await trio.sleep_until(clock.monotonic_at(wake_us))
            self.engine.lag_us = max(0, clock.now() - wake_us)
            self.max_lag_us = max(self.max_lag_us, self.engine.lag_us)

    def take_max_lag_us(self) -> int:
        """The longest lag since the last call, in microseconds."""
        max_lag_us, self.max_lag_us = self.max_lag_us, 0
        return max_lag_us

    def sample(self) -> CapacitySample:
        """The present load, as shares of full load, and the numbers of local caches known and in service."""
        from rookbend.health.spare_capacity import CapacitySample

        engine = self.engine
        local_caches = [endpoint for endpoint in engine.endpoints.values() if self._is_local_cache(endpoint)]
        descriptors = self._open_member_connections() + len(self.client_listener.open) + OWN_DESCRIPTORS
        return CapacitySample(
            engine.lag_us / self.full_lag_us,
            engine.open_requests / engine.settings.max_requests_in_flight,
            descriptors / self.budget.limits.sockets,
            resident_bytes() / self.budget.memory_bytes,
            len(local_caches),
            sum(engine.is_in_service(endpoint.member.server) for endpoint in local_caches),
        )

    def _is_local_cache(self, endpoint: Endpoint) -> bool:
        settings = self.engine.settings
        member = endpoint.member
        return member.zone == settings.zone and member.kind not in (settings.parent_kind, settings.origin_kind)

    def _open_member_connections(self) -> int:
        return self.pool.open_connections if self.pool is not None else 0

    def gauges(self) -> dict[str, float]:
        """Gauges for the metrics, by name."""
        return {
            "loop_lag_seconds": self.engine.lag_us / 1e6,
            "open_requests": self.engine.open_requests,
            "member_connections": self._open_member_connections(),
            "clients_open": len(self.client_listener.open),
            "unfinished_request_bytes": self.client_listener.front.input_budget.unfinished_bytes,
            "unsent_answer_bytes": self.client_listener.unsent_bytes,
            "open_body_bytes": self.client_listener.front.input_budget.body_bytes,
            "resident_memory_bytes": resident_bytes(),
        }


def resident_bytes() -> int:
    """The resident memory of this process; 0 if it can't be read, as while no descriptor is left."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[STATM_RESIDENT_FIELD]) * PAGE_BYTES
    except OSError:
        return 0
