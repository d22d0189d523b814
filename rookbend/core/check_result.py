"""What a health protocol's exchange with a member comes to: the words shared by protocols and decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class CheckOutcome(Enum):
    """How a check ended."""

    PASSED = "passed"
    DEGRADED = "degraded"  # passed, and the member says that it is not at its best
    FAILED = "failed"  # it answered, and not as it should
    DISMISSED = "dismissed"  # it asks to be taken out at once
    REFUSED = "refused"  # nothing listens there
    SILENT = "silent"  # no whole answer by the deadline
    BROKEN = "broken"  # reset, cut off, or bytes that can't be used

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

    `weight` is percent, 0 to 100; `admin` is ready, drain or maint; `up` whether it says up or down.
    """

    up: bool | None = None
    admin: str | None = None
    weight: int | None = None
    most_connections: int | None = None
    reason: str = ""
    unknown: int = 0  # words that mean nothing to us
