"""Results of a health check, as the health protocols report them and the health decisions take them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class CheckOutcome(Enum):
    """How a check ended."""

    PASSED = "passed"
    DEGRADED = "degraded"  # passed, and the member reports reduced performance
    FAILED = "failed"  # an answer, but not the expected one
    DISMISSED = "dismissed"  # the member requests to be taken out of service at once
    REFUSED = "refused"  # connection refused
    SILENT = "silent"  # no whole answer by the deadline
    BROKEN = "broken"  # connection reset or closed early, or an answer that can't be parsed

    @property
    def passes(self) -> bool:
        """Whether the member may be used after it."""
        return self in (CheckOutcome.PASSED, CheckOutcome.DEGRADED)


class CheckResult(NamedTuple):
    """A check's outcome; `reason` is empty where nothing needs an explanation."""

    outcome: CheckOutcome
    reason: str


@dataclass(frozen=True, slots=True)
class AgentReport:
    """The parsed line of a health agent; None where the line leaves a matter open.

    `weight` is percent, 0 to 100; `admin` is ready, drain or maint; `up` whether the member is up or down.
    """

    up: bool | None = None
    admin: str | None = None
    weight: int | None = None
    max_connections: int | None = None
    reason: str = ""
    unknown: int = 0  # how many tokens of the line are unknown
