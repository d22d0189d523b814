"""The ordinary path: leaders, waiters, hand-over, the near-aim exit, the hash."""

from rookbend import interface as api
from tests.router_harness import CACHES, ELSEWHERE, EVERYONE, ORIGIN, PARENTS, SECOND, Rig, finals, sent_fetches


def test_first_request_leads_and_the_second_waits():
    rig = Rig()
    _, first = rig.arrive(5)
    _, second = rig.arrive(5)
    assert len(sent_fetches(first)) == 1 and sent_fetches(first)[0].join_fill
    assert not sent_fetches(second) and not finals(second)


def test_parts_have_marks_of_their_own():
    rig = Rig()
    rig.arrive(5, part=0)
    assert sent_fetches(rig.arrive(5, part=1)[1])


def test_waiters_follow_a_served_lead_to_its_cache_and_source_joining():
    rig = Rig()
    lead = sent_fetches(rig.arrive(5)[1])[0]
    waiter, _ = rig.arrive(5)
    after = sent_fetches(rig.finish(lead, note=api.AttemptDetail.FILLED, after=50_000))
    assert [a.request for a in after] == [waiter]
    assert (after[0].server, after[0].source, after[0].join_fill) == (lead.server, lead.source, True)


def test_failed_lead_is_not_handed_on_and_the_oldest_waiter_leads():
    rig = Rig()
    lead = sent_fetches(rig.arrive(5)[1])[0]
    oldest, _ = rig.arrive(5)
    rig.arrive(5)
    after = sent_fetches(rig.finish(lead, api.AttemptStatus.ERROR, after=20_000))
    assert [a.request for a in after] == [oldest]


def test_leader_that_left_passes_the_lead_on():
    rig = Rig()
    lead = sent_fetches(rig.arrive(5)[1])[0]
    oldest, _ = rig.arrive(5)
    after = rig.feed(api.RequestCancelled(lead.request), after=1000)
    assert [a.request for a in sent_fetches(after)] == [oldest]


def test_waiter_near_its_aim_goes_at_once_joining():
    rig = Rig()
    rig.arrive(5)
    waiter, _ = rig.arrive(5)
    out = sent_fetches(rig.run_timers(rig.now + 700_000))
    assert [a.request for a in out] == [waiter] and out[0].join_fill
    waited = rig.now - 100 * SECOND
    assert waited <= 500_000 + 2 * 100_000


def test_late_comer_with_no_slack_does_not_wait():
    rig = Rig()
    rig.arrive(5)
    assert sent_fetches(rig.arrive(5, size=1000.0, patience=1_200_000)[1])


def test_copy_served_a_moment_ago_is_not_waited_for():
    rig = Rig()
    rig.finish(sent_fetches(rig.arrive(5)[1])[0], note=api.AttemptDetail.FILLED, after=50_000)
    assert sent_fetches(rig.arrive(5)[1])
    assert sent_fetches(rig.arrive(5)[1])


def test_table_at_its_bound_lets_requests_pass_joining():
    rig = Rig(max_requests_in_flight=2)
    rig.arrive(1)
    out = sent_fetches(rig.arrive(2)[1])
    assert out and out[0].join_fill
    assert len(rig.router.collapser.fills) == 1


def test_all_routers_agree_on_cache_and_parent():
    here, there = Rig(router_index=0), Rig(router_index=2, members=tuple(reversed(EVERYONE)))
    for obj in range(1, 30):
        a, b = sent_fetches(here.arrive(obj)[1])[0], sent_fetches(there.arrive(obj)[1])[0]
        here.finish(a, note=api.AttemptDetail.HIT)
        there.finish(b, note=api.AttemptDetail.HIT)
        assert (a.server, a.source) == (b.server, b.source)
        assert a.server in {m.server for m in CACHES} and a.source in {m.server for m in PARENTS}


def test_parents_are_hashed_over_the_whole_list_from_every_location():
    west = Rig(zone=2)
    east = Rig()
    used = set()
    for obj in range(1, 30):
        a, b = sent_fetches(east.arrive(obj)[1])[0], sent_fetches(west.arrive(obj)[1])[0]
        east.finish(a, note=api.AttemptDetail.HIT)
        west.finish(b, note=api.AttemptDetail.HIT)
        assert a.source == b.source and b.server == ELSEWHERE.server
        used.add(a.source)
    assert used == {m.server for m in PARENTS}


def test_write_skips_the_table_and_goes_to_the_origin():
    rig = Rig(allows_direct_to_source=True)
    assert sent_fetches(rig.arrive(5, class_index=2)[1])[0] == api.FetchCached(1, ORIGIN.server, sends_timeout(rig))
    assert sent_fetches(rig.arrive(5, class_index=2)[1]) and not rig.router.collapser.fills


def sends_timeout(rig):
    return next(iter(rig.router.attempts.in_flight.values())).timeout_us


def test_write_without_direct_goes_through_a_cache():
    rig = Rig(allows_direct_to_source=False)
    out = sent_fetches(rig.arrive(5, class_index=2)[1])[0]
    assert out.server in {m.server for m in CACHES} and out.source == ORIGIN.server and out.retention_rank == 0
