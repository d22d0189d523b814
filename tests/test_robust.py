"""Events about nothing, empty lists, and defences against failing servers."""

import random
from types import SimpleNamespace

import pytest

from rookbend import interface as api
from rookbend.net.pool import Pool
from tests.router_harness import CACHES, MEDIA, ORIGIN, PARENTS, SECOND, Rig, finals, sends


def test_events_about_nothing_are_harmless():
    rig = Rig()
    for event in (
        api.AttemptFinished(99, 0, 100, api.Status.OK, 5, True),
        api.RequestCancelled(99),
        api.TimerFired(12345),
        api.AnswerStarted(99, 0, 100),
        api.PeerMessage(1, b"x"),
        api.ProbeFinished(9999, api.Status.OK),
        api.Purged(0, 0, 0),
        api.MembersChanged(api.ListKind.FAILED),
        api.MembersChanged(api.ListKind.DELTA, 3, (api.Member(77, state=api.MemberState.GONE),)),
    ):
        assert rig.feed(event) == []


def test_empty_lists_answer_at_once():
    rig = Rig(members=())
    for cls in range(4):
        request, out = rig.arrive(5, cls=cls)
        assert [a.request for a in finals(out)] == [request]


def test_unknown_class_is_answered():
    rig = Rig()
    assert finals(rig.feed(api.RequestArrived(1, 99, 5, rig.now + SECOND)))


def test_silent_cache_is_left_and_its_requests_move():
    rig = Rig()
    shut_limits(rig, 100.0)
    first = [sends(rig.arrive(obj, after=1000)[1])[0] for obj in range(1, 12)]
    cancelled = []
    while not cancelled:
        cancelled = [a for a in rig.run_timers(rig.now + 10_000) if isinstance(a, api.CancelAttempt)]
    attempt = next(a for a in first if a.request == cancelled[0].request)
    assert not rig.router.health.open(attempt.server, rig.now)
    moved = sends(rig.finish(attempt, api.Status.CANCELLED, after=1000))
    assert moved and moved[0].server != attempt.server


def test_failing_cache_is_ejected_and_comes_back_by_one_attempt_at_a_time():
    rig = Rig()
    lead = sends(rig.arrive(5)[1])[0]
    health = rig.router.health
    for _ in range(3):
        health.failure(lead.server, rig.now)
    assert not health.open(lead.server, rig.now)
    later = health.get(lead.server).until
    assert health.open(lead.server, later, using=0) and not health.open(lead.server, later, using=1)


def shut_limits(rig, limit=0.0):
    rig.router.limit.limit = limit


def test_beyond_the_fill_limit_a_request_only_looks_and_is_answered_when_it_cant_be_on_time():
    rig = Rig()
    shut_limits(rig)
    request, out = rig.arrive(2)
    look = sends(out)[0]
    assert look.source == look.server
    assert not finals(rig.finish(look, api.Status.MISS, after=2000))
    assert [a.request for a in finals(rig.run_timers(rig.now + 2 * SECOND))] == [request]


def test_place_for_a_fill_goes_to_one_who_waits():
    rig = Rig(members=(*CACHES, PARENTS[0], ORIGIN))
    shut_limits(rig, 1.0)
    first = sends(rig.arrive(1)[1])[0]
    request, out = rig.arrive(2)
    rig.finish(sends(out)[0], api.Status.MISS, after=2000)
    filled = sends(rig.finish(first, note=api.Note.FILLED, after=100_000))
    assert [a.request for a in filled] == [request] and filled[0].source == PARENTS[0].server


def test_what_failed_at_the_origin_is_not_asked_again_by_a_read_and_only_after_a_pause_by_a_write():
    rig = Rig()
    request, out = rig.arrive(2)
    out = rig.finish(sends(out)[0], api.Status.FULL, note=api.Note.ORIGIN_FAILED, after=2000)
    assert [a.request for a in finals(out)] == [request] and not sends(out)
    write, out = rig.arrive(3, cls=2)
    out = rig.finish(sends(out)[0], api.Status.FULL, note=api.Note.SOURCE_REFUSED, after=2000)
    assert not sends(out) and not finals(out)
    assert [a.request for a in sends(rig.run_timers(rig.now + SECOND))] == [write]


