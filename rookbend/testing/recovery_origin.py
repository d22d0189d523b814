"""The origin of the recovery simulation: it answers calls at a fixed rate and queues them for a limited time.

It refuses calls that would wait longer, and collapses for some seconds when it is overloaded.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SECOND = 1_000_000
REFUSAL_US = 1_000


@dataclass
class Environment:
    """Parameters of the origin and of the clients' demand.

    The origin answers `calls_per_s`, queues a call for at most `queue_us` and takes `call_us` for it; more than
    `overload_multiple` times that rate within `window_us` makes it collapse for `down_us`. The clients together send
    `requests_per_s`, of which `write_ratio` are writes. The miss ratio of reads falls from `cold_miss_ratio` towards
    `warm_miss_ratio`; every `fills_to_half` fills halve the difference.
    """

    calls_per_s: float = 140.0
    requests_per_s: float = 400.0
    write_ratio: float = 0.1
    cold_miss_ratio: float = 1.0
    warm_miss_ratio: float = 0.1
    fills_to_half: float = 300.0
    overload_multiple: float = 2.5
    window_us: int = 1_500_000
    queue_us: int = 1_000_000
    down_us: int = 4_000_000
    call_us: int = 40_000


class Origin:
    """The origin. `collapses` and `calls` are counts; `peak_load_ratio` is the highest load; it collapses above 1."""

    def __init__(self, environment: Environment):
        self.environment = environment
        self.collapses = 0
        self.calls = 0
        self.peak_load_ratio = 0.0
        self._recent_us: deque[int] = deque()
        self._free_us = 0
        self._down_until_us = 0

    def call(self, now: int) -> tuple[bool, int]:
        """Returns whether a call is answered, and its duration in microseconds."""
        environment = self.environment
        self.calls += 1
        if now < self._down_until_us:
            return False, REFUSAL_US
        self._recent_us.append(now)
        while self._recent_us[0] <= now - environment.window_us:
            self._recent_us.popleft()
        load_ratio = len(self._recent_us) / (
            environment.overload_multiple * environment.calls_per_s * environment.window_us / SECOND
        )
        self.peak_load_ratio = max(self.peak_load_ratio, load_ratio)
        if load_ratio > 1:
            self._collapse(now)
            return False, REFUSAL_US
        free_us = max(self._free_us, now)
        if free_us - now > environment.queue_us:
            return False, REFUSAL_US
        self._free_us = free_us + int(SECOND / environment.calls_per_s)
        return True, free_us - now + environment.call_us

    def _collapse(self, now: int) -> None:
        self.collapses += 1
        self._down_until_us = now + self.environment.down_us
        self._recent_us.clear()
        self._free_us = 0
