"""What the operators' door says in figures: `svc.requests.CLASS.served:812|c` a line, counters |c, gauges |g.

Every process counts from 0. A class has its lines from the moment the settings name it; one that has vanished
keeps them, since what was counted stays true.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rookbend.core.model import FinalOutcome

Counted = tuple[str, int]


def by_class(name: str, answers: Mapping[tuple[str, FinalOutcome], int]) -> list[Counted]:
    """Answers by class and outcome, as figures of one name."""
    return [(f"requests.{name}.{verdict.value}", answers.get((name, verdict), 0)) for verdict in FinalOutcome]


def text(counters: Iterable[Counted], gauges: Iterable[Counted]) -> bytes:
    """All figures in the form that the operators read."""
    lines = [f"svc.{name}:{value}|c\n" for name, value in counters]
    lines += [f"svc.{name}:{value}|g\n" for name, value in gauges]
    return "".join(lines).encode()
