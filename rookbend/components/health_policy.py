"""The health policy that the operators' settings and the platform's rules for cold members amount to."""

from __future__ import annotations

from rookbend import interface as api
from rookbend.health.model import CheckPolicy, HealthPolicy, SlowStartPolicy
from rookbend.settings import Check, Settings
from rookbend.settings.sections import Health

# The capacity share at which slow start begins where the platform's rules know no cold members, but operators do.
DEFAULT_START_RATIO = 0.1


def health_policy(settings: Settings, rules: api.Settings) -> HealthPolicy:
    """The policy for members' health; `settings.health` must be there.

    Slow start follows the platform's rules for cold members, each tier's capacity at first and time to warm up,
    unless the operators are more careful.
    """
    health = settings.health
    assert health is not None
    return HealthPolicy(
        tuple(_check_policy(check) for check in settings.checks),
        health.max_out,
        health.panic_hold_us,
        health.hold_us,
        health.hold_most_us,
        health.flap_window_us,
        health.passive_fall,
        health.passive_hold_us,
        health.weigh,
        (
            ("cache", _slow_start(health, rules.cold_capacity_ratio, rules.warm_up_us)),
            ("parent", _slow_start(health, rules.parent_cold_capacity_ratio, rules.parent_warm_up_us)),
        ),
    )


def _slow_start(health: Health, cold_capacity_ratio: float, warm_up_us: int) -> SlowStartPolicy:
    start_ratio = cold_capacity_ratio
    if health.start_at >= 0:
        start_ratio = min(start_ratio, health.start_at)
    elif health.slow_start_us > 0 and start_ratio >= 1:
        start_ratio = DEFAULT_START_RATIO
    start_percent = max(1, round(start_ratio * 100))
    return SlowStartPolicy(start_percent, max(warm_up_us, health.slow_start_us))


def _check_policy(check: Check) -> CheckPolicy:
    return CheckPolicy(
        check.name,
        check.type == "agent",
        check.tier,
        check.interval_us,
        check.fast_us,
        check.down_us,
        check.rise,
        check.fall,
        check.stale_us,
    )
