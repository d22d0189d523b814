"""The health policy, from the operators' settings and the platform's settings for cold members."""

from __future__ import annotations

from rookbend import interface as api
from rookbend.health.model import CheckPolicy, HealthPolicy, SlowStartPolicy
from rookbend.settings import Check, Settings
from rookbend.settings.sections import Health

# Initial capacity ratio of slow start where the operators enable it but the platform sets none for cold members.
DEFAULT_START_RATIO = 0.1


def health_policy(settings: Settings, router_settings: api.Settings) -> HealthPolicy:
    """The policy for members' health; [health] must be enabled.

    Slow start uses the initial capacity and the warm-up time that the platform sets for each tier, unless the
    operators set a lower capacity or a longer time.
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
            ("cache", _slow_start(health, router_settings.cold_capacity_ratio, router_settings.warm_up_us)),
            (
                "parent",
                _slow_start(health, router_settings.parent_cold_capacity_ratio, router_settings.parent_warm_up_us),
            ),
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
