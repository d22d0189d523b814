"""Logs what holds the process's memory, and which client keeps the event loop busy, once either is near its limit.

A process that is killed for its memory writes no counters, so its log has to tell what held the memory before.
"""

from __future__ import annotations

import trio

from rookbend.core.engine import Engine
from rookbend.fronts.platform import OVERLOAD_LAG_US
from rookbend.net.client_connection import ClientConnection
from rookbend.net.client_listener import ClientListener
from rookbend.process_metrics import ProcessMetrics, resident_bytes
from rookbend.resource_budget import BYTES_PER_MB_SHIFT, ResourceBudget

CHECK_PERIOD_S = 0.1
HIGH_MEMORY_RATIO = 0.8  # of the memory limit
LOGGED_GROWTH_RATIO = 0.05  # of the memory limit: a further line is written after so much growth
KB_SHIFT = 10
US_PER_MS = 1000


class ResourceMonitor:
    """Writes the events `memory_high` and `loop_stalled`."""

    def __init__(
        self, engine: Engine, client_listener: ClientListener, budget: ResourceBudget, metrics: ProcessMetrics
    ) -> None:
        self.engine = engine
        self.client_listener = client_listener
        self.budget = budget
        self.metrics = metrics
        self._logged_bytes = 0  # resident memory in the last `memory_high`; 0 while the memory is not high
        self._frames: dict[ClientConnection, int] = {}  # received of each open client until the last check

    async def run(self) -> None:
        """Checks until cancelled."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            self.check_memory(resident_bytes())
            self._check_lag()

    def check_memory(self, resident: int) -> None:
        """Logs `memory_high` where `resident` bytes are near the limit, and more than at the last line."""
        limit = self.budget.memory_bytes
        if resident < HIGH_MEMORY_RATIO * limit:
            self._logged_bytes = 0
        elif not self._logged_bytes or resident >= self._logged_bytes + LOGGED_GROWTH_RATIO * limit:
            self._logged_bytes = resident
            self.engine.log("memory_high", "warning", resident_kb=resident >> KB_SHIFT, **self._memory_holders())

    def _memory_holders(self) -> dict[str, int]:
        listener = self.client_listener
        return {
            "limit_mb": self.budget.memory_bytes >> BYTES_PER_MB_SHIFT,
            "clients": len(listener.open),
            "unfinished_kb": listener.front.input_budget.unfinished_bytes >> KB_SHIFT,
            "unsent_kb": listener.unsent_bytes >> KB_SHIFT,
            "open_requests": self.engine.open_requests,
            "bodies_kb": listener.front.input_budget.body_bytes >> KB_SHIFT,
        }

    def _check_lag(self) -> None:
        before, self._frames = self._frames, {c: c.session.received_frames for c in self.client_listener.open}
        lag_us = self.metrics.take_max_lag_us()
        if lag_us <= OVERLOAD_LAG_US:
            return
        frames_by_client = {client: count - before.get(client, 0) for client, count in self._frames.items()}
        busiest = max(frames_by_client, key=frames_by_client.__getitem__, default=None)
        self.engine.log(
            "loop_stalled",
            "warning",
            lag_ms=lag_us // US_PER_MS,
            clients=len(frames_by_client),
            busiest_client=busiest.peer_name if busiest is not None else None,
            busiest_frames=frames_by_client[busiest] if busiest is not None else None,
        )
