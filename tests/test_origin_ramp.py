"""How much all directors together may ask of the origin while it warms up, and each one's quota."""

import pytest

from rookbend.recovery.origin_ramp import BACK_US, STEP_US, Outcomes, Share
from rookbend.testing.recovery_simulation import EPOCH, SECOND

NOW = EPOCH


def test_the_rate_grows_while_all_is_well_stands_while_calls_queue_and_halves():
    share, now = Share(40, 400, NOW), NOW
    for _ in range(3):
        now += STEP_US
        for _ in range(60):
            share.asked()
            share.ended(now, True, 40_000)
        assert share.tick(now, 1.0)
    grown = share.rate
    assert grown == pytest.approx(40 * 1.6**3)
    now += STEP_US + SECOND
    for _ in range(60):
        share.asked()
        share.ended(now, True, 700_000)
    assert not share.tick(now, 1.0) and share.rate == grown, "it queues: not pushed"
    for _ in range(50):
        share.ended(now, False, 1_000)
    assert share.tick(now, 1.0) and share.rate == grown / 2 and not share.tick(now + 1, 1.0)
    assert share.tick(now + BACK_US - 1, 1.0) is False


def test_a_director_that_sees_too_few_calls_goes_by_what_others_saw():
    share = Share(40, 400, NOW)
    share.asked()
    share.ended(NOW, False, 1_000)
    assert not share.unwell(NOW)
    for i in range(1, 5):
        share.heard(i, Outcomes(NOW, 40, 2, 1, 0, 40_000))
    assert share.unwell(NOW) and share.tick(NOW + BACK_US, 0.01) and share.rate == 20
    assert not share.unwell(NOW + 3 * SECOND), "their word fades"


def test_nobody_runs_ahead_of_the_others_median_and_all_are_free_together():
    share = Share(100, 400, NOW)
    for i in range(1, 4):
        share.heard(i, Outcomes(NOW + STEP_US, 50, 5, 0, 0, 40_000))
    share.tick(NOW + STEP_US, 1.0)
    assert share.rate == 62.5
    for i in range(1, 4):
        share.heard(i, Outcomes(NOW + 2 * STEP_US, 0, 5, 0, 0, 40_000))
    share.tick(NOW + 2 * STEP_US, 1.0)
    assert share.rate is None


def test_a_part_is_never_under_one_of_all():
    share = Share(40, 400, NOW)
    assert share.part(5, 10, True) == 0.2 and share.part(5, 10, False) == 0.1
    assert share.part(99, 10, True) == 0.1 and share.part(0, 10, True) == 1
