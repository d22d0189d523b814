"""The text format of the operators' endpoint: one metric per line, such as `svc.requests.CLASS.served:812|c`.

The suffix is |c for counters and |g for gauges. Each process counts from 0. The lines of a class appear once the
settings name it, and stay when the settings no longer do, because its counters remain valid.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rookbend.core.model import FinalOutcome

Metric = tuple[str, int]


def requests_by_class(name: str, answers: Mapping[tuple[str, FinalOutcome], int]) -> list[Metric]:
    """The counters of one class, one per final outcome."""
    return [(f"requests.{name}.{outcome.value}", answers.get((name, outcome), 0)) for outcome in FinalOutcome]


def render(counters: Iterable[Metric], gauges: Iterable[Metric]) -> bytes:
    """All metrics as text, the counters first."""
    lines = [f"svc.{name}:{value}|c\n" for name, value in counters]
    lines += [f"svc.{name}:{value}|g\n" for name, value in gauges]
    return "".join(lines).encode()
