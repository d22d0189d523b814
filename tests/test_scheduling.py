"""The plan of background work: budgets, priorities, moves and drops."""

import random

from rookbend.scheduling.scheduler import IDLE, NORMAL, URGENT, Plan, Room

SECOND = 1_000_000


def keys(started):
    return [key for key, _ in started]


def test_a_thousand_checks_that_start_together_stay_within_the_budgets():
    plan, now, running, counts, first = Plan(200, Room(32, 32), seed=7), 0, [], [], {}
    for box in range(1000):
        plan.put(("check", box), 0)
    while len(first) < 1000:
        started = plan.take(now)
        counts.append((now, len(started)))
        first.update((key, now) for key in keys(started))
        running += [number for _, number in started]
        assert plan.running <= 32
        now += SECOND // 100
        for number in running[:4]:  # four end each 10 ms: more than the rate allows to start
            plan.done(number)
        running = running[4:]
    for at, _ in counts:
        assert sum(n for t, n in counts if at <= t < at + SECOND) <= 200 + 20
    assert 4.5 * SECOND < now < 5.5 * SECOND, "and not slower than the rate"


def test_first_runs_are_spread_alike_in_each_process():
    plan, other, again = Plan(1, Room(1, 1), seed=7), Plan(1, Room(1, 1), seed=8), Plan(1, Room(1, 1), seed=7)
    at = [plan.spread(("check", i), SECOND) for i in range(1000)]
    assert at == [again.spread(("check", i), SECOND) for i in range(1000)]
    assert at != [other.spread(("check", i), SECOND) for i in range(1000)]
    per_tenth = [sum(t * 10 // SECOND == n for t in at) for n in range(10)]
    assert max(per_tenth) < 150


def test_urgent_goes_first_but_nothing_starves():
    plan = Plan(1000, Room(1, 1))
    plan.put("idle", 0, IDLE)
    plan.put("normal", 0, NORMAL)
    order, now = [], 0
    while "idle" not in order:
        plan.put(f"urgent{now}", now, URGENT)
        for key, number in plan.take(now):
            order.append(key)
            plan.done(number)
        now += SECOND // 4
    assert order[0] == "urgent0" and order.index("normal") < order.index("idle") < 40


def test_kinds_with_room_of_their_own_do_not_take_the_others():
    plan = Plan(1000, Room(2, 2), {"watch": Room(3, 3)})
    for i in range(9):
        plan.put(("watch", i), 0, kind="watch")
        plan.put(("check", i), 0)
    started = plan.take(0)
    assert sorted(k for k, _ in keys(started)) == ["check"] * 2 + ["watch"] * 3
    plan.done(next(n for k, n in started if k[0] == "watch"))
    assert [k[0] for k in keys(plan.take(0))] == ["watch"]


def test_what_is_held_starts_only_once_the_hold_is_lifted():
    plan = Plan(1000, Room(9, 9))
    plan.put("a", 0, IDLE)
    plan.put("b", 0, NORMAL)
    plan.hold(NORMAL)
    assert keys(plan.take(0)) == ["b"] and not plan.due(0)
    plan.hold()
    assert plan.due(0) == 0 or plan.due(0) <= SECOND
    assert keys(plan.take(1)) == ["a"]


def test_a_job_dropped_while_it_runs_keeps_its_room_and_one_put_again_runs_again():
    plan = Plan(1000, Room(1, 1))
    plan.put("a", 0)
    ((_, number),) = plan.take(0)
    plan.drop("a")
    plan.put("a", 0)
    assert plan.take(0) == []
    plan.done(number)
    ((_, number),) = plan.take(0)
    plan.put("a", 5)
    plan.done(number)
    assert plan.due(0) == 5 and keys(plan.take(5)) == ["a"]


def test_any_order_of_calls_keeps_the_books():
    rng, plan, running, now = random.Random(3), Plan(500, Room(5, 8), {"k": Room(2, 2)}), [], 0
    for _ in range(5000):
        now += rng.randrange(5000)
        call, key = rng.randrange(5), rng.randrange(40)
        if call < 2:
            plan.put(
                key,
                now + rng.randrange(20_000),
                rng.randrange(3),
                "k" if key % 4 == 0 else "",
                1 + key % 3 if key % 4 else 1,
            )
        elif call == 2:
            plan.drop(key)
        elif call == 3 and running:
            plan.done(running.pop(rng.randrange(len(running))))
        else:
            running += [number for _, number in plan.take(now)]
        shared, own = plan.shared, plan.own["k"]
        assert shared.running + own.running == len(running) == plan.running
        assert shared.running <= 5 and shared.descriptors <= 8 and own.running <= 2
        assert len(plan._later) <= 2 * len(plan.jobs) + 65
    for number in running:
        plan.done(number)
    assert plan.shared.descriptors == plan.own["k"].descriptors == plan.running == 0
