"""How much all directors together may ask of the origin while it warms up, and each one's quota."""

import pytest

from rookbend.recovery.origin_ramp import BACKOFF_US, STEP_US, OriginRamp, OriginSample
from rookbend.testing.recovery_simulation import EPOCH, SECOND

NOW = EPOCH


def test_the_rate_grows_while_all_is_well_stands_while_calls_queue_and_halves():
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
    assert not ramp.update(now, 1.0) and ramp.fleet_rate == grown, "it queues: not pushed"
    for _ in range(50):
        ramp.call_ended(now, False, 1_000)
    assert ramp.update(now, 1.0) and ramp.fleet_rate == grown / 2 and not ramp.update(now + 1, 1.0)
    assert ramp.update(now + BACKOFF_US - 1, 1.0) is False


def test_a_director_that_sees_too_few_calls_goes_by_what_others_saw():
    ramp = OriginRamp(40, 400, NOW)
    ramp.call_started()
    ramp.call_ended(NOW, False, 1_000)
    assert not ramp.is_origin_failing(NOW)
    for i in range(1, 5):
        ramp.add_peer_sample(i, OriginSample(NOW, 40, 2, 1, 0, 40_000))
    assert ramp.is_origin_failing(NOW) and ramp.update(NOW + BACKOFF_US, 0.01) and ramp.fleet_rate == 20
    assert not ramp.is_origin_failing(NOW + 3 * SECOND), "their word fades"


def test_nobody_runs_ahead_of_the_others_median_and_all_are_free_together():
    ramp = OriginRamp(100, 400, NOW)
    for i in range(1, 4):
        ramp.add_peer_sample(i, OriginSample(NOW + STEP_US, 50, 5, 0, 0, 40_000))
    ramp.update(NOW + STEP_US, 1.0)
    assert ramp.fleet_rate == 62.5
    for i in range(1, 4):
        ramp.add_peer_sample(i, OriginSample(NOW + 2 * STEP_US, 0, 5, 0, 0, 40_000))
    ramp.update(NOW + 2 * STEP_US, 1.0)
    assert ramp.fleet_rate is None


def test_a_part_is_never_under_one_of_all():
    ramp = OriginRamp(40, 400, NOW)
    assert ramp.quota(5, 10, True) == 0.2 and ramp.quota(5, 10, False) == 0.1
    assert ramp.quota(99, 10, True) == 0.1 and ramp.quota(0, 10, True) == 1
