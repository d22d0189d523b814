"""Endpoint selection with parents, silent, congested and failing servers, and connection sharing by the pool."""

from types import SimpleNamespace

import pytest

from rookbend import interface as api
from rookbend.net.pool import Pool
from tests.router_harness import CACHES, MEDIA, ORIGIN, PARENTS, Rig, final_answers, sent_fetches


def set_fill_limit(rig, limit=0.0):
    rig.router.fill_limit.limit = limit


def test_without_caches_a_read_goes_to_a_parent_where_direct_requests_are_allowed():
    rig = Rig(members=(*PARENTS, ORIGIN), allows_direct_to_source=True)
    out = sent_fetches(rig.arrive(5)[1])[0]
    assert out.server in {m.server for m in PARENTS}


def test_read_goes_to_a_parent_after_every_cache_of_the_location_has_failed_once():
    rig = Rig(allows_direct_to_source=True)
    _, out = rig.arrive(5)
    visited = []
    while sent_fetches(out):
        attempt = sent_fetches(out)[0]
        visited.append(attempt.server)
        if attempt.server in {m.server for m in PARENTS}:
            break
        out = rig.finish(attempt, api.AttemptStatus.CONNECT_FAILED, after=1000)
    assert sorted(visited[:-1]) == [m.server for m in CACHES] and visited[-1] in {m.server for m in PARENTS}


def test_cache_only_attempt_may_use_parent_copies_only_while_the_origin_alone_is_slow():
    for parent_late_ratio, origin_late_ratio, expected in ((0.0, 0.9, True), (0.9, 0.9, False), (0.0, 0.0, False)):
        rig = Rig()
        set_fill_limit(rig)
        rig.router.fill_monitor.parent_late_ratio = parent_late_ratio
        rig.router.fill_monitor.origin_late_ratio = origin_late_ratio
        attempt = sent_fetches(rig.arrive(2)[1])[0]
        assert attempt.only_if_cached is expected and (attempt.source != attempt.server) is expected


def test_unresponsive_parent_is_ejected_while_another_parent_answers():
    rig = Rig()
    set_fill_limit(rig, 100.0)
    by_parent = {}
    for object_id in range(1, 40):
        a = sent_fetches(rig.arrive(object_id, after=1000)[1])[0]
        by_parent.setdefault(a.source, []).append(a)
    unresponsive, other = list(by_parent)[:2]
    rig.now += 300_000
    for a in by_parent[other] + by_parent[list(by_parent)[2]]:
        rig.finish(a, detail=api.AttemptDetail.FILLED)
    rig.run_timers(rig.now + 600_000)
    assert not rig.router.outliers.admits(unresponsive, rig.now) and rig.router.outliers.admits(other, rig.now)


def test_started_responses_prevent_ejection():
    rig = Rig()
    set_fill_limit(rig, 100.0)
    for object_id in range(1, 12):
        a = sent_fetches(rig.arrive(object_id, after=1000)[1])[0]
        rig.feed(api.ResponseStarted(a.request, 0, a.server, 1000), after=1000)
    rig.run_timers(rig.now + 700_000)
    assert all(rig.router.outliers.admits(m.server, rig.now) for m in CACHES)


def test_write_does_not_back_off_past_its_objective():
    rig = Rig()
    request, out = rig.arrive(3, class_index=2, deadline_in_us=300_000)
    out = rig.finish(
        sent_fetches(out)[0], api.AttemptStatus.FULL, detail=api.AttemptDetail.SOURCE_REFUSED, after=150_000
    )
    assert [a.request for a in final_answers(out)] == [request]


def test_congested_cache_spills_over_only_to_a_much_less_loaded_one():
    for load, spills_over in ((1.0, True), (40.0, False)):
        rig = Rig(classes=(MEDIA,))
        primary = sent_fetches(rig.arrive(8, size=900.0)[1])[0]
        rig.finish(primary, api.AttemptStatus.MISS, after=1000)
        for m in CACHES:
            rig.router.load.record_report(m.server, (60.0 if m.server == primary.server else load,), rig.now)
        rig.router.collapser.fills.clear()
        sent = sent_fetches(rig.arrive(8, size=900.0)[1])
        assert bool(sent) is spills_over and all(a.server != primary.server for a in sent)


def test_departed_servers_are_forgotten_once_their_attempts_have_ended():
    rig = Rig()
    out = sent_fetches(rig.arrive(5)[1])[0]
    for version in range(2, 300):
        replacement = api.Member(1000 + version, weight=8.0, zone=1)
        rig.feed(
            api.MembershipUpdated(api.MembershipUpdateKind.FULL, version, (replacement, *PARENTS, ORIGIN)), after=1000
        )
        for object_id in range(3):
            rig.arrive(version * 10 + object_id)
    rig.finish(out, detail=api.AttemptDetail.FILLED)
    attempt_servers = {f.server for f in rig.router.attempts.in_flight.values()} | {
        f.source for f in rig.router.attempts.in_flight.values()
    }
    for a in list(rig.router.attempts.in_flight.values()):
        rig.feed(api.AttemptFinished(a.request.id, a.number, a.server, api.AttemptStatus.OK, 10, True))
    rig.feed(api.MembershipUpdated(api.MembershipUpdateKind.FULL, 400, (*CACHES, *PARENTS, ORIGIN)))
    assert len(attempt_servers) > 100 and len(rig.router.servers) < 10 and len(rig.router.slow_start.sent) < 10


def test_request_that_fails_on_every_server_ejects_none():
    """Guards against invalid requests of clients, which fail on every server and once had the parents ejected."""
    rig = Rig()
    for object_id in range(1, 21):
        request, out = rig.arrive(object_id)
        servers = []
        while sent_fetches(out):
            servers.append(sent_fetches(out)[0].server)
            out = rig.finish(sent_fetches(out)[0], api.AttemptStatus.ERROR, after=1000)
        assert out == [api.Fail(request)] and len(set(servers)) == len(servers) == 3
    assert all(rig.router.outliers.admits(m.server, rig.now) for m in (*CACHES, *PARENTS))


def test_server_with_errors_on_requests_that_others_serve_is_ejected():
    rig, failing = Rig(), CACHES[0].server
    for object_id in range(1, 60):
        out = rig.arrive(object_id)[1]
        while sent_fetches(out):
            attempt = sent_fetches(out)[0]
            status = api.AttemptStatus.ERROR if attempt.server == failing else api.AttemptStatus.OK
            out = rig.finish(attempt, status, after=1000)
        if not rig.router.outliers.admits(failing, rig.now):
            break
    assert not rig.router.outliers.admits(failing, rig.now)
    assert all(rig.router.outliers.admits(m.server, rig.now) for m in CACHES[1:])


@pytest.mark.parametrize("rate, share", [(0, 1), (600, 1), (625, 2), (950, 15), (7000, 40)])
def test_streams_per_connection_follow_the_attempt_rate(rate, share):
    """Guards against CPU load at thousands of attempts per second. At a few hundred above the bound, it guards the
    attempts that share a broken connection: a single step from one stream to forty per connection lost them."""
    assert Pool.streams_per_connection.fget(SimpleNamespace(attempt_rate_per_s=rate, max_streams=40)) == share
