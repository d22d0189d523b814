"""The startup stages: their order, minimum times, deadlines and conditions, and operators' commands."""

from rookbend.recovery.failure_classification import FailureClass
from rookbend.recovery.startup_stages import Stage, StartupConditions, StartupPlan, StartupSequence
from rookbend.testing.recovery_simulation import EPOCH, SECOND

NOW = EPOCH


HEALTHY = StartupConditions(FailureClass.WHOLE_FLEET, True, True, 1.0, 0.0, 1.0, True, True, 1.0)


def replaced(conditions, **changes):
    return StartupConditions(**{**{n: getattr(conditions, n) for n in conditions.__slots__}, **changes})


def test_stages_are_entered_in_order_each_after_its_minimum_time():
    s, now, seen = StartupSequence(StartupPlan(), NOW), NOW, []
    while s.stage is not Stage.SERVING:
        now += 50_000
        if s.update(now, HEALTHY):
            seen.append((s.stage, now - NOW))
    assert [stage for stage, _ in seen] == list(Stage)[1:]
    assert seen[-1][1] <= 2 * SECOND and all(b[1] - a[1] >= 300_000 for a, b in zip(seen, seen[1:], strict=False))


def test_no_minimum_times_apply_if_only_this_director_restarted():
    s, conditions = (
        StartupSequence(StartupPlan(), NOW),
        replaced(HEALTHY, failure_class=FailureClass.THIS_DIRECTOR, live_ratio=0.1, serving_peers_ratio=0.0),
    )
    for i in range(5):
        assert s.update(NOW + i, conditions)
    assert s.stage is Stage.SERVING


def test_a_deadline_overrides_preferred_conditions_but_not_required_ones():
    s = StartupSequence(StartupPlan(), NOW)
    few = replaced(HEALTHY, live_ratio=0.2)
    assert not s.update(NOW + 4 * SECOND, few) and s.waits_for == "50% of the fleet, 20% there"
    assert s.update(NOW + 5 * SECOND, few) and s.entered_without == ["writes without 50% of the fleet, 20% there"]
    s = StartupSequence(StartupPlan(), NOW)
    assert not s.update(NOW + 999 * SECOND, replaced(HEALTHY, has_origin=False))
    assert s.waits_for == "a list that names the origin"


def test_a_director_falls_back_to_an_earlier_stage_and_waits_before_it_advances_again():
    s, now = StartupSequence(StartupPlan(), NOW), NOW
    while s.stage is not Stage.FILLS:
        now += 100_000
        s.update(now, replaced(HEALTHY, unlimited=False))
    assert s.update(now, replaced(HEALTHY, origin_failure_ratio=0.9)) and s.stage is Stage.WRITES
    assert not s.update(now + SECOND, HEALTHY) and s.update(now + 2 * SECOND, HEALTHY) and s.stage is Stage.READS
    assert s.update(now, replaced(HEALTHY, has_origin=False)) and s.stage is Stage.LISTENING


def test_an_operator_can_hold_and_skip_stages():
    s = StartupSequence(StartupPlan(), NOW)
    s.held = True
    assert not s.update(NOW + 99 * SECOND, HEALTHY) and s.waits_for == "an operator's order"
    s.held = False
    s.skip()
    assert s.update(NOW + 1, replaced(HEALTHY, live_ratio=0.0)) and not s.update(
        NOW + 2, replaced(HEALTHY, origin_failure_ratio=0.5)
    )
