"""How the clients' requests of a run ended, counted by outcome."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass

from rookbend.testing.cluster.traffic_classes import TRAFFIC_CLASSES
from rookbend.testing.cluster.workload import ClientRequest


@dataclass
class RequestOutcomes:
    """Requests with their retries, each counted once. `late`: served after the latency objective of their class;
    `unsent`: the last try found no director, or no connection with a place."""

    served: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    unsent: int = 0

    def __str__(self) -> str:
        return ", ".join(f"{name} {number}" for name, number in asdict(self).items())

    @property
    def total(self) -> int:
        """The number of requests."""
        return sum(asdict(self).values())

    @property
    def share_served(self) -> float:
        """The share that was served, late or not; 0 without requests."""
        return (self.served + self.late) / self.total if self.total else 0.0


def count_outcomes(requests: Iterable[ClientRequest]) -> RequestOutcomes:
    """Counts the outcomes; a request that was not served counts by its last try."""
    outcomes = RequestOutcomes()
    for request in requests:
        objective_us = TRAFFIC_CLASSES[request.class_index].objective.latency_objective_us
        last_verdict = request.verdicts[-1] if request.verdicts else ""
        if request.served_us:
            outcomes.served += request.served_us <= request.arrival_us + objective_us
            outcomes.late += request.served_us > request.arrival_us + objective_us
        elif last_verdict == "refused":
            outcomes.refused += 1
        elif last_verdict == "failed":
            outcomes.failed += 1
        elif last_verdict == "unsent" or not request.directors:
            outcomes.unsent += 1
        else:
            outcomes.unanswered += 1
    return outcomes
