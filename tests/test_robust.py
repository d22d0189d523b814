"""Events for unknown ids, empty membership lists, and failing servers and origins."""

import random

import pytest

from rookbend import interface as api
from tests.router_harness import CACHES, MEDIA, ORIGIN, PARENTS, SECOND, Rig, final_answers, sent_fetches


def test_events_for_unknown_ids_cause_no_actions():
    rig = Rig()
    for event in (
        api.AttemptFinished(99, 0, 100, api.AttemptStatus.OK, 5, True),
        api.RequestCancelled(99),
        api.TimerFired(12345),
        api.ResponseStarted(99, 0, 100),
        api.PeerMessageReceived(1, b"x"),
        api.HealthCheckFinished(9999, api.AttemptStatus.OK),
        api.PurgeReceived(0, 0, 0),
        api.MembershipUpdated(api.MembershipUpdateKind.FAILED),
        api.MembershipUpdated(api.MembershipUpdateKind.DELTA, 3, (api.Member(77, state=api.MemberState.GONE),)),
    ):
        assert rig.feed(event) == []


def test_requests_are_answered_at_once_without_members():
    rig = Rig(members=())
    for class_index in range(4):
        request, out = rig.arrive(5, class_index=class_index)
        assert [a.request for a in final_answers(out)] == [request]


def test_unknown_class_is_answered():
    rig = Rig()
    assert final_answers(rig.feed(api.RequestArrived(1, 99, 5, rig.now + SECOND)))


def test_unresponsive_cache_is_ejected_and_its_requests_move():
    rig = Rig()
    set_fill_limit(rig, 100.0)
    first = [sent_fetches(rig.arrive(object_id, after=1000)[1])[0] for object_id in range(1, 12)]
    cancelled = []
    while not cancelled:
        cancelled = [a for a in rig.run_timers(rig.now + 10_000) if isinstance(a, api.CancelAttempt)]
    attempt = next(a for a in first if a.request == cancelled[0].request)
    assert not rig.router.outliers.admits(attempt.server, rig.now)
    moved = sent_fetches(rig.finish(attempt, api.AttemptStatus.CANCELLED, after=1000))
    assert moved and moved[0].server != attempt.server


def test_failing_cache_is_ejected_and_then_gets_one_attempt_at_a_time():
    rig = Rig()
    attempt = sent_fetches(rig.arrive(5)[1])[0]
    outliers = rig.router.outliers
    for _ in range(3):
        outliers.record_failure(attempt.server, rig.now)
    assert not outliers.admits(attempt.server, rig.now)
    later = rig.router.servers[attempt.server].ejected_until_us
    assert outliers.admits(attempt.server, later, in_use=0) and not outliers.admits(attempt.server, later, in_use=1)


def set_fill_limit(rig, limit=0.0):
    rig.router.fill_limit.limit = limit


def test_request_beyond_the_fill_limit_is_cache_only_and_answered_once_it_cannot_be_on_time():
    rig = Rig()
    set_fill_limit(rig)
    request, out = rig.arrive(2)
    first_attempt = sent_fetches(out)[0]
    assert first_attempt.source == first_attempt.server
    assert not final_answers(rig.finish(first_attempt, api.AttemptStatus.MISS, after=2000))
    assert [a.request for a in final_answers(rig.run_timers(rig.now + 2 * SECOND))] == [request]


def test_freed_fill_capacity_goes_to_a_queued_request():
    rig = Rig(members=(*CACHES, PARENTS[0], ORIGIN))
    set_fill_limit(rig, 1.0)
    first = sent_fetches(rig.arrive(1)[1])[0]
    request, out = rig.arrive(2)
    rig.finish(sent_fetches(out)[0], api.AttemptStatus.MISS, after=2000)
    filled = sent_fetches(rig.finish(first, detail=api.AttemptDetail.FILLED, after=100_000))
    assert [a.request for a in filled] == [request] and filled[0].source == PARENTS[0].server


