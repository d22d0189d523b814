"""Which endpoint an attempt goes to: parents, silent and crowded servers, servers that err, shared connections."""

from types import SimpleNamespace

import pytest

from rookbend import interface as api
from rookbend.net.pool import Pool
from tests.router_harness import CACHES, MEDIA, ORIGIN, PARENTS, Rig, finals, sent_fetches


def shut_limits(rig, limit=0.0):
    rig.router.fill_limit.limit = limit


def test_no_cache_at_all_goes_straight_to_a_parent_where_allowed():
    rig = Rig(members=(*PARENTS, ORIGIN), allows_direct_to_source=True)
    out = sent_fetches(rig.arrive(5)[1])[0]
    assert out.server in {m.server for m in PARENTS}


def test_dead_location_goes_straight_to_the_parent_after_each_cache_was_asked_once():
    rig = Rig(allows_direct_to_source=True)
    _, out = rig.arrive(5)
    asked = []
    while sent_fetches(out):
        attempt = sent_fetches(out)[0]
        asked.append(attempt.server)
        if attempt.server in {m.server for m in PARENTS}:
            break
        out = rig.finish(attempt, api.AttemptStatus.CONNECT_FAILED, after=1000)
    assert sorted(asked[:-1]) == [m.server for m in CACHES] and asked[-1] in {m.server for m in PARENTS}


def test_look_goes_on_to_the_parents_copies_only_when_the_origin_is_what_is_slow():
    for held, asked, expected in ((0.0, 0.9, True), (0.9, 0.9, False), (0.0, 0.0, False)):
        rig = Rig()
        shut_limits(rig)
        rig.router.fill_monitor.parent_late_ratio = held
        rig.router.fill_monitor.origin_late_ratio = asked
        look = sent_fetches(rig.arrive(2)[1])[0]
        assert look.only_if_cached is expected and (look.source != look.server) is expected


def test_silent_parent_is_left_only_while_another_answers():
    rig = Rig()
    shut_limits(rig, 100.0)
    by_parent = {}
    for obj in range(1, 40):
        a = sent_fetches(rig.arrive(obj, after=1000)[1])[0]
        by_parent.setdefault(a.source, []).append(a)
    silent, other = list(by_parent)[:2]
    rig.now += 300_000
    for a in by_parent[other] + by_parent[list(by_parent)[2]]:
        rig.finish(a, note=api.AttemptDetail.FILLED)
    rig.run_timers(rig.now + 600_000)
    assert not rig.router.outliers.admits(silent, rig.now) and rig.router.outliers.admits(other, rig.now)


def test_answer_that_has_started_is_a_sign_of_life():
    rig = Rig()
    shut_limits(rig, 100.0)
    for obj in range(1, 12):
        a = sent_fetches(rig.arrive(obj, after=1000)[1])[0]
        rig.feed(api.ResponseStarted(a.request, 0, a.server, 1000), after=1000)
    rig.run_timers(rig.now + 700_000)
    assert all(rig.router.outliers.admits(m.server, rig.now) for m in CACHES)


def test_a_write_is_never_paused_past_its_aim():
    rig = Rig()
    request, out = rig.arrive(3, class_index=2, patience=300_000)
    out = rig.finish(sent_fetches(out)[0], api.AttemptStatus.FULL, note=api.AttemptDetail.SOURCE_REFUSED, after=150_000)
    assert [a.request for a in finals(out)] == [request]


def test_a_crowded_cache_is_stepped_past_only_to_one_with_much_less_load():
    for load, steps in ((1.0, True), (40.0, False)):
        rig = Rig(classes=(MEDIA,))
        home = sent_fetches(rig.arrive(8, size=900.0)[1])[0]
        rig.finish(home, api.AttemptStatus.MISS, after=1000)
        for m in CACHES:
            rig.router.load.record_report(m.server, (60.0 if m.server == home.server else load,), rig.now)
        rig.router.collapser.fills.clear()
        sent = sent_fetches(rig.arrive(8, size=900.0)[1])
        assert bool(sent) is steps and all(a.server != home.server for a in sent)


def test_servers_that_left_the_list_are_forgotten_once_their_attempts_are_over():
    rig = Rig()
    out = sent_fetches(rig.arrive(5)[1])[0]
    for version in range(2, 300):
        fresh = api.Member(1000 + version, weight=8.0, zone=1)
        rig.feed(api.MembershipUpdated(api.MembershipUpdateKind.FULL, version, (fresh, *PARENTS, ORIGIN)), after=1000)
        for obj in range(3):
            rig.arrive(version * 10 + obj)
    rig.finish(out, note=api.AttemptDetail.FILLED)
    waiting = {f.server for f in rig.router.attempts.in_flight.values()} | {
        f.source for f in rig.router.attempts.in_flight.values()
    }
    for a in list(rig.router.attempts.in_flight.values()):
        rig.feed(api.AttemptFinished(a.request.id, a.number, a.server, api.AttemptStatus.OK, 10, True))
    rig.feed(api.MembershipUpdated(api.MembershipUpdateKind.FULL, 400, (*CACHES, *PARENTS, ORIGIN)))
    assert len(waiting) > 100 and len(rig.router.servers) < 10 and len(rig.router.slow_start.sent) < 10


def test_a_request_that_errs_everywhere_costs_no_server_its_place():
    """Guards against clients whose requests nobody can use: they had the parents passed over."""
    rig = Rig()
    for obj in range(1, 21):
        request, out = rig.arrive(obj)
        servers = []
        while sent_fetches(out):
            servers.append(sent_fetches(out)[0].server)
            out = rig.finish(sent_fetches(out)[0], api.AttemptStatus.ERROR, after=1000)
        assert out == [api.Fail(request)] and len(set(servers)) == len(servers) == 3
    assert all(rig.router.outliers.admits(m.server, rig.now) for m in (*CACHES, *PARENTS))


def test_a_server_that_errs_on_what_others_answer_is_passed_over():
    rig, bad = Rig(), CACHES[0].server
    for obj in range(1, 60):
        out = rig.arrive(obj)[1]
        while sent_fetches(out):
            attempt = sent_fetches(out)[0]
            status = api.AttemptStatus.ERROR if attempt.server == bad else api.AttemptStatus.OK
            out = rig.finish(attempt, status, after=1000)
        if not rig.router.outliers.admits(bad, rig.now):
            break
    assert not rig.router.outliers.admits(bad, rig.now)
    assert all(rig.router.outliers.admits(m.server, rig.now) for m in CACHES[1:])


@pytest.mark.parametrize("rate, share", [(0, 1), (600, 1), (625, 2), (950, 15), (7000, 40)])
def test_connections_are_shared_by_rate(rate, share):
    """Guards the CPU at thousands of attempts a second, and at a few hundred over the bound the others on a
    connection that breaks: one step from a connection each to forty on one lost them."""
    assert Pool.streams_per_connection.fget(SimpleNamespace(attempt_rate_per_s=rate, max_streams=40)) == share
