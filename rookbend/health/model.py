"""States, causes and policies of members' health, and the verdict on one member.

The precedence of evidence; the first match decides (docs/HEALTH.md has the table for operators):

    1 membership  gone: the member is removed with all its state          nothing lifts it
    2 membership  draining                                                nothing lifts it
    3 order       maintain, drain                                         only the order `ready`
    4 agent       maint, drain, or a weight of 0%                         only that agent's next report
    5 checks      agent `down`, failed checks, failed attempts            limited by `max-out` (panic)
    6 hold        checks pass again, but the ejection time still runs     lifted by time
    7 weight      the minimum of the agents' weights and of slow start

An agent or a check can only take a member out of service or reduce its weight. Only the membership adds a member.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FULL_PERCENT = 100  # percent of the weight that the membership gives


class State(Enum):
    """The effective state of a member."""

    READY = "ready"
    DEGRADED = "degraded"  # in use, at a lower weight or with evidence against it
    DRAINING = "draining"  # no new requests
    DOWN = "down"  # no new requests: ejected by checks
    MAINTENANCE = "maintenance"  # no new requests: taken out by an operator

    @property
    def in_use(self) -> bool:
        """Whether the member may get new requests."""
        return self in (State.READY, State.DEGRADED)


class Cause(Enum):
    """What decided a verdict: a row of the precedence table, or panic."""

    MEMBERSHIP = "roster"
    ORDER = "order"
    AGENT = "agent"
    CHECK = "check"
    PASSIVE = "passive"
    HOLD = "hold"
    PANIC = "panic"
    SLOW_START = "slow-start"
    NOTHING = "nothing"  # no evidence against the member


class Order(Enum):
    """An operator's order on a member."""

    READY = "ready"  # lifts the other orders
    DRAIN = "drain"
    MAINTAIN = "maintain"


@dataclass(frozen=True, slots=True)
class CheckPolicy:
    """How often one check runs and how its results count.

    `tier` is cache, parent, origin or all. `interval_us` applies to a healthy member, `doubt_interval_us` while the
    newest results contradict the state, `down_interval_us` while the check is down. `rise` and `fall` are the numbers
    of consecutive results that change the state. A result older than `stale_us` no longer counts.
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
    """Slow start of a tier: the initial weight in percent, and the time to the full weight in microseconds."""

    start: int = FULL_PERCENT
    duration_us: int = 0


@dataclass(frozen=True, slots=True)
class HealthPolicy:
    """The operators' settings for all members.

    `max_ejected_ratio` is the share of a tier that checks may eject. Beyond it checks are ignored (panic), until the
    tier has been within the limit for `panic_hold_us`. An ejection lasts at least `min_ejection_us`, doubled with
    each flap within `flap_window_us`, and at most `max_ejection_us`. `passive_failure_threshold` consecutive attempts
    that failed to connect or were reset eject a member for `passive_ejection_us`; 0 turns this off. `weighted_roles`
    names the members whose weight reaches the router: caches, all or none. `slow_start` is the slow start by role.
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

    `weight` is in percent of the weight in the membership. `since_us` is when the evidence for the verdict was
    received. `cold_since_us` is when the member last returned after its process was found not running; 0 if never.
    """

    state: State
    weight: int
    cause: Cause
    reason: str = ""
    since_us: int = 0
    cold_since_us: int = 0
