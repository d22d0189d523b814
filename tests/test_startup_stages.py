"""In which order service returns: floors, deadlines, what holds a stage back, and operators' commands."""

from rookbend.recovery.failure_classification import Happened
from rookbend.recovery.startup_stages import Facts, Plan, Sequence, Stage
from rookbend.testing.recovery_simulation import EPOCH, SECOND

NOW = EPOCH


WELL = Facts(Happened.WHOLE, True, True, 1.0, 0.0, 1.0, True, True, 1.0)


def replaced(facts, **changes):
    return Facts(**{**{n: getattr(facts, n) for n in facts.__slots__}, **changes})


def test_stages_come_in_order_each_after_its_floor():
    s, now, seen = Sequence(Plan(), NOW), NOW, []
    while s.stage is not Stage.SERVING:
        now += 50_000
        if s.tick(now, WELL):
            seen.append((s.stage, now - NOW))
    assert [stage for stage, _ in seen] == list(Stage)[1:]
    assert seen[-1][1] <= 2 * SECOND and all(b[1] - a[1] >= 300_000 for a, b in zip(seen, seen[1:], strict=False))


def test_alone_no_floor_holds_anything_back():
    s, facts = Sequence(Plan(), NOW), replaced(WELL, happened=Happened.ALONE, up_share=0.1, serving_share=0.0)
    for i in range(5):
        assert s.tick(NOW + i, facts)
    assert s.stage is Stage.SERVING


def test_what_is_wanted_gives_way_to_its_deadline_and_what_is_needed_does_not():
    s = Sequence(Plan(), NOW)
    few = replaced(WELL, up_share=0.2)
    assert not s.tick(NOW + 4 * SECOND, few) and s.waits == "50% of the fleet, 20% there"
    assert s.tick(NOW + 5 * SECOND, few) and s.late == ["writes without 50% of the fleet, 20% there"]
    s = Sequence(Plan(), NOW)
    assert not s.tick(NOW + 999 * SECOND, replaced(WELL, has_origin=False))
    assert s.waits == "a list that names the origin"


def test_a_stage_is_left_backwards_and_not_entered_again_at_once():
    s, now = Sequence(Plan(), NOW), NOW
    while s.stage is not Stage.FILLS:
        now += 100_000
        s.tick(now, replaced(WELL, unlimited=False))
    assert s.tick(now, replaced(WELL, origin_bad=0.9)) and s.stage is Stage.WRITES
    assert not s.tick(now + SECOND, WELL) and s.tick(now + 2 * SECOND, WELL) and s.stage is Stage.READS
    assert s.tick(now, replaced(WELL, has_origin=False)) and s.stage is Stage.LISTENING


def test_an_operator_holds_and_skips():
    s = Sequence(Plan(), NOW)
    s.held = True
    assert not s.tick(NOW + 99 * SECOND, WELL) and s.waits == "an operator's order"
    s.held = False
    s.skip()
    assert s.tick(NOW + 1, replaced(WELL, up_share=0.0)) and not s.tick(NOW + 2, replaced(WELL, origin_bad=0.5))