@pytest.mark.parametrize("direct", (False, True))
def test_a_request_that_every_cache_would_send_late_is_answered_at_once(direct):
    rig = Rig(classes=(MEDIA,), direct=direct)
    held = [sends(rig.arrive(obj, after=1000)[1])[0] for obj in range(1, 4)]
    for a in held:
        rig.finish(a, note=api.Note.FILLED, after=1000, load=(10.0,))
    assert sends(rig.arrive(7, size=900.0)[1])
    for m in CACHES:
        rig.router.read_report(m.server, (60.0,))
    request, out = rig.arrive(8, size=900.0)
    assert [a.request for a in finals(out)] == [request]
    assert sends(rig.arrive(9, size=10.0)[1])


def test_late_fills_lower_the_limit_and_timely_ones_raise_it():
    limit = Rig().router.limit
    limit.out = 100
    start = limit.limit
    for _ in range(10):
        limit.observe(True)
    low = limit.limit
    for _ in range(10):
        limit.observe(False)
    assert low < start and limit.limit > low


def test_random_events_keep_one_final_answer_each():
    rng = random.Random(3)
    rig = Rig(retry_after=True)
    out_now, answered, asked = [], [], []
    for _ in range(600):
        rig.now += rng.randrange(1, 40_000)
        out = rig.run_timers(rig.now)
        if rng.random() < 0.5 or not out_now:
            request, more = rig.arrive(rng.randrange(1, 12), cls=rng.randrange(4))
            asked.append(request)
            out += more
        else:
            attempt, number = out_now.pop(rng.randrange(len(out_now)))
            status = rng.choice([api.Status.OK, api.Status.ERROR, api.Status.FULL, api.Status.CONNECT_FAILED])
            if status is api.Status.OK and attempt.request in rig.router.open:
                answered.append(attempt.request)
            out += rig.finish(attempt, status, number=number)
        out_now += [(a, rig.numbers[a.request]) for a in sends(out)]
        answered += [a.request for a in finals(out)]
    while out_now:
        attempt, number = out_now.pop()
        out = rig.finish(attempt, api.Status.TIMEOUT, number=number, after=1000)
        out_now += [(a, rig.numbers[a.request]) for a in sends(out)]
        answered += [a.request for a in finals(out)]
    rig_out = rig.run_timers(rig.now + 20 * SECOND)
    answered += [a.request for a in finals(rig_out)]
    assert sorted(answered) == asked
    assert not rig.router.open and not rig.router.marks


def test_tables_are_bounded():
    rig = Rig(max_open=10)
    for obj in range(1, 200):
        rig.feed(api.Purged(obj, 0, 0))
        for a in sends(rig.arrive(obj)[1]):
            rig.finish(a, note=api.Note.FILLED)
    assert len(rig.router.memory) <= 10 and len(rig.router.purges.made) <= 10
    assert len(rig.router.members.orders) <= 10 and not rig.router.flights


def test_no_cache_at_all_goes_straight_to_a_parent_where_allowed():
    rig = Rig(members=(*PARENTS, ORIGIN), direct=True)
    out = sends(rig.arrive(5)[1])[0]
    assert out.server in {m.server for m in PARENTS}


def test_dead_location_goes_straight_to_the_parent_after_each_cache_was_asked_once():
    rig = Rig(direct=True)
    _, out = rig.arrive(5)
    asked = []
    while sends(out):
        attempt = sends(out)[0]
        asked.append(attempt.server)
        if attempt.server in {m.server for m in PARENTS}:
            break
        out = rig.finish(attempt, api.Status.CONNECT_FAILED, after=1000)
    assert sorted(asked[:-1]) == [m.server for m in CACHES] and asked[-1] in {m.server for m in PARENTS}


def test_look_goes_on_to_the_parents_copies_only_when_the_origin_is_what_is_slow():
    for held, asked, expected in ((0.0, 0.9, True), (0.9, 0.9, False), (0.0, 0.0, False)):
        rig = Rig()
        shut_limits(rig)
        rig.router.limit.late = {api.Note.FILLED: held, api.Note.ORIGIN_ASKED: asked}
        look = sends(rig.arrive(2)[1])[0]
        assert look.only_if_held is expected and (look.source != look.server) is expected


