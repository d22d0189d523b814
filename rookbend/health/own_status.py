"""What this director says of itself, in terms that each balancer's protocol can word. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.health.spare_capacity import FULL, Headroom


@dataclass(frozen=True, slots=True)
class Standing:
    """`admin` ready, drain or maint; `weight` percent; `most_connections` 0 if not limited."""

    admin: str
    up: bool
    weight: int
    most_connections: int
    state: str  # one word for people: the lifecycle's, or what keeps it from serving
    reason: str = ""

    @property
    def taking(self) -> bool:
        return self.up and self.admin == "ready"


def standing(phase: str, headroom: Headroom, most_connections: int) -> Standing:
    """By the lifecycle's phase first: at SIGTERM `drain`, whatever room there is."""
    if phase == "draining":
        return Standing("drain", True, 0, most_connections, phase)
    if phase != "ready":
        return Standing("ready", False, 0, 0, phase, phase)
    if not headroom.up:
        return Standing("ready", False, 0, 0, "no-member", "no member in use")
    reason = f"{headroom.why} at {headroom.weight}%" if headroom.weight < FULL else ""
    return Standing("ready", True, headroom.weight, most_connections, phase, reason)
