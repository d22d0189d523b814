"""The order in which a director returns to service: stages with conditions, minimum times and deadlines.

    listening       sockets are open; the director is not ready and rejects every request at once
    writes          ready; writes are admitted, because they need only the origin
    reads           read classes are admitted one by one, in descending order of priority weight per cost
    fills           all classes are admitted; the rate towards the origin grows
    background      no limits; background work starts
    serving         the director also takes part in the work of the fleet

A stage is entered once its required conditions hold, the minimum time in the previous stage has passed, and either its
preferred conditions hold or its deadline has passed. The director falls back to an earlier stage when a required
condition no longer holds, or when the origin fails while its rate is still limited. If only this director restarted,
there are no minimum times.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from rookbend.recovery.failure_classification import FailureClass

FAILING_RATIO = 0.3
COLLAPSED_RATIO = 0.7
COLLAPSE_HOLD_US = 1_500_000


class Stage(IntEnum):
    """The stages described at the head of the module. The names appear in logs and JSON."""

    LISTENING = 0
    WRITES = 1
    READS = 2
    FILLS = 3
    BACKGROUND = 4
    SERVING = 5


@dataclass(frozen=True, slots=True)
class StartupConditions:
    """The state on which the stages depend. `live_ratio`: ratio of live directors; `origin_failure_ratio`: ratio of
    failures among recent calls; `open_class_ratio`: ratio of admitted read classes; `serving_peers_ratio`: ratio of
    active peers at the stage FILLS or later."""

    failure_class: FailureClass
    has_origin: bool
    has_caches: bool
    live_ratio: float
    origin_failure_ratio: float
    open_class_ratio: float
    unlimited: bool
    purges_covered: bool
    serving_peers_ratio: float


@dataclass(frozen=True, slots=True)
class StartupPlan:
    """The operators' settings: the ratio of live directors to wait for, and deadlines, counted within a stage."""

    ready_share: float = 0.5
    ready_by_us: int = 5_000_000
    full_by_us: int = 30_000_000


Condition = Callable[[StartupConditions, StartupPlan], str]  # returns "" if met, else what is missing


@dataclass(frozen=True, slots=True)
class StageRule:
    """How a stage is entered. `required` must hold; `preferred` is waited for until `deadline_us`. `minimum_us` and
    `deadline_us` count from the entry of the previous stage."""

    required: Condition
    preferred: Condition
    minimum_us: int
    deadline_us: int


def _origin_listed(conditions: StartupConditions, plan: StartupPlan) -> str:
    return "" if conditions.has_origin else "a list that names the origin"


def _enough_directors(conditions: StartupConditions, plan: StartupPlan) -> str:
    if conditions.failure_class is FailureClass.THIS_DIRECTOR or conditions.live_ratio >= plan.ready_share:
        return ""
    return f"{plan.ready_share:.0%} of the fleet, {conditions.live_ratio:.0%} there"


def _origin_answers(conditions: StartupConditions, plan: StartupPlan) -> str:
    ratio = conditions.origin_failure_ratio
    return "" if ratio < FAILING_RATIO else f"the origin to answer ({ratio:.0%} bad)"


def _caches_listed(conditions: StartupConditions, plan: StartupPlan) -> str:
    return _origin_listed(conditions, plan) or ("" if conditions.has_caches else "a list that names a cache")


def _classes_open(conditions: StartupConditions, plan: StartupPlan) -> str:
    all_open = conditions.open_class_ratio >= 1
    return _origin_answers(conditions, plan) or ("" if all_open else "all read classes to be open")


def _unlimited(conditions: StartupConditions, plan: StartupPlan) -> str:
    if not conditions.unlimited:
        return "the origin ramp to end"
    return "" if conditions.purges_covered else "the purges of the outage to be received"


def _peers_serving(conditions: StartupConditions, plan: StartupPlan) -> str:
    ratio = conditions.serving_peers_ratio
    if conditions.failure_class in (FailureClass.THIS_DIRECTOR, FailureClass.ISOLATED) or ratio >= 0.5:
        return ""
    return f"peers to serve ({ratio:.0%})"


def stage_rules(plan: StartupPlan) -> dict[Stage, StageRule]:
    """The rules of a plan, by the stage to enter."""
    return {
        Stage.WRITES: StageRule(_origin_listed, _enough_directors, 0, plan.ready_by_us),
        Stage.READS: StageRule(_caches_listed, _origin_answers, 300_000, 3_000_000),
        Stage.FILLS: StageRule(_caches_listed, _classes_open, 300_000, 6_000_000),
        Stage.BACKGROUND: StageRule(_origin_listed, _unlimited, 500_000, plan.full_by_us),
        Stage.SERVING: StageRule(_origin_listed, _peers_serving, 500_000, plan.full_by_us),
    }


class StartupSequence:
    """Holds the present stage. `held`: an operator's command keeps further stages from being entered; `waits_for`: what
    the next stage waits for; `entered_without`: preferred conditions that were missing when a stage was entered."""

    def __init__(self, plan: StartupPlan, began_us: int):
        self.plan = plan
        self.rules = stage_rules(plan)
        self.stage = Stage.LISTENING
        self.entered_us = began_us
        self.held = False
        self.waits_for = ""
        self.entered_without: list[str] = []
        self._not_before_us = 0
        self._skip = False

    def skip(self) -> None:
        """Requests that the next stage be entered without its preferred conditions, minimum time and deadline.

        The request stays pending until the required conditions hold.
        """
        self._skip = True

    def update(self, now: int, conditions: StartupConditions) -> bool:
        """Enters or leaves a stage if the conditions demand it; returns whether the stage has changed."""
        fallback = self._fallback(conditions)
        if fallback is not None:
            self._not_before_us = now + COLLAPSE_HOLD_US
            return self._enter(now, fallback)
        if self.stage is Stage.SERVING:
            self.waits_for = ""
            return False
        following = Stage(self.stage + 1)
        rule = self.rules[following]
        blocked = rule.required(conditions, self.plan) or ("an operator's order" if self.held else "")
        missing = ""
        if not blocked:
            missing = rule.preferred(conditions, self.plan)
            blocked = "" if self._skip else self._blocked_by(now, conditions, rule, missing)
        if blocked:
            self.waits_for = blocked
            return False
        if missing:
            self.entered_without.append(f"{following.name.lower()} without {missing}")
        self._skip = False
        return self._enter(now, following)

    def _blocked_by(self, now: int, conditions: StartupConditions, rule: StageRule, missing: str) -> str:
        """What the stage still waits for, or "" if it may be entered."""
        since_us = now - self.entered_us
        minimum_us = 0 if conditions.failure_class is FailureClass.THIS_DIRECTOR else rule.minimum_us
        if since_us < minimum_us or now < self._not_before_us:
            return missing or "its minimum time"
        return missing if since_us < rule.deadline_us else ""

    def _fallback(self, conditions: StartupConditions) -> Stage | None:
        """The earlier stage to fall back to, or None."""
        if self.stage > Stage.LISTENING and not conditions.has_origin:
            return Stage.LISTENING
        if self.stage > Stage.WRITES and not conditions.has_caches:
            return Stage.WRITES
        if Stage.READS <= self.stage <= Stage.FILLS and conditions.origin_failure_ratio >= COLLAPSED_RATIO:
            return Stage.WRITES
        return None

    def _enter(self, now: int, stage: Stage) -> bool:
        self.stage = stage
        self.entered_us = now
        self.waits_for = ""
        return True
