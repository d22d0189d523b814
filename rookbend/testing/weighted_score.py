"""The weighted score of a run, as operators count it: the priority weight earned in proportion to that requested.

A request earns the priority weight of its class if it succeeds within the latency objective of the class plus a
multiple of its transfer time. It earns a fraction of the weight if it succeeds later, before the client gives up, and a
fraction if it is served from a stale copy. The score combines the whole run, its worst window and its worst class.
A client's retries count as one request: its time is that of the first attempt, its outcome that of the last.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

WHOLE_RUN_RATIO = 0.6
WORST_WINDOW_RATIO = 0.1
WORST_CLASS_RATIO = 0.3
WINDOW_US = 10_000_000
WINDOW_STEP_US = 1_000_000
_EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class ClassObjective:
    """The weights that a request of a class can earn, and its latency objective."""

    name: str
    priority_weight: float
    latency_objective_us: int
    latency_objective_stretch: float = 0.0
    late_priority_weight: float = 0.0
    stale_priority_weight: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """A request with all its retries; `succeeded_us` is the end of the successful response, or None."""

    sent_us: int
    traffic_class: int
    succeeded_us: int | None
    transfer_us: int = 0
    is_stale: bool = False


@dataclass(frozen=True, slots=True)
class WeightedRequest:
    """The weight that one request earned, and the maximum that it could earn."""

    sent_us: int
    traffic_class: int
    earned: float
    possible: float


@dataclass(frozen=True, slots=True)
class Score:
    """Ratios from 0 to 1; `worst_window_us` is the start of the worst window."""

    total: float
    whole_run: float
    worst_window: float
    worst_window_us: int
    by_class: dict[str, float]


def earned_weight(objective: ClassObjective, outcome: RequestOutcome) -> float:
    """Returns the priority weight that one request earned."""
    if outcome.succeeded_us is None:
        return 0.0
    weight = objective.priority_weight * (objective.stale_priority_weight if outcome.is_stale else 1.0)
    objective_us = objective.latency_objective_us + objective.latency_objective_stretch * outcome.transfer_us
    is_late = outcome.succeeded_us - outcome.sent_us > objective_us
    return weight * objective.late_priority_weight if is_late else weight


def earned_ratio(requests: Iterable[WeightedRequest]) -> float:
    """Returns the earned weight in proportion to the possible weight, or 1 without requests."""
    earned = 0.0
    possible = 0.0
    for request in requests:
        earned += request.earned
        possible += request.possible
    return earned / possible if possible else 1.0


def score_run(objectives: list[ClassObjective], outcomes: list[RequestOutcome]) -> Score:
    """Returns the score of a run; a run without requests scores 1."""
    requests = [_weigh(objectives[outcome.traffic_class], outcome) for outcome in outcomes]
    requests.sort(key=lambda request: (request.sent_us, request.traffic_class, request.earned))
    whole_run = earned_ratio(requests)
    by_class = {
        objective.name: earned_ratio(request for request in requests if request.traffic_class == index)
        for index, objective in enumerate(objectives)
    }
    worst_window, worst_window_us = find_worst_window(requests)
    worst_class = min(by_class.values(), default=1.0)
    total = WHOLE_RUN_RATIO * whole_run + WORST_WINDOW_RATIO * worst_window + WORST_CLASS_RATIO * worst_class
    return Score(total, whole_run, worst_window, worst_window_us, by_class)


def _weigh(objective: ClassObjective, outcome: RequestOutcome) -> WeightedRequest:
    earned = earned_weight(objective, outcome)
    return WeightedRequest(outcome.sent_us, outcome.traffic_class, earned, objective.priority_weight)


def find_worst_window(requests: list[WeightedRequest]) -> tuple[float, int]:
    """Returns the ratio and the start of the worst window; a run shorter than a window counts as one window.

    `requests` must be in order of time.
    """
    if not requests:
        return 1.0, 0
    first_us = requests[0].sent_us
    last_us = requests[-1].sent_us
    worst = 2.0  # above every possible ratio
    worst_us = first_us
    begin = 0  # index of the window's first request
    end = 0  # index after the window's last request
    earned = 0.0
    possible = 0.0
    for begin_us in range(first_us, max(first_us, last_us - WINDOW_US) + 1, WINDOW_STEP_US):
        while end < len(requests) and requests[end].sent_us < begin_us + WINDOW_US:
            earned += requests[end].earned
            possible += requests[end].possible
            end += 1
        while begin < end and requests[begin].sent_us < begin_us:
            earned -= requests[begin].earned
            possible -= requests[begin].possible
            begin += 1
        if possible > _EPSILON and earned / possible < worst:
            worst = earned / possible
            worst_us = begin_us
    if worst > 1.0 + _EPSILON:
        return 1.0, first_us
    return max(0.0, worst), worst_us
