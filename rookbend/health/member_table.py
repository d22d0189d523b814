"""The table of members for operators: one JSON object per member, times as ages in microseconds."""

from __future__ import annotations

from rookbend.health.check_state import CheckState
from rookbend.health.member_health import MemberHealth
from rookbend.health.registry import HealthRegistry

ROLES = "cache", "parent", "origin"


def member_table(registry: HealthRegistry, now_us: int) -> list[dict[str, object]]:
    """All members, sorted by role, zone and name."""

    def position(member: MemberHealth) -> tuple[int, int, str]:
        return ROLES.index(member.role), member.endpoint.member.zone, member.endpoint.name

    return [_describe(registry, now_us, member) for member in sorted(registry.members.values(), key=position)]


def _describe(registry: HealthRegistry, now_us: int, health: MemberHealth) -> dict[str, object]:
    verdict = health.verdict
    member = health.endpoint.member
    assert verdict is not None  # set when the member is added
    return {
        "member": health.endpoint.name,
        "role": health.role,
        "zone": member.zone,
        "address": "{}:{}".format(*health.endpoint.address),
        "state": verdict.state.value,
        "weight": verdict.weight,
        "cause": verdict.cause.value,
        "reason": verdict.reason,
        "age_us": max(0, now_us - verdict.since_us),
        "panic": registry.tiers[member.kind, member.zone].panic,
        "roster": member.state.name.lower(),
        "roster_age_us": now_us - health.membership_us,
        "order": health.order.value,
        "order_by": health.order_by,
        "flaps": health.flaps,
        "hold_us": max(0, health.hold_until_us - now_us) if health.ejected else 0,
        "attempts_failed": health.failed_attempts,
        "checks": [_describe_check(now_us, name, check) for name, check in health.checks.items()],
    }


def _describe_check(now_us: int, name: str, check: CheckState) -> dict[str, object]:
    return {
        "check": name,
        "down": check.down,
        "admin": check.admin,
        "weight": check.weight,
        "outcome": check.outcome.value if check.outcome else "",
        "reason": check.reason,
        "trouble": check.last_run_error,
        "age_us": now_us - check.received_us if check.has_result else None,
        "stale": check.is_stale(now_us),
    }
