"""Rules that each router keeps by itself: final answers, repeated execution, draining, slow start and purges."""

from rookbend import interface as api
from tests.router_harness import ALL_MEMBERS, CACHES, ORIGIN, PARENTS, SECOND, Rig, final_answers, sent_fetches


def test_deadline_time_out_is_answered_at_once():
    rig = Rig()
    request, out = rig.arrive(5)
    done = rig.finish(sent_fetches(out)[0], api.AttemptStatus.TIMEOUT, after=6 * SECOND, final=False)
    assert final_answers(done) == [api.Fail(request)]
    assert not sent_fetches(done)


def test_every_request_gets_one_final_answer_when_every_attempt_fails():
    rig = Rig()
    open_attempts, answers = [], []
    for _ in range(20):
        _, out = rig.arrive(5)
        open_attempts += sent_fetches(out)
        answers += final_answers(out)
    while open_attempts:
        out = rig.finish(open_attempts.pop(0), api.AttemptStatus.ERROR, after=30_000)
        open_attempts += sent_fetches(out)
        answers += final_answers(out)
        out = rig.run_timers(rig.now + 1)
        open_attempts += sent_fetches(out)
        answers += final_answers(out)
    out = rig.run_timers(rig.now + 10 * SECOND)
    answers += final_answers(out)
    assert not sent_fetches(out)
    assert sorted(a.request for a in answers) == list(range(1, 21))


def test_nothing_is_sent_after_the_client_has_left():
    rig = Rig()
    attempt = sent_fetches(rig.arrive(5)[1])[0]
    rig.feed(api.RequestCancelled(attempt.request), after=1000)
    assert not sent_fetches(rig.finish(attempt, api.AttemptStatus.ERROR, after=1000, final=True))
    assert not sent_fetches(rig.run_timers(rig.now + 10 * SECOND))


def test_rejection_has_a_retry_after_where_clients_support_it():
    rig = Rig(members=(), allows_retry_after=True, max_retry_after_us=400_000)
    request, out = rig.arrive(5)
    assert final_answers(out) == [api.Reject(request, 400_000)]


def test_non_idempotent_request_that_may_have_executed_fails_without_a_retry():
    rig = Rig(allows_direct_to_source=True, allows_retry_after=True)
    request, out = rig.arrive(5, class_index=3)
    done = rig.finish(sent_fetches(out)[0], api.AttemptStatus.RESET, after=10_000)
    assert final_answers(done) == [api.Fail(request)] and not sent_fetches(done)


def test_non_idempotent_request_has_no_timeout_but_its_deadline():
    """Guards answers of a slow origin: an early time-out failed a write needlessly that cannot be repeated."""
    rig = Rig(allows_direct_to_source=True)
    non_idempotent, keyed = (sent_fetches(rig.arrive(5, class_index=class_index)[1])[0] for class_index in (3, 2))
    assert non_idempotent.timeout_us == 3 * SECOND and keyed.timeout_us < 0.7 * SECOND


def test_non_idempotent_request_that_was_not_executed_is_retried():
    rig = Rig(allows_direct_to_source=True)
    _, out = rig.arrive(5, class_index=3)
    assert sent_fetches(rig.finish(sent_fetches(out)[0], api.AttemptStatus.CONNECT_FAILED, after=10_000))


def test_keyed_request_is_retried_only_within_its_idempotency_window():
    rig = Rig(allows_direct_to_source=True, allows_retry_after=True)
    _, out = rig.arrive(5, class_index=2)
    again = sent_fetches(rig.finish(sent_fetches(out)[0], api.AttemptStatus.ERROR, after=500_000))
    assert again
    late = rig.finish(again[0], api.AttemptStatus.ERROR, after=1_600_000)
    assert not sent_fetches(late) and final_answers(late)


def test_keyed_request_is_retried_only_in_its_cell_and_otherwise_failed():
    traffic_class = api.TrafficClass(
        "k",
        700_000,
        3 * SECOND,
        idempotency=api.Idempotency.IDEMPOTENCY_KEY,
        retry_scope="cell",
        idempotency_key_window_us=2 * SECOND,
    )
    rig = Rig(classes=(traffic_class,), allows_retry_after=True)
    request, out = rig.arrive(5)
    first = sent_fetches(out)[0]
    cells = {m.server: m.cell for m in CACHES}
    actions = rig.finish(first, api.AttemptStatus.ERROR, after=10_000)
    for a in sent_fetches(actions):
        assert cells[a.server] == cells[first.server]
    if not sent_fetches(actions):
        assert final_answers(actions) == [api.Fail(request)]


def test_draining_cache_gets_no_released_waiters():
    rig = Rig()
    attempt = sent_fetches(rig.arrive(5)[1])[0]
    rig.arrive(5)
    cache = [m for m in CACHES if m.server == attempt.server][0]
    draining = api.Member(cache.server, 8.0, cache.cell, 1, 0, api.MemberState.DRAINING)
    rig.feed(api.MembershipUpdated(api.MembershipUpdateKind.DELTA, 2, (draining,)), after=1000)
    released = sent_fetches(rig.finish(attempt, detail=api.AttemptDetail.FILLED, after=50_000))
    assert released and released[0].server != attempt.server


