"""What is known about a member's health, and what is made of it: evidence in, verdicts out.

The order in which evidence counts, first match decides (docs/HEALTH.md has the table for operators):

    1 membership  gone: the row goes, and with it everything known        nothing lifts it
    2 membership  draining                                                nothing lifts it
    3 order       maintain, drain                                         only the order `ready`
    4 agent       maint, drain, or a weight of 0%                         only that agent's own word
    5 checks      agent `down`, a check that fell, attempts that failed   limited by `max-out` (panic)
    6 hold        back from 5, but it came and went too often             time
    7 weight      the least of the agents' weights and of the slow start

An agent or a check can take away or reduce. Nothing but the membership adds a member.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rookbend.core.check_result import Outcome, Words
from rookbend.core.model import Endpoint
from rookbend.interface import AttemptStatus

FULL = 100  # percent


class State(Enum):
    """The effective state of a member."""

    READY = "ready"
    DEGRADED = "degraded"  # in use, with less weight or in doubt
    DRAINING = "draining"  # nothing new
    DOWN = "down"  # nothing new: taken out by checks
    MAINTENANCE = "maintenance"  # nothing new: taken out by people

    @property
    def in_use(self) -> bool:
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
    """What an operator says of a member."""

    READY = "ready"  # lifts the other two
    DRAIN = "drain"
    MAINTAIN = "maintain"


@dataclass(frozen=True, slots=True)
class CheckPolicy:
    """How the results of one check are counted and how often it is made. Microseconds."""

    name: str
    is_agent: bool = False
    tier: str = "cache"  # cache, parent, origin, all
    interval_us: int = 2_000_000
    fast_us: int = 500_000
    down_us: int = 5_000_000
    rise: int = 2
    fall: int = 3
    stale_us: int = 10_000_000


@dataclass(frozen=True, slots=True)
class Ramp:
    """Slow start of a tier: the share at first, and how long until all of it. Percent, microseconds."""

    start: int = FULL
    takes_us: int = 0


@dataclass(frozen=True, slots=True)
class HealthPolicy:
    checks: tuple[CheckPolicy, ...] = ()
    max_out: float = 0.5  # share of a tier that checks may take out; beyond it they are ignored
    panic_hold_us: int = 5_000_000  # and stay ignored until it has been within for so long
    hold_us: int = 2_000_000  # out at least so long; doubles with each flap
    hold_most_us: int = 120_000_000
    flap_window_us: int = 60_000_000
    passive_fall: int = 10  # attempts in a row that failed to connect or were reset; 0: not counted
    passive_hold_us: int = 5_000_000
    weigh: str = "caches"  # whose weight reaches the module: caches, all, none
    ramps: tuple[tuple[str, Ramp], ...] = ()  # by role


# Events. Each is fed with the time at which it was heard.


@dataclass(slots=True)
class MembershipHeard:
    complete: bool
    entries: list[Endpoint]


@dataclass(slots=True)
class AgentHeard:
    """An agent's line. `number` grows with each start of a check: what was overtaken is not believed."""

    server: int
    check: str
    number: int
    words: Words


@dataclass(slots=True)
class CheckEnded:
    """A check's end; for an agent only where it gave no usable line."""

    server: int
    check: str
    number: int
    outcome: Outcome
    reason: str = ""


@dataclass(slots=True)
class AttemptSeen:
    server: int
    status: AttemptStatus


@dataclass(slots=True)
class Ordered:
    server: int
    order: Order
    by: str = ""


@dataclass(slots=True)
class PolicyChanged:
    policy: HealthPolicy


@dataclass(slots=True)
class Tick:
    pass


Event = MembershipHeard | AgentHeard | CheckEnded | AttemptSeen | Ordered | PolicyChanged | Tick


# What comes out


@dataclass(frozen=True, slots=True)
class Verdict:
    """The effective state. `weight` is percent of what the membership gives; `since_us` is when the evidence
    behind it was heard; `cold_since_us` when it was last found not to run, 0 if never."""

    state: State
    weight: int
    cause: Cause
    reason: str = ""
    since_us: int = 0
    cold_since_us: int = 0


@dataclass(slots=True)
class Judged:
    """A member's verdict has changed in state, weight or coldness; None where the member has gone."""

    server: int
    verdict: Verdict | None


@dataclass(slots=True)
class Said:
    """Something operators want to read."""

    event: str
    level: str
    fields: dict


Action = Judged | Said
