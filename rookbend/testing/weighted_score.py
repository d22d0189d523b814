"""Worth served against worth asked for, as the operators count it. Pure.

A request is worth its class's worth if it was served within the class's aim (the aim, and a multiple of
the time that sending its bytes takes), a share of it if served later but before the client gave up, and a
share if from a copy past its fresh time. The figure mixes the whole run, its worst ten seconds and its worst
class. A client's retries belong to its first try: what counts is when that was sent and what came last.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

WHOLE, WORST_SPAN, WORST_CLASS = 0.6, 0.1, 0.3
SPAN_US = 10_000_000
STEP_US = 1_000_000  # the spans that are looked at begin this far apart


@dataclass(frozen=True, slots=True)
class ClassWorth:
    name: str
    worth: float
    latency_objective_us: int
    latency_objective_stretch: float = 0.0
    late_priority_weight: float = 0.0
    stale_priority_weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Ended:
    """A request with all its tries: `sent_us` the first, `answered_us` the end of the good answer or None."""

    sent_us: int
    cls: int
    answered_us: int | None
    sending_us: int = 0
    stale: bool = False


@dataclass(frozen=True, slots=True)
class Figure:
    """Shares from 0 to 1; `worst_at_us` is where the worst span begins."""

    total: float
    whole: float
    worst_span: float
    worst_at_us: int
    by_class: dict[str, float]


def earned(cls: ClassWorth, request: Ended) -> float:
    if request.answered_us is None:
        return 0.0
    worth = cls.worth * (cls.stale_priority_weight if request.stale else 1.0)
    aim = cls.latency_objective_us + cls.latency_objective_stretch * request.sending_us
    return worth if request.answered_us - request.sent_us <= aim else worth * cls.late_priority_weight


def _share(pairs: Iterable[tuple[float, float]]) -> float:
    got = asked = 0.0
    for g, a in pairs:
        got, asked = got + g, asked + a
    return got / asked if asked else 1.0


def measure(classes: list[ClassWorth], requests: list[Ended]) -> Figure:
    """The figure of a run. A run without requests has lost nothing."""
    rows = sorted((r.sent_us, r.cls, earned(classes[r.cls], r), classes[r.cls].worth) for r in requests)
    whole = _share((got, asked) for _, _, got, asked in rows)
    by_class = {c.name: _share((got, asked) for _, i, got, asked in rows if i == n) for n, c in enumerate(classes)}
    worst, worst_at = worst_span([(at, got, asked) for at, _, got, asked in rows])
    total = WHOLE * whole + WORST_SPAN * worst + WORST_CLASS * min(by_class.values(), default=1.0)
    return Figure(total, whole, worst, worst_at, by_class)


def worst_span(rows: list[tuple[int, float, float]]) -> tuple[float, int]:
    """(share, begin) of the worst span; a run shorter than one is one span. Rows are in order of time."""
    if not rows:
        return 1.0, 0
    first, last = rows[0][0], rows[-1][0]
    begins = range(first, max(first, last - SPAN_US) + 1, STEP_US)
    worst, worst_at, low, high, got, asked = 2.0, first, 0, 0, 0.0, 0.0
    for begin in begins:
        while high < len(rows) and rows[high][0] < begin + SPAN_US:
            got, asked, high = got + rows[high][1], asked + rows[high][2], high + 1
        while low < high and rows[low][0] < begin:
            got, asked, low = got - rows[low][1], asked - rows[low][2], low + 1
        if asked > 1e-9 and got / asked < worst:
            worst, worst_at = got / asked, begin
    return (max(0.0, worst), worst_at) if worst <= 1.0 + 1e-9 else (1.0, first)
