"""States, causes and policies of members' health, and the verdict on one member.

The order in which evidence counts, first match decides (docs/HEALTH.md has the table for operators):

    1 membership  gone: the member is dropped with all that is known      nothing lifts it
    2 membership  draining                                                nothing lifts it
    3 order       maintain, drain                                         only the order `ready`
    4 agent       maint, drain, or a weight of 0%                         only that agent's next report
    5 checks      agent `down`, a check that fell, attempts that failed   limited by `max-out` (panic)
    6 hold        passes again, but its ejection has not run out          time
    7 weight      the least of the agents' weights and of the slow start

An agent or a check can take away or reduce. Nothing but the membership adds a member.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FULL_PERCENT = 100  # percent of the weight that the membership gives


class State(Enum):
    """The effective state of a member."""

    READY = "ready"
    DEGRADED = "degraded"  # in use, at a lower weight or in doubt
    DRAINING = "draining"  # no new requests
    DOWN = "down"  # no new requests: ejected by checks
    MAINTENANCE = "maintenance"  # no new requests: taken out by an operator

    @property
    def in_use(self) -> bool:
        """Whether new requests may go there."""
        return self in (State.READY, State.DEGRADED)


class Cause(Enum):
    """What decided a verdict: a row of the table above."""

    MEMBERSHIP = "roster"
    ORDER = "order"
    AGENT = "agent"
    CHECK = "check"
    PASSIVE = "passive"
    HOLD = "hold"
    PANIC = "panic"
    SLOW_START = "slow-start"
    NOTHING = "nothing"  # no evidence against it


class Order(Enum):
    """An operator's order about a member."""

    READY = "ready"  # lifts the other two
    DRAIN = "drain"
    MAINTAIN = "maintain"


@dataclass(frozen=True, slots=True)
class CheckPolicy:
    """How often one check is made and how its results count.

    `tier` is cache, parent, origin or all. `interval_us` holds for a healthy member, `doubt_interval_us` while its
    state is in doubt, `down_interval_us` while it is down. `rise` and `fall` are results in a row that change the
    state. A result older than `stale_us` counts no more.
    """

    name: str
    is_agent: bool = False
    tier: str = "cache"
    interval_us: int = 2_000_000
    doubt_interval_us: int = 500_000
    down_interval_us: int = 5_000_000
    rise: int = 2
    fall: int = 3
    stale_us: int = 10_000_000


@dataclass(frozen=True, slots=True)
class SlowStartPolicy:
    """Slow start of a tier: percent of the weight at first, and microseconds until all of it."""

    start: int = FULL_PERCENT
    duration_us: int = 0


@dataclass(frozen=True, slots=True)
class HealthPolicy:
    """The operators' settings for all members.

    `max_ejected_ratio` is the share of a tier that checks may eject; beyond it they are ignored (panic), until the
    tier has been within the limit for `panic_hold_us`. An ejection lasts `min_ejection_us` at least, doubled with
    each flap within `flap_window_us`, `max_ejection_us` at most. `passive_failure_threshold` attempts in a row that
    failed to connect or were reset eject for `passive_ejection_us`; 0 counts none. `weighted_roles` says whose weight
    reaches the router: caches, all or none. `slow_start` is the slow start by role.
    """

    checks: tuple[CheckPolicy, ...] = ()
    max_ejected_ratio: float = 0.5
    panic_hold_us: int = 5_000_000
    min_ejection_us: int = 2_000_000
    max_ejection_us: int = 120_000_000
    flap_window_us: int = 60_000_000
    passive_failure_threshold: int = 10
    passive_ejection_us: int = 5_000_000
    weighted_roles: str = "caches"
    slow_start: tuple[tuple[str, SlowStartPolicy], ...] = ()


@dataclass(frozen=True, slots=True)
class Verdict:
    """The effective state of a member.

    `weight` is percent of what the membership gives; `since_us` is when the evidence behind it was received;
    `cold_since_us` when its process was last found not to run, 0 if never.
    """

    state: State
    weight: int
    cause: Cause
    reason: str = ""
    since_us: int = 0
    cold_since_us: int = 0