def test_silent_parent_is_left_only_while_another_answers():
    rig = Rig()
    shut_limits(rig, 100.0)
    by_parent = {}
    for obj in range(1, 40):
        a = sends(rig.arrive(obj, after=1000)[1])[0]
        by_parent.setdefault(a.source, []).append(a)
    silent, other = list(by_parent)[:2]
    rig.now += 300_000
    for a in by_parent[other] + by_parent[list(by_parent)[2]]:
        rig.finish(a, note=api.Note.FILLED)
    rig.run_timers(rig.now + 600_000)
    assert not rig.router.health.open(silent, rig.now) and rig.router.health.open(other, rig.now)


def test_answer_that_has_started_is_a_sign_of_life():
    rig = Rig()
    shut_limits(rig, 100.0)
    for obj in range(1, 12):
        a = sends(rig.arrive(obj, after=1000)[1])[0]
        rig.feed(api.AnswerStarted(a.request, 0, a.server, 1000), after=1000)
    rig.run_timers(rig.now + 700_000)
    assert all(rig.router.health.open(m.server, rig.now) for m in CACHES)


def test_a_write_is_never_paused_past_its_aim():
    rig = Rig()
    request, out = rig.arrive(3, cls=2, patience=300_000)
    out = rig.finish(sends(out)[0], api.Status.FULL, note=api.Note.SOURCE_REFUSED, after=150_000)
    assert [a.request for a in finals(out)] == [request]


def test_a_crowded_cache_is_stepped_past_only_to_one_with_much_less_load():
    for load, steps in ((1.0, True), (40.0, False)):
        rig = Rig(classes=(MEDIA,))
        home = sends(rig.arrive(8, size=900.0)[1])[0]
        rig.finish(home, api.Status.MISS, after=1000)
        for m in CACHES:
            rig.router.read_report(m.server, (60.0 if m.server == home.server else load,))
        rig.router.marks.clear()
        sent = sends(rig.arrive(8, size=900.0)[1])
        assert bool(sent) is steps and all(a.server != home.server for a in sent)


def test_servers_that_left_the_list_are_forgotten_once_their_attempts_are_over():
    rig = Rig()
    out = sends(rig.arrive(5)[1])[0]
    for version in range(2, 300):
        fresh = api.Member(1000 + version, weight=8.0, zone=1)
        rig.feed(api.MembersChanged(api.ListKind.FULL, version, (fresh, *PARENTS, ORIGIN)), after=1000)
        for obj in range(3):
            rig.arrive(version * 10 + obj)
    rig.finish(out, note=api.Note.FILLED)
    waiting = {f.server for f in rig.router.flights.values()} | {f.source for f in rig.router.flights.values()}
    for a in list(rig.router.flights.values()):
        rig.feed(api.AttemptFinished(a.request.id, a.number, a.server, api.Status.OK, 10, True))
    rig.feed(api.MembersChanged(api.ListKind.FULL, 400, (*CACHES, *PARENTS, ORIGIN)))
    assert len(waiting) > 100 and len(rig.router.health.servers) < 10 and len(rig.router.cold.sent) < 10


def test_a_request_that_errs_everywhere_costs_no_server_its_place():
    """Guards against clients whose requests nobody can use: they had the parents passed over."""
    rig = Rig()
    for obj in range(1, 21):
        request, out = rig.arrive(obj)
        servers = []
        while sends(out):
            servers.append(sends(out)[0].server)
            out = rig.finish(sends(out)[0], api.Status.ERROR, after=1000)
        assert out == [api.Fail(request)] and len(set(servers)) == len(servers) == 3
    assert all(rig.router.health.open(m.server, rig.now) for m in (*CACHES, *PARENTS))


def test_a_server_that_errs_on_what_others_answer_is_passed_over():
    rig, bad = Rig(), CACHES[0].server
    for obj in range(1, 60):
        out = rig.arrive(obj)[1]
        while sends(out):
            attempt = sends(out)[0]
            status = api.Status.ERROR if attempt.server == bad else api.Status.OK
            out = rig.finish(attempt, status, after=1000)
        if not rig.router.health.open(bad, rig.now):
            break
    assert not rig.router.health.open(bad, rig.now)
    assert all(rig.router.health.open(m.server, rig.now) for m in CACHES[1:])


@pytest.mark.parametrize("rate, share", [(0, 1), (600, 1), (625, 2), (950, 15), (7000, 40)])
def test_connections_are_shared_by_rate(rate, share):
    """Guards the CPU at thousands of attempts a second, and at a few hundred over the bound the others on a
    connection that breaks: one step from a connection each to forty on one lost them."""
    assert Pool.share.fget(SimpleNamespace(rate=rate, max_streams=40)) == share
