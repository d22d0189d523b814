"""The log lines of the health registry: which member or tier changed state, and why."""

from __future__ import annotations

from rookbend.coordination.actions import WriteLogLine
from rookbend.health.member_health import MemberHealth
from rookbend.health.model import HealthPolicy, Verdict
from rookbend.health.tier import Tier


def member_state_line(member: MemberHealth, old: Verdict, new: Verdict) -> WriteLogLine:
    """The line for a member whose effective state changed."""
    fields: dict[str, object] = {
        "member": member.endpoint.name,
        "state": new.state.value,
        "was": old.state.value,
        "weight": new.weight,
        "cause": new.cause.value,
        "reason": new.reason,
    }
    return WriteLogLine("member_state", "info" if new.state.in_use else "warning", fields)


def order_line(member: MemberHealth) -> WriteLogLine:
    """The line for an operator's order on a member."""
    fields: dict[str, object] = {
        "member": member.endpoint.name,
        "order": member.order.value,
        "by": member.order_by,
    }
    return WriteLogLine("order", "warning", fields)


def panic_line(tier: Tier, policy: HealthPolicy) -> WriteLogLine:
    """The line for the begin or the end of a tier's panic."""
    fields: dict[str, object] = {
        "kind": tier.kind,
        "zone": tier.zone,
        "against": len(tier.failing),
        "eligible": len(tier.eligible),
        "limit": tier.limit(policy.max_ejected_ratio),
    }
    return WriteLogLine("panic_began" if tier.panic else "panic_ended", "error", fields)
