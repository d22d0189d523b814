"""The rate of the fleet towards an origin that warms up, and the quota of each director."""

import pytest

from rookbend.recovery.origin_ramp import BACKOFF_US, STEP_US, OriginRamp, OriginSample
from rookbend.testing.recovery_simulation import EPOCH, SECOND

NOW = EPOCH


def test_the_rate_grows_on_success_holds_on_slow_calls_and_is_halved_on_failures():
    ramp, now = OriginRamp(40, 400, NOW), NOW
    for _ in range(3):
        now += STEP_US
        for _ in range(60):
            ramp.call_started()
            ramp.call_ended(now, True, 40_000)
        assert ramp.update(now, 1.0)
    grown = ramp.fleet_rate
    assert grown == pytest.approx(40 * 1.6**3)
    now += STEP_US + SECOND
    for _ in range(60):
        ramp.call_started()
        ramp.call_ended(now, True, 700_000)
    assert not ramp.update(now, 1.0) and ramp.fleet_rate == grown, "the origin queues calls, so the rate must not grow"
    for _ in range(50):
        ramp.call_ended(now, False, 1_000)
    assert ramp.update(now, 1.0) and ramp.fleet_rate == grown / 2 and not ramp.update(now + 1, 1.0)
    assert ramp.update(now + BACKOFF_US - 1, 1.0) is False


def test_a_director_with_too_few_calls_uses_the_samples_of_its_peers():
    ramp = OriginRamp(40, 400, NOW)
    ramp.call_started()
    ramp.call_ended(NOW, False, 1_000)
    assert not ramp.is_origin_failing(NOW)
    for i in range(1, 5):
        ramp.add_peer_sample(i, OriginSample(NOW, 40, 2, 1, 0, 40_000))
    assert ramp.is_origin_failing(NOW) and ramp.update(NOW + BACKOFF_US, 0.01) and ramp.fleet_rate == 20
    assert not ramp.is_origin_failing(NOW + 3 * SECOND), "the samples of peers expire"


def test_the_rate_is_bounded_by_the_median_of_peers_and_unlimited_once_they_are():
    ramp = OriginRamp(100, 400, NOW)
    for i in range(1, 4):
        ramp.add_peer_sample(i, OriginSample(NOW + STEP_US, 50, 5, 0, 0, 40_000))
    ramp.update(NOW + STEP_US, 1.0)
    assert ramp.fleet_rate == 62.5
    for i in range(1, 4):
        ramp.add_peer_sample(i, OriginSample(NOW + 2 * STEP_US, 0, 5, 0, 0, 40_000))
    ramp.update(NOW + 2 * STEP_US, 1.0)
    assert ramp.fleet_rate is None


def test_the_quota_is_at_least_an_equal_share_of_all_configured_directors():
    ramp = OriginRamp(40, 400, NOW)
    assert ramp.quota(5, 10, True) == 0.2 and ramp.quota(5, 10, False) == 0.1
    assert ramp.quota(99, 10, True) == 0.1 and ramp.quota(0, 10, True) == 1