def test_parent_missing_from_a_full_list_is_no_source():
    rig = Rig()
    home = sent_fetches(rig.arrive(5)[1])[0].source
    rig.feed(api.MembershipUpdated(api.MembershipUpdateKind.FULL, 2, tuple(m for m in ALL_MEMBERS if m.server != home)))
    for object_id in range(1, 40):
        for a in sent_fetches(rig.arrive(object_id)[1]):
            assert a.source != home


def work_sent(rig, matches, seconds, class_index=0, size=400.0):
    """Work of the fetches that `matches` selects, in seconds of transfer time."""
    total = 0.0
    for object_id in range(int(seconds * 100)):
        _, out = rig.arrive(object_id + 1000, class_index=class_index, size=size, after=10_000)
        for a in sent_fetches(out):
            total += size / 1000.0 if matches(a) else 0.0
            rig.finish(a, detail=api.AttemptDetail.FILLED)
    return total


def test_cold_cache_gets_no_more_than_its_budget():
    now = 100 * SECOND
    cold = api.Member(100, 8.0, 0, 1, started_us=now)
    rig = Rig(
        members=(cold, *CACHES[1:], *PARENTS, ORIGIN),
        cold_capacity_ratio=0.2,
        overload_multiple=2.0,
        overload_window_us=2 * SECOND,
    )
    work = work_sent(rig, lambda a: a.server == 100, 2)
    assert 0 < work <= 2.0 * 0.28 * 8.0 * 2.0


def test_cold_parent_is_charged_its_fills():
    now = 100 * SECOND
    cold = api.Member(200, 30.0, zone=0, kind=1, started_us=now)
    rig = Rig(
        members=(*CACHES, cold, *PARENTS[1:], ORIGIN), parent_cold_capacity_ratio=0.06, overload_window_us=2 * SECOND
    )
    work = work_sent(rig, lambda a: a.source == 200, 2)
    assert work <= 2.0 * 0.146 * 30.0 * 2.0 / 3


def test_purged_object_is_fetched_with_a_max_age_below_that_of_the_purge():
    rig = Rig()
    rig.feed(api.PurgeReceived(5, 0, age_us=200_000))
    out = sent_fetches(rig.arrive(5, after=700_000)[1])[0]
    assert 0 < out.max_age_us < 900_000


def test_group_purge_limits_the_max_age_of_every_class_until_it_has_propagated():
    rig = Rig()
    rig.feed(api.PurgeReceived(0, 9, age_us=0))
    out = sent_fetches(rig.arrive(5, class_index=1, group=9, after=300_000)[1])[0]
    assert 0 < out.max_age_us < 300_000
    later = sent_fetches(rig.arrive(6, class_index=1, group=9, after=8 * SECOND)[1])[0]
    assert later.max_age_us == 0


def test_no_request_waits_for_a_fill_that_started_before_a_purge():
    rig = Rig()
    rig.arrive(5)
    rig.feed(api.PurgeReceived(5, 0, age_us=0), after=10_000)
    assert sent_fetches(rig.arrive(5, after=10_000)[1])


def test_restarted_router_keeps_to_half_of_the_cold_budget():
    now = 100 * SECOND
    cold = api.Member(100, 8.0, 0, 1, started_us=now - SECOND)
    rig = Rig(
        members=(cold, *PARENTS, ORIGIN), cold_capacity_ratio=0.2, overload_multiple=2.0, overload_window_us=2 * SECOND
    )
    work = work_sent(rig, lambda a: a.server == 100, 1)
    assert work <= 0.5 * 2.0 * 0.25 * 8.0 * 2.0


def test_cold_parent_with_less_than_one_fill_per_router_is_shared_by_rank():
    now, routers = 100 * SECOND, 40
    cold = api.Member(200, 30.0, zone=0, kind=1, started_us=now - 4 * SECOND)
    sent = []
    for index in range(routers):
        rig = Rig(
            members=(*CACHES, cold, ORIGIN),
            router_count=routers,
            router_index=index,
            parent_cold_capacity_ratio=0.06,
            parent_overload_multiple=2.0,
            overload_window_us=2 * SECOND,
        )
        rig.router.slow_start.router_started_us = now - 20 * SECOND
        sent.append(sum(a.source == 200 for object_id in range(20) for a in sent_fetches(rig.arrive(object_id + 1)[1])))
    assert 0 < sum(map(bool, sent)) < routers
    assert sum(sent) * 0.1 <= 2.0 * 30 * 2 * (0.06 + 0.94 * 4 / 22)


def test_some_fills_bypass_a_parent_whose_link_is_full():
    """Guards against overload of the only parent left: every fill joined its queue and was late, and abandoned
    fills continued at it. A router can judge the link by its own fills only if its share of the link is large."""
    alone = (*CACHES, PARENTS[0], ORIGIN)

    def sources(**changes):
        rig = Rig(members=alone, **changes)
        rig.router.fill_limit.limit = 1000.0
        sent = [sent_fetches(rig.arrive(7000 + i, size=10.0)[1])[0].source for i in range(40)]
        return sent.count(PARENTS[0].server), sent.count(ORIGIN.server)

    parent, origin = sources()  # 3 routers share the parent's link of 30 and the location's capacity of 24
    assert parent > 30 / 3 and 0 < origin <= 24 / 3, (parent, origin)
    assert sources(router_count=30, routers_by_zone=(0, 30)) == (40, 0), "share too small to judge the link by"
