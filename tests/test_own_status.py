"""A director's own weight and status, as reported to a load balancer in front."""

import pytest

from rookbend.health.own_status import own_status
from rookbend.health.spare_capacity import CapacitySample, SpareCapacity

SECOND = 1_000_000


def test_the_weight_falls_at_once_and_rises_in_steps_after_a_delay():
    capacity, now = SpareCapacity(step=0.1, rise_us=SECOND, least=0.1), 0
    capacity.measure(now, CapacitySample(lag=0.8, members=2, in_use=2))
    assert (capacity.weight, capacity.limited_by) == (20, "lag")
    weights = []
    for now in range(0, 12 * SECOND, SECOND // 4):
        capacity.measure(now, CapacitySample(members=2, in_use=2))
        weights.append(capacity.weight)
    rises = [b - a for a, b in zip(weights, weights[1:], strict=False)]
    assert set(rises) == {0, 10} and weights[-1] == 100 and weights[3] == 20
    capacity.measure(now, CapacitySample(open=0.95, members=4, in_use=1))
    assert (capacity.weight, capacity.limited_by) == (10, "open")
    for i in range(40):  # a target that varies by less than a step leaves the weight unchanged
        capacity.measure(now + i * SECOND, CapacitySample(lag=0.88 if i % 2 else 0.9))
    assert capacity.weight == 10


@pytest.mark.parametrize(
    "phase, sample, accepts_requests, admin, up",
    [
        ("starting", CapacitySample(), False, "ready", False),
        ("ready", CapacitySample(), True, "ready", True),
        ("ready", CapacitySample(members=2), False, "ready", False),
        ("draining", CapacitySample(), False, "drain", True),
    ],
)
def test_the_lifecycle_phase_takes_precedence_over_spare_capacity(phase, sample, accepts_requests, admin, up):
    capacity = SpareCapacity()
    capacity.measure(0, sample)
    status = own_status(phase, capacity, 100)
    assert (status.accepts_requests, status.admin, status.up) == (accepts_requests, admin, up)