def test_origin_failures_are_not_retried_by_reads_and_by_writes_only_after_a_backoff():
    rig = Rig()
    request, out = rig.arrive(2)
    out = rig.finish(sent_fetches(out)[0], api.AttemptStatus.FULL, detail=api.AttemptDetail.ORIGIN_FAILED, after=2000)
    assert [a.request for a in final_answers(out)] == [request] and not sent_fetches(out)
    write, out = rig.arrive(3, class_index=2)
    out = rig.finish(sent_fetches(out)[0], api.AttemptStatus.FULL, detail=api.AttemptDetail.SOURCE_REFUSED, after=2000)
    assert not sent_fetches(out) and not final_answers(out)
    assert [a.request for a in sent_fetches(rig.run_timers(rig.now + SECOND))] == [write]


@pytest.mark.parametrize("direct", (False, True))
def test_request_that_would_be_late_at_every_cache_is_answered_at_once(direct):
    rig = Rig(classes=(MEDIA,), allows_direct_to_source=direct)
    attempts = [sent_fetches(rig.arrive(object_id, after=1000)[1])[0] for object_id in range(1, 4)]
    for a in attempts:
        rig.finish(a, detail=api.AttemptDetail.FILLED, after=1000, load_report=(10.0,))
    assert sent_fetches(rig.arrive(7, size=900.0)[1])
    for m in CACHES:
        rig.router.load.record_report(m.server, (60.0,), rig.now)
    request, out = rig.arrive(8, size=900.0)
    assert [a.request for a in final_answers(out)] == [request]
    assert sent_fetches(rig.arrive(9, size=10.0)[1])


def test_late_fills_lower_the_limit_and_timely_ones_raise_it():
    limit = Rig().router.fill_limit
    limit.in_flight = 100
    start = limit.limit
    for _ in range(10):
        limit.observe(True)
    low = limit.limit
    for _ in range(10):
        limit.observe(False)
    assert low < start and limit.limit > low


def test_random_events_give_each_request_one_final_answer():
    rng = random.Random(3)
    rig = Rig(allows_retry_after=True)
    open_attempts, answered, arrived = [], [], []
    for _ in range(600):
        rig.now += rng.randrange(1, 40_000)
        out = rig.run_timers(rig.now)
        if rng.random() < 0.5 or not open_attempts:
            request, more = rig.arrive(rng.randrange(1, 12), class_index=rng.randrange(4))
            arrived.append(request)
            out += more
        else:
            attempt, number = open_attempts.pop(rng.randrange(len(open_attempts)))
            status = rng.choice(
                [
                    api.AttemptStatus.OK,
                    api.AttemptStatus.ERROR,
                    api.AttemptStatus.FULL,
                    api.AttemptStatus.CONNECT_FAILED,
                ]
            )
            if status is api.AttemptStatus.OK and attempt.request in rig.router.open_requests:
                answered.append(attempt.request)
            out += rig.finish(attempt, status, number=number)
        open_attempts += [(a, rig.attempt_numbers[a.request]) for a in sent_fetches(out)]
        answered += [a.request for a in final_answers(out)]
    while open_attempts:
        attempt, number = open_attempts.pop()
        out = rig.finish(attempt, api.AttemptStatus.TIMEOUT, number=number, after=1000)
        open_attempts += [(a, rig.attempt_numbers[a.request]) for a in sent_fetches(out)]
        answered += [a.request for a in final_answers(out)]
    rig_out = rig.run_timers(rig.now + 20 * SECOND)
    answered += [a.request for a in final_answers(rig_out)]
    assert sorted(answered) == arrived
    assert not rig.router.open_requests and not rig.router.collapser.fills


def test_tables_are_bounded():
    rig = Rig(max_requests_in_flight=10)
    for object_id in range(1, 200):
        rig.feed(api.PurgeReceived(object_id, 0, 0))
        for a in sent_fetches(rig.arrive(object_id)[1]):
            rig.finish(a, detail=api.AttemptDetail.FILLED)
    assert len(rig.router.copies.by_key) <= 10 and len(rig.router.purges.purged_us) <= 10
    assert len(rig.router.membership.orders) <= 10 and not rig.router.attempts.in_flight
