"""Request collapsing and hashing: leaders, waiters, hand-over, the end of a wait near the objective."""

from rookbend import interface as api
from tests.router_harness import (
    ALL_MEMBERS,
    CACHES,
    ORIGIN,
    OTHER_ZONE_CACHE,
    PARENTS,
    SECOND,
    Rig,
    final_answers,
    sent_fetches,
)


def test_first_request_leads_and_the_second_waits():
    rig = Rig()
    _, first = rig.arrive(5)
    _, second = rig.arrive(5)
    assert len(sent_fetches(first)) == 1 and sent_fetches(first)[0].join_fill
    assert not sent_fetches(second) and not final_answers(second)


def test_parts_of_an_object_are_collapsed_separately():
    rig = Rig()
    rig.arrive(5, part=0)
    assert sent_fetches(rig.arrive(5, part=1)[1])


def test_waiters_join_at_the_cache_and_source_of_their_served_leader():
    rig = Rig()
    attempt = sent_fetches(rig.arrive(5)[1])[0]
    waiter, _ = rig.arrive(5)
    actions = sent_fetches(rig.finish(attempt, detail=api.AttemptDetail.FILLED, after=50_000))
    assert [a.request for a in actions] == [waiter]
    assert (actions[0].server, actions[0].source, actions[0].join_fill) == (attempt.server, attempt.source, True)


def test_oldest_waiter_leads_after_the_leader_has_failed():
    rig = Rig()
    attempt = sent_fetches(rig.arrive(5)[1])[0]
    oldest, _ = rig.arrive(5)
    rig.arrive(5)
    actions = sent_fetches(rig.finish(attempt, api.AttemptStatus.ERROR, after=20_000))
    assert [a.request for a in actions] == [oldest]


def test_oldest_waiter_leads_after_the_leader_is_cancelled():
    rig = Rig()
    attempt = sent_fetches(rig.arrive(5)[1])[0]
    oldest, _ = rig.arrive(5)
    actions = rig.feed(api.RequestCancelled(attempt.request), after=1000)
    assert [a.request for a in sent_fetches(actions)] == [oldest]


def test_waiter_near_its_objective_joins_the_fill_at_the_cache():
    rig = Rig()
    rig.arrive(5)
    waiter, _ = rig.arrive(5)
    out = sent_fetches(rig.run_timers(rig.now + 700_000))
    assert [a.request for a in out] == [waiter] and out[0].join_fill
    waited = rig.now - 100 * SECOND
    assert waited <= 500_000 + 2 * 100_000


def test_request_without_time_to_wait_is_sent_at_once():
    rig = Rig()
    rig.arrive(5)
    assert sent_fetches(rig.arrive(5, size=1000.0, deadline_in_us=1_200_000)[1])


def test_requests_for_a_recently_served_copy_do_not_wait():
    rig = Rig()
    rig.finish(sent_fetches(rig.arrive(5)[1])[0], detail=api.AttemptDetail.FILLED, after=50_000)
    assert sent_fetches(rig.arrive(5)[1])
    assert sent_fetches(rig.arrive(5)[1])


def test_requests_join_at_the_cache_when_the_collapsing_table_is_full():
    rig = Rig(max_requests_in_flight=2)
    rig.arrive(1)
    out = sent_fetches(rig.arrive(2)[1])
    assert out and out[0].join_fill
    assert len(rig.router.collapser.fills) == 1


def test_all_routers_agree_on_cache_and_parent():
    first_router, second_router = Rig(router_index=0), Rig(router_index=2, members=tuple(reversed(ALL_MEMBERS)))
    for object_id in range(1, 30):
        a, b = sent_fetches(first_router.arrive(object_id)[1])[0], sent_fetches(second_router.arrive(object_id)[1])[0]
        first_router.finish(a, detail=api.AttemptDetail.HIT)
        second_router.finish(b, detail=api.AttemptDetail.HIT)
        assert (a.server, a.source) == (b.server, b.source)
        assert a.server in {m.server for m in CACHES} and a.source in {m.server for m in PARENTS}


def test_every_location_hashes_over_all_parents():
    other_zone = Rig(zone=2)
    own_zone = Rig()
    sources = set()
    for object_id in range(1, 30):
        a, b = sent_fetches(own_zone.arrive(object_id)[1])[0], sent_fetches(other_zone.arrive(object_id)[1])[0]
        own_zone.finish(a, detail=api.AttemptDetail.HIT)
        other_zone.finish(b, detail=api.AttemptDetail.HIT)
        assert a.source == b.source and b.server == OTHER_ZONE_CACHE.server
        sources.add(a.source)
    assert sources == {m.server for m in PARENTS}


def test_writes_are_not_collapsed_and_go_to_the_origin():
    rig = Rig(allows_direct_to_source=True)
    assert sent_fetches(rig.arrive(5, class_index=2)[1])[0] == api.FetchCached(1, ORIGIN.server, first_timeout_us(rig))
    assert sent_fetches(rig.arrive(5, class_index=2)[1]) and not rig.router.collapser.fills


def first_timeout_us(rig):
    return next(iter(rig.router.attempts.in_flight.values())).timeout_us


def test_write_goes_through_a_cache_where_direct_requests_are_not_allowed():
    rig = Rig(allows_direct_to_source=False)
    out = sent_fetches(rig.arrive(5, class_index=2)[1])[0]
    assert out.server in {m.server for m in CACHES} and out.source == ORIGIN.server and out.retention_rank == 0
