"""This director's own weight, as reported to a load balancer in front: its spare capacity.

A resource lowers the weight once the share of it in use exceeds a threshold, down to 0 when all of it is in use. The
resource with the least capacity left sets the weight. The weight falls at once, in whole steps; it rises one step at a
time, each after capacity has been spare for `rise_us`, so that balancers that follow it do not shift the load back and
forth between directors.
"""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.health.model import FULL_PERCENT

# Share in use from which a resource lowers the weight, by field of `CapacitySample`.
USAGE_THRESHOLDS = {"lag": 0.2, "open": 0.5, "descriptors": 0.7, "memory": 0.8}


@dataclass(frozen=True, slots=True)
class CapacitySample:
    """A director's resource usage, as shares of each limit, 0 to 1.

    `lag` is the event-loop lag as a share of `[headroom] lag`; `open` is the share of requests in flight. `members`
    counts the caches of the director's zone in the membership, `in_use` those of them that serve.
    """

    lag: float = 0.0
    open: float = 0.0
    descriptors: float = 0.0
    memory: float = 0.0
    members: int = 0
    in_use: int = 0


class SpareCapacity:
    """The weight in percent, and the resource that limits it ("" if none does)."""

    def __init__(self, step: float = 0.1, rise_us: int = 2_000_000, least: float = 0.1):
        self.step = round(step * FULL_PERCENT)
        self.rise_us = rise_us
        self.least = round(least * FULL_PERCENT)
        self.weight = FULL_PERCENT
        self.limited_by = ""
        self.up = True
        self._spare_since_us = 0  # since when there has been capacity for another step, or 0

    def measure(self, now_us: int, sample: CapacitySample) -> None:
        """Updates the weight from a sample."""
        left, limited_by = remaining_capacity(sample)
        # Without a member in use, other directors serve better. An empty membership only means not received yet.
        self.up = not sample.members or sample.in_use > 0
        goal = max(left // self.step * self.step if left < FULL_PERCENT else FULL_PERCENT, self.least)
        if goal < self.weight:
            self.weight = goal
            self.limited_by = limited_by
            self._spare_since_us = 0
        elif goal < min(self.weight + self.step, FULL_PERCENT):
            self._spare_since_us = 0
        elif goal > self.weight:
            self._rise(now_us, goal)
        if self.weight == FULL_PERCENT:
            self.limited_by = ""

    def _rise(self, now_us: int, goal: int) -> None:
        self._spare_since_us = self._spare_since_us or now_us
        if now_us - self._spare_since_us >= self.rise_us:
            self.weight = min(self.weight + self.step, goal)
            self._spare_since_us = now_us


def remaining_capacity(sample: CapacitySample) -> tuple[int, str]:
    """Returns the remaining capacity in percent, and the resource that limits it ("" if none does)."""
    shares = {name: (1 - getattr(sample, name)) / (1 - threshold) for name, threshold in USAGE_THRESHOLDS.items()}
    if sample.members:
        shares["members"] = sample.in_use / sample.members
    name = min(shares, key=lambda resource: shares[resource])
    left = min(max(round(shares[name] * FULL_PERCENT), 0), FULL_PERCENT)
    return left, name if left < FULL_PERCENT else ""
