"""Our own weight, told to a balancer in front: how much of a director is left. Pure.

Each resource has a share from which its use counts, and is used up at 1. The weight is the least that any of
them leaves. It falls at once, by whole steps; it rises a step at a time, each after the room has been there
for `rise_us`, so that balancers that follow it don't swing the load between directors.
"""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.health.model import FULL

COUNTS_FROM = {"lag": 0.2, "open": 0.5, "descriptors": 0.7, "memory": 0.8}


@dataclass(frozen=True, slots=True)
class Sample:
    """What a director measures of itself. Shares are 0 to 1, of what is allowed."""

    lag: float = 0.0  # of the lag at which new requests are refused
    open: float = 0.0  # requests
    descriptors: float = 0.0
    memory: float = 0.0
    members: int = 0  # this director's own caches, as far as the membership has told
    in_use: int = 0  # of these, in service by their effective state


class Headroom:
    def __init__(self, step: float = 0.1, rise_us: int = 2_000_000, least: float = 0.1):
        self.step, self.rise_us, self.least = round(step * FULL), rise_us, round(least * FULL)
        self.weight, self.why = FULL, ""
        self.up = True
        self._room_since = 0  # there has been room for a step more since then, or 0

    def left(self, sample: Sample) -> tuple[int, str]:
        """(percent left, the resource that decides)."""
        shares = {name: (1 - getattr(sample, name)) / (1 - begins) for name, begins in COUNTS_FROM.items()}
        if sample.members:
            shares["members"] = sample.in_use / sample.members
        name = min(shares, key=shares.get)
        left = min(max(round(shares[name] * FULL), 0), FULL)
        return left, name if left < FULL else ""

    def measure(self, now: int, sample: Sample) -> None:
        left, why = self.left(sample)
        # With no member in use nothing could be served: a balancer is better off elsewhere. An empty membership
        # only says that nobody has told us yet.
        self.up = not sample.members or sample.in_use > 0
        goal = max(left // self.step * self.step if left < FULL else FULL, self.least)
        if goal < self.weight:
            self.weight, self.why, self._room_since = goal, why, 0
        elif goal < min(self.weight + self.step, FULL):
            self._room_since = 0
        elif goal > self.weight:
            self._room_since = self._room_since or now
            if now - self._room_since >= self.rise_us:
                self.weight, self._room_since = min(self.weight + self.step, goal), now
        if self.weight == FULL:
            self.why = ""
