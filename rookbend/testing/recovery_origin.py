"""The origin of a simulated fleet, and the demand that reaches it (recovery_simulation.py).

The origin answers so many calls a second, queues for a second, refuses then, and falls over when it is pushed too far.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SECOND = 1_000_000


@dataclass
class World:
    """`capacity` calls a second of the origin, `demand` requests a second of all clients; of these writes,
    and of the reads those that find no copy at first, at last, and the calls after which half the way is
    gone."""

    capacity: float = 140.0
    demand: float = 400.0
    writes: float = 0.1
    miss_cold: float = 1.0
    miss_warm: float = 0.1
    fills_to_half: float = 300.0
    multiple: float = 2.5
    window_us: int = 1_500_000
    queue_us: int = 1_000_000
    down_us: int = 4_000_000
    call_us: int = 40_000


class Origin:
    def __init__(self, world: World):
        self.world = world
        self.log: deque[int] = deque()
        self.free_us = self.down_until = 0
        self.falls = self.calls = 0
        self.most = 0.0  # the fullest window, as a share of what pushes it over

    def call(self, now: int) -> tuple[bool, int]:
        """(answered, microseconds it takes)."""
        w = self.world
        self.calls += 1
        if now < self.down_until:
            return False, 1_000
        self.log.append(now)
        while self.log[0] <= now - w.window_us:
            self.log.popleft()
        full = len(self.log) / (w.multiple * w.capacity * w.window_us / SECOND)
        self.most = max(self.most, full)
        if full > 1:
            self.falls += 1
            self.down_until = now + w.down_us
            self.log.clear()
            self.free_us = 0
            return False, 1_000
        free = max(self.free_us, now)
        if free - now > w.queue_us:
            return False, 1_000
        self.free_us = free + int(SECOND / w.capacity)
        return True, free - now + w.call_us
