"""How often a check of a member runs, and with which priority."""

from __future__ import annotations

from typing import NamedTuple

from rookbend.health.check_state import CheckState
from rookbend.health.member_health import MemberHealth
from rookbend.health.model import CheckPolicy
from rookbend.scheduling import IDLE, NORMAL, URGENT


class Cadence(NamedTuple):
    """Microseconds to the next run of a check, and its priority in the scheduler."""

    interval_us: int
    priority: int


class CheckAssignment(NamedTuple):
    """Whether this director runs a check, and the minimum time to the next run or decision in microseconds."""

    is_assigned: bool
    min_interval_us: int


def policies_of(member: MemberHealth | None) -> list[CheckPolicy]:
    """The policies of a member's checks."""
    return [check.policy for check in member.checks.values()] if member is not None else []


def cadence_of(member: MemberHealth | None, check_name: str) -> Cadence | None:
    """The cadence of a check, or None if the member or the check no longer exists."""
    check: CheckState | None = member.checks.get(check_name) if member is not None else None
    if member is None or check is None:
        return None
    if check.in_doubt():
        return Cadence(check.policy.doubt_interval_us, URGENT)
    if check.down:
        return Cadence(check.policy.down_interval_us, IDLE)
    return Cadence(check.policy.interval_us, URGENT if member.in_doubt() else NORMAL)
