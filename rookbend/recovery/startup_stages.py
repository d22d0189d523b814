"""In which order service returns: named stages, each with what it needs, what it wants, a floor and a
deadline. Pure.

    listening       sockets are open; not ready; every request is refused at once
    writes          ready; writes go out, for they need only the origin
    reads           one class of reads after the other, by worth for their cost
    fills           all classes; what may be asked of the origin grows
    background      nothing is limited any more; background work begins
    serving         and this director takes on what the fleet asks of its members

A stage is entered when what it needs holds and what it wants does, or its deadline has passed; not before the
floor of the one before. It is left backwards when what it needs no longer holds, or the origin falls over
while others are asked for less. Where this director alone restarted, floors are none."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from rookbend.recovery.failure_classification import Happened


class Stage(IntEnum):
    LISTENING = 0
    WRITES = 1
    READS = 2
    FILLS = 3
    BACKGROUND = 4
    SERVING = 5


@dataclass(frozen=True, slots=True)
class Facts:
    """What the sequencer looks at. `up_share`: directors with a sign of life, of all; `opened`: read classes
    that are open, of all."""

    happened: Happened
    has_origin: bool
    has_caches: bool
    up_share: float
    origin_bad: float
    opened: float
    unlimited: bool
    covered: bool
    serving_share: float  # of those that spoke: at or past FILLS


@dataclass(frozen=True, slots=True)
class Step:
    """How a stage is entered: `needs` always, `wants` until `by_us` after the one before was entered, which
    stays `floor_us` at least. Each gives "" or what is waited for."""

    needs: Callable[[Facts, Plan], str]
    wants: Callable[[Facts, Plan], str]
    floor_us: int
    by_us: int


@dataclass(frozen=True, slots=True)
class Plan:
    """The operators' figures."""

    ready_share: float = 0.5
    ready_by_us: int = 5_000_000
    full_by_us: int = 30_000_000


BAD, FALLEN = 0.3, 0.7
FALLEN_HOLD_US = 1_500_000  # a stage left backwards is not entered again sooner


def _membership(f: Facts, plan: Plan) -> str:
    return "" if f.has_origin else "a list that names the origin"


def _fleet(f: Facts, plan: Plan) -> str:
    if f.happened is Happened.ALONE or f.up_share >= plan.ready_share:
        return ""
    return f"{plan.ready_share:.0%} of the fleet, {f.up_share:.0%} there"


def _origin(f: Facts, plan: Plan) -> str:
    return "" if f.origin_bad < BAD else f"the origin to answer ({f.origin_bad:.0%} bad)"


def _caches(f: Facts, plan: Plan) -> str:
    return _membership(f, plan) or ("" if f.has_caches else "a list that names a cache")


def _classes(f: Facts, plan: Plan) -> str:
    return _origin(f, plan) or ("" if f.opened >= 1 else "all classes of reads to be open")


def _free(f: Facts, plan: Plan) -> str:
    if not f.unlimited:
        return "the origin's ramp to end"
    return "" if f.covered else "purges of the dark time to be told"


def _others(f: Facts, plan: Plan) -> str:
    if f.happened in (Happened.ALONE, Happened.CUT_OFF) or f.serving_share >= 0.5:
        return ""
    return f"others to serve ({f.serving_share:.0%})"


def steps(plan: Plan) -> dict[Stage, Step]:
    return {
        Stage.WRITES: Step(_membership, _fleet, 0, plan.ready_by_us),
        Stage.READS: Step(_caches, _origin, 300_000, 3_000_000),
        Stage.FILLS: Step(_caches, _classes, 300_000, 6_000_000),
        Stage.BACKGROUND: Step(_membership, _free, 500_000, plan.full_by_us),
        Stage.SERVING: Step(_membership, _others, 500_000, plan.full_by_us),
    }


class Sequence:
    """`held` by an operator: no further; `skip` moves one on whatever is wanted (not what is needed)."""

    def __init__(self, plan: Plan, began_us: int):
        self.plan, self.steps = plan, steps(plan)
        self.stage, self.entered_us = Stage.LISTENING, began_us
        self.not_before_us = 0
        self.held = False
        self.waits = ""  # what the next stage waits for
        self.late: list[str] = []  # entered with less: what was missing
        self._skip = False

    def skip(self) -> None:
        self._skip = True

    def tick(self, now: int, facts: Facts) -> bool:
        """Whether the stage has changed."""
        if (back := self._back(facts)) is not None:
            self.not_before_us = now + FALLEN_HOLD_US
            return self._enter(now, back)
        if self.stage is Stage.SERVING:
            self.waits = ""
            return False
        after = Stage(self.stage + 1)
        step, alone = self.steps[after], facts.happened is Happened.ALONE
        if missing := step.needs(facts, self.plan):
            self.waits = missing
            return False
        if self.held:
            self.waits = "an operator's order"
            return False
        since = now - self.entered_us
        missing = step.wants(facts, self.plan)
        if not self._skip:
            if since < (0 if alone else step.floor_us) or now < self.not_before_us:
                self.waits = missing or "its floor"
                return False
            if missing and since < step.by_us:
                self.waits = missing
                return False
        if missing:
            self.late.append(f"{after.name.lower()} without {missing}")
        self._skip = False
        return self._enter(now, after)

    def _back(self, f: Facts) -> Stage | None:
        """Where this stage's evidence sends it back to."""
        if self.stage > Stage.LISTENING and not f.has_origin:
            return Stage.LISTENING
        if self.stage > Stage.WRITES and not f.has_caches:
            return Stage.WRITES
        if Stage.READS <= self.stage <= Stage.FILLS and f.origin_bad >= FALLEN:
            return Stage.WRITES
        return None

    def _enter(self, now: int, stage: Stage) -> bool:
        self.stage, self.entered_us, self.waits = stage, now, ""
        return True
