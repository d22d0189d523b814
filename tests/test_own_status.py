"""A director's own weight and status, as it is told to a balancer in front."""

import pytest

from rookbend.health.own_status import own_status
from rookbend.health.spare_capacity import CapacitySample, SpareCapacity

SECOND = 1_000_000


def test_headroom_falls_at_once_and_rises_by_steps_that_last():
    h, now = SpareCapacity(step=0.1, rise_us=SECOND, least=0.1), 0
    h.measure(now, CapacitySample(lag=0.8, members=2, in_use=2))
    assert (h.weight, h.limited_by) == (20, "lag")
    weights = []
    for now in range(0, 12 * SECOND, SECOND // 4):
        h.measure(now, CapacitySample(members=2, in_use=2))
        weights.append(h.weight)
    rises = [b - a for a, b in zip(weights, weights[1:], strict=False)]
    assert set(rises) == {0, 10} and weights[-1] == 100 and weights[3] == 20
    h.measure(now, CapacitySample(open=0.95, members=4, in_use=1))
    assert (h.weight, h.limited_by) == (10, "open")
    for i in range(40):  # a target that swings by less than a step is not followed
        h.measure(now + i * SECOND, CapacitySample(lag=0.88 if i % 2 else 0.9))
    assert h.weight == 10


@pytest.mark.parametrize(
    "phase, sample, accepts_requests, admin, up",
    [
        ("starting", CapacitySample(), False, "ready", False),
        ("ready", CapacitySample(), True, "ready", True),
        ("ready", CapacitySample(members=2), False, "ready", False),
        ("draining", CapacitySample(), False, "drain", True),
    ],
)
def test_the_lifecycle_comes_before_the_room(phase, sample, accepts_requests, admin, up):
    h = SpareCapacity()
    h.measure(0, sample)
    s = own_status(phase, h, 100)
    assert (s.accepts_requests, s.admin, s.up) == (accepts_requests, admin, up)
