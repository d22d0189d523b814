"""The metrics of the operators' endpoint: `svc.requests.CLASS.served:812|c` a line; counters |c, gauges |g.

Every process counts from 0. A class has its lines from the moment the settings name it; one that is no longer named
keeps them, since what was counted stays true.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rookbend.core.model import FinalOutcome

Metric = tuple[str, int]


def requests_by_class(name: str, answers: Mapping[tuple[str, FinalOutcome], int]) -> list[Metric]:
    """The answers of one class, one counter for each final outcome."""
    return [(f"requests.{name}.{outcome.value}", answers.get((name, outcome), 0)) for outcome in FinalOutcome]


def render(counters: Iterable[Metric], gauges: Iterable[Metric]) -> bytes:
    """All metrics in the form that the operators read."""
    lines = [f"svc.{name}:{value}|c\n" for name, value in counters]
    lines += [f"svc.{name}:{value}|g\n" for name, value in gauges]
    return "".join(lines).encode()
