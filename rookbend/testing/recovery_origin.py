"""The origin of a simulated fleet (recovery_simulation.py).

It answers so many calls a second, queues them for a second, refuses then, and collapses when it is overloaded.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SECOND = 1_000_000
REFUSAL_US = 1_000


@dataclass
class World:
    """What surrounds the directors.

    `capacity`: calls a second that the origin answers; it collapses for `down_us` beyond `multiple` times that within
    `window_us`, and queues for `queue_us` at most; a call takes `call_us`. `demand`: requests a second of all clients,
    `writes` the ratio of writes among them. Of the reads `miss_cold` find no copy at first and `miss_warm` at last;
    half the way is done after `fills_to_half` fills.
    """

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
    """`falls` counts collapses, `calls` all calls; `most` is the fullest window, 1 being where it collapses."""

    def __init__(self, world: World):
        self.world = world
        self.falls = 0
        self.calls = 0
        self.most = 0.0
        self._recent_us: deque[int] = deque()
        self._free_us = 0
        self._down_until_us = 0

    def call(self, now: int) -> tuple[bool, int]:
        """Whether a call is answered, and the microseconds it takes."""
        world = self.world
        self.calls += 1
        if now < self._down_until_us:
            return False, REFUSAL_US
        self._recent_us.append(now)
        while self._recent_us[0] <= now - world.window_us:
            self._recent_us.popleft()
        load = len(self._recent_us) / (world.multiple * world.capacity * world.window_us / SECOND)
        self.most = max(self.most, load)
        if load > 1:
            self._collapse(now)
            return False, REFUSAL_US
        free_us = max(self._free_us, now)
        if free_us - now > world.queue_us:
            return False, REFUSAL_US
        self._free_us = free_us + int(SECOND / world.capacity)
        return True, free_us - now + world.call_us

    def _collapse(self, now: int) -> None:
        self.falls += 1
        self._down_until_us = now + self.world.down_us
        self._recent_us.clear()
        self._free_us = 0
