"""Members of one kind and zone: how many of them checks may eject, and when checks are ignored (panic)."""

from __future__ import annotations

from enum import Enum

ROUNDING_TOLERANCE = 1e-9  # compensates for ratios that have no exact binary representation


class PanicChange(Enum):
    """What an update of a tier changed."""

    NONE = "none"
    BEGAN = "began"
    CALMED = "calmed"  # within the limit again: panic ends after `panic_hold_us`
    ENDED = "ended"


class Tier:
    """The members of one kind and zone, by server number.

    `eligible` are the members that neither the membership nor an order or agent has taken out; `failing` are the
    eligible members that checks or attempts would eject. `calm_since_us` is since when a tier in panic has been within
    its limit, or 0.
    """

    __slots__ = ("calm_since_us", "eligible", "failing", "kind", "members", "panic", "zone")

    def __init__(self, kind: int, zone: int):
        self.kind = kind
        self.zone = zone
        self.members: set[int] = set()
        self.eligible: set[int] = set()
        self.failing: set[int] = set()
        self.panic = False
        self.calm_since_us = 0

    def limit(self, max_ejected_ratio: float) -> int:
        """How many members checks may eject, rounded down."""
        return int(max_ejected_ratio * len(self.eligible) + ROUNDING_TOLERANCE)

    def update_member(self, server: int, is_eligible: bool, is_failing: bool) -> None:
        """Updates whether a member is eligible and whether it is failing."""
        _set_member(self.eligible, server, is_eligible)
        _set_member(self.failing, server, is_eligible and is_failing)

    def discard(self, server: int) -> None:
        """Removes a member."""
        for members in (self.members, self.eligible, self.failing):
            members.discard(server)

    def update_panic(self, now_us: int, max_ejected_ratio: float, panic_hold_us: int) -> PanicChange:
        """Begins or ends panic as the number of failing members requires."""
        if len(self.failing) > self.limit(max_ejected_ratio):
            began = not self.panic
            self.panic = True
            self.calm_since_us = 0
            return PanicChange.BEGAN if began else PanicChange.NONE
        if self.panic and not self.calm_since_us:
            self.calm_since_us = now_us
            return PanicChange.CALMED
        if self.panic and now_us >= self.calm_since_us + panic_hold_us:
            self.panic = False
            return PanicChange.ENDED
        return PanicChange.NONE


def _set_member(members: set[int], server: int, is_member: bool) -> None:
    if is_member:
        members.add(server)
    else:
        members.discard(server)
