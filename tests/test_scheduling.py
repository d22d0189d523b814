"""The scheduler of background jobs: budgets, priorities, rescheduling and cancellation."""

import random

from rookbend.scheduling import IDLE, NORMAL, URGENT, Budget, Scheduler

SECOND = 1_000_000


def keys(started):
    return [key for key, _ in started]


def test_a_thousand_jobs_due_together_stay_within_rate_and_budget():
    scheduler, now, running, counts, first = Scheduler(200, Budget(32, 32), seed=7), 0, [], [], {}
    for box in range(1000):
        scheduler.schedule(("check", box), 0)
    while len(first) < 1000:
        started = scheduler.start_due(now)
        counts.append((now, len(started)))
        first.update((key, now) for key in keys(started))
        running += [number for _, number in started]
        assert scheduler.running <= 32
        now += SECOND // 100
        for number in running[:4]:  # four end each 10 ms: more than the rate allows to start
            scheduler.ended(number)
        running = running[4:]
    for at, _ in counts:
        assert sum(n for t, n in counts if at <= t < at + SECOND) <= 200 + 20
    assert 4.5 * SECOND < now < 5.5 * SECOND, "the rate is also used in full"


def test_jitter_is_spread_evenly_and_depends_only_on_key_and_seed():
    scheduler, other_seed, same_seed = (
        Scheduler(1, Budget(1, 1), seed=7),
        Scheduler(1, Budget(1, 1), seed=8),
        Scheduler(1, Budget(1, 1), seed=7),
    )
    at = [scheduler.jitter(("check", i), SECOND) for i in range(1000)]
    assert at == [same_seed.jitter(("check", i), SECOND) for i in range(1000)]
    assert at != [other_seed.jitter(("check", i), SECOND) for i in range(1000)]
    per_tenth = [sum(t * 10 // SECOND == n for t in at) for n in range(10)]
    assert max(per_tenth) < 150


def test_urgent_jobs_start_first_but_no_job_starves():
    scheduler = Scheduler(1000, Budget(1, 1))
    scheduler.schedule("idle", 0, IDLE)
    scheduler.schedule("normal", 0, NORMAL)
    order, now = [], 0
    while "idle" not in order:
        scheduler.schedule(f"urgent{now}", now, URGENT)
        for key, number in scheduler.start_due(now):
            order.append(key)
            scheduler.ended(number)
        now += SECOND // 4
    assert order[0] == "urgent0" and order.index("normal") < order.index("idle") < 40


def test_a_kind_with_a_dedicated_budget_does_not_use_the_shared_one():
    scheduler = Scheduler(1000, Budget(2, 2), {"watch": Budget(3, 3)})
    for i in range(9):
        scheduler.schedule(("watch", i), 0, kind="watch")
        scheduler.schedule(("check", i), 0)
    started = scheduler.start_due(0)
    assert sorted(k for k, _ in keys(started)) == ["check"] * 2 + ["watch"] * 3
    scheduler.ended(next(n for k, n in started if k[0] == "watch"))
    assert [k[0] for k in keys(scheduler.start_due(0))] == ["watch"]


def test_jobs_below_the_priority_limit_start_once_it_is_lifted():
    scheduler = Scheduler(1000, Budget(9, 9))
    scheduler.schedule("a", 0, IDLE)
    scheduler.schedule("b", 0, NORMAL)
    scheduler.limit_priority(NORMAL)
    assert keys(scheduler.start_due(0)) == ["b"] and not scheduler.next_start_us(0)
    scheduler.limit_priority()
    assert scheduler.next_start_us(0) == 0 or scheduler.next_start_us(0) <= SECOND
    assert keys(scheduler.start_due(1)) == ["a"]


def test_a_job_cancelled_while_it_runs_uses_its_budget_and_a_rescheduled_one_runs_again():
    scheduler = Scheduler(1000, Budget(1, 1))
    scheduler.schedule("a", 0)
    ((_, number),) = scheduler.start_due(0)
    scheduler.cancel("a")
    scheduler.schedule("a", 0)
    assert scheduler.start_due(0) == []
    scheduler.ended(number)
    ((_, number),) = scheduler.start_due(0)
    scheduler.schedule("a", 5)
    scheduler.ended(number)
    assert scheduler.next_start_us(0) == 5 and keys(scheduler.start_due(5)) == ["a"]


def test_counts_stay_consistent_under_any_sequence_of_calls():
    rng, scheduler, running, now = random.Random(3), Scheduler(500, Budget(5, 8), {"k": Budget(2, 2)}), [], 0
    for _ in range(5000):
        now += rng.randrange(5000)
        call, key = rng.randrange(5), rng.randrange(40)
        if call < 2:
            scheduler.schedule(
                key,
                now + rng.randrange(20_000),
                rng.randrange(3),
                "k" if key % 4 == 0 else "",
                1 + key % 3 if key % 4 else 1,
            )
        elif call == 2:
            scheduler.cancel(key)
        elif call == 3 and running:
            scheduler.ended(running.pop(rng.randrange(len(running))))
        else:
            running += [number for _, number in scheduler.start_due(now)]
        shared, dedicated = scheduler.shared, scheduler.dedicated["k"]
        assert shared.running + dedicated.running == len(running) == scheduler.running
        assert shared.running <= 5 and shared.descriptors <= 8 and dedicated.running <= 2
        assert len(scheduler._not_due) <= 2 * len(scheduler.jobs) + 65
    for number in running:
        scheduler.ended(number)
    assert scheduler.shared.descriptors == scheduler.dedicated["k"].descriptors == scheduler.running == 0
