"""Slow start: how the weight of a member rises after it returns to service."""

from __future__ import annotations

from rookbend.health.model import FULL_PERCENT, SlowStartPolicy

STEP_PERCENT = 5  # granularity at which a rising weight is published


class WeightRamp:
    """The weight of one member while it is in use.

    The weight rises linearly from `from_percent` at `began_us`. `level_percent` is the present weight. `limits` is set
    while slow start limits the weight, rather than the member's own agents.
    """

    __slots__ = ("began_us", "from_percent", "level_percent", "limits")

    def __init__(self) -> None:
        self.from_percent = FULL_PERCENT
        self.began_us = 0
        self.level_percent = FULL_PERCENT
        self.limits = False

    def restart(self, now_us: int, policy: SlowStartPolicy) -> None:
        """Starts at the policy's initial weight: the member returned to service."""
        self.from_percent = policy.start
        self.began_us = now_us
        self.limits = True

    def resume(self, now_us: int) -> None:
        """Continues at the last weight: the member is in use again only because panic ignores its ejection."""
        self.from_percent = max(1, self.level_percent)
        self.began_us = now_us
        self.limits = True

    def update(self, now_us: int, target_percent: int, policy: SlowStartPolicy) -> int:
        """Returns the present weight: it falls to the target at once, and rises no faster than slow start allows."""
        if not self.limits and target_percent > self.level_percent:
            self.from_percent = max(1, self.level_percent)
            self.began_us = now_us
        cap = self.cap_at(now_us, policy)
        self.level_percent = min(target_percent, cap)
        self.limits = target_percent > cap
        return self.level_percent

    def cap_at(self, now_us: int, policy: SlowStartPolicy) -> int:
        """The highest weight that slow start allows, in percent, rounded down to a step while it rises."""
        if self.from_percent >= FULL_PERCENT or not policy.duration_us or policy.start >= FULL_PERCENT:
            return FULL_PERCENT
        risen = self.from_percent + (FULL_PERCENT - policy.start) * (now_us - self.began_us) // policy.duration_us
        return FULL_PERCENT if risen >= FULL_PERCENT else max(self.from_percent, risen // STEP_PERCENT * STEP_PERCENT)

    def next_step_us(self, now_us: int, policy: SlowStartPolicy) -> int:
        """When the published cap next changes; 0 if it is at its maximum."""
        level = self.cap_at(now_us, policy)
        if level >= FULL_PERCENT:
            return 0
        goal = min(FULL_PERCENT, level // STEP_PERCENT * STEP_PERCENT + STEP_PERCENT)
        span = FULL_PERCENT - policy.start
        return max(now_us + 1, self.began_us + -(-(goal - self.from_percent) * policy.duration_us // span))
