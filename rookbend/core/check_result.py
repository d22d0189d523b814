"""Results of health checks: reported by the health protocols, evaluated by the health decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class CheckOutcome(Enum):
    """How a check ended."""

    PASSED = "passed"
    DEGRADED = "degraded"  # passed, and the member reports reduced performance
    FAILED = "failed"  # an answer, but not the expected one
    DISMISSED = "dismissed"  # the member requests its immediate removal from service
    REFUSED = "refused"  # connection refused
    SILENT = "silent"  # no complete answer by the deadline
    BROKEN = "broken"  # connection reset or closed early, or an answer that can't be parsed

    @property
    def passes(self) -> bool:
        """Whether the member may be used."""
        return self in (CheckOutcome.PASSED, CheckOutcome.DEGRADED)


class CheckResult(NamedTuple):
    """A check's outcome; `reason` is empty if there is nothing to explain."""

    outcome: CheckOutcome
    reason: str


@dataclass(frozen=True, slots=True)
class AgentReport:
    """The parsed line of a health agent; a field that the line does not mention is None.

    `weight` is a percentage, 0 to 100; `admin` is ready, drain or maint; `up` is whether the member is up.
    """

    up: bool | None = None
    admin: str | None = None
    weight: int | None = None
    max_connections: int | None = None
    reason: str = ""
    unknown: int = 0  # number of unknown words in the line
