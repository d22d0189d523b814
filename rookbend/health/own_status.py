"""The status that this director reports to a load balancer in front, in terms that each protocol can express."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.health.model import FULL_PERCENT
from rookbend.health.spare_capacity import SpareCapacity


@dataclass(frozen=True, slots=True)
class OwnStatus:
    """`admin` is ready, drain or maint; `weight` is in percent; `max_connections` is 0 if there is no limit.

    `state` is one word for operators: the lifecycle phase, or what keeps the director from serving.
    """

    admin: str
    up: bool
    weight: int
    max_connections: int
    state: str
    reason: str = ""

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are admitted."""
        return self.up and self.admin == "ready"


def own_status(phase: str, capacity: SpareCapacity, max_connections: int) -> OwnStatus:
    """The status in a lifecycle phase: `drain` from SIGTERM on, regardless of spare capacity."""
    if phase == "draining":
        return OwnStatus("drain", True, 0, max_connections, phase)
    if phase != "ready":
        return OwnStatus("ready", False, 0, 0, phase, phase)
    if not capacity.up:
        return OwnStatus("ready", False, 0, 0, "no-member", "no member in use")
    reason = f"{capacity.limited_by} at {capacity.weight}%" if capacity.weight < FULL_PERCENT else ""
    return OwnStatus("ready", True, capacity.weight, max_connections, phase, reason)
