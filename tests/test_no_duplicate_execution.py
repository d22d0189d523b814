"""Failing members and estimated sizes: no server is tried twice, and an estimate alone causes no rejection."""

import pytest

from rookbend import interface as api
from tests.router_harness import CACHES, ORIGIN, PARENTS, SECOND, Rig, final_answers, sent_fetches


def follow_attempts(rig, attempt, status, detail=api.AttemptDetail.NONE):
    """Ends each attempt of a request with `status`; returns its servers and sources, and the last actions."""
    visited = [(attempt.server, getattr(attempt, "source", None))]
    while True:
        out = rig.finish(attempt, status, detail=detail, after=2_000)
        if not sent_fetches(out):
            return visited, out
        attempt = sent_fetches(out)[0]
        visited.append((attempt.server, getattr(attempt, "source", None)))


def test_each_cache_gets_one_attempt_and_then_the_request_is_rejected():
    rig = Rig(allows_retry_after=True)
    visited, out = follow_attempts(rig, sent_fetches(rig.arrive(5)[1])[0], api.AttemptStatus.CONNECT_FAILED)
    assert sorted(server for server, _ in visited) == sorted(m.server for m in CACHES)
    assert [type(a) for a in final_answers(out)] == [api.Reject]


def test_source_is_tried_last_where_direct_requests_are_allowed():
    rig = Rig(allows_retry_after=True, allows_direct_to_source=True)
    visited, _ = follow_attempts(rig, sent_fetches(rig.arrive(5)[1])[0], api.AttemptStatus.CONNECT_FAILED)
    assert sorted(server for server, _ in visited[:3]) == sorted(m.server for m in CACHES)
    assert visited[3][0] in {m.server for m in (*PARENTS, ORIGIN)}


def test_unreachable_parents_are_tried_once_each_before_the_origin():
    rig = Rig()
    visited, _ = follow_attempts(
        rig, sent_fetches(rig.arrive(5)[1])[0], api.AttemptStatus.FULL, api.AttemptDetail.SOURCE_UNREACHABLE
    )
    sources = [source for _, source in visited]
    assert sorted(sources[:3]) == sorted(m.server for m in PARENTS)
    assert set(sources[3:]) <= {ORIGIN.server}


def test_with_every_cache_ejected_each_gets_one_attempt_at_a_time():
    """Guards caches that return cold: requests that no other cache could take reached them all at once."""
    rig = Rig(allows_retry_after=True)
    for i in range(30):
        follow_attempts(rig, sent_fetches(rig.arrive(1000 + i)[1])[0], api.AttemptStatus.CONNECT_FAILED)
    assert all(rig.router.servers[m.server].ejected_until_us > rig.now for m in CACHES)
    out = [sent_fetches(rig.arrive(2000 + i)[1]) for i in range(20)]
    assert sorted(s[0].server for s in out if s) == sorted(m.server for m in CACHES)


@pytest.mark.parametrize(
    "detail", [api.AttemptDetail.SOURCE_UNREACHABLE, api.AttemptDetail.SOURCE_REFUSED, api.AttemptDetail.ORIGIN_FAILED]
)
def test_failures_behind_a_cache_do_not_lower_the_fill_limit(detail):
    rig = Rig()
    before = rig.router.fill_limit.limit
    for i in range(10):
        rig.finish(sent_fetches(rig.arrive(1000 + i)[1])[0], api.AttemptStatus.FULL, detail=detail, after=1_000)
        rig.now += 10 * SECOND
    assert rig.router.fill_limit.limit == before


def test_request_of_estimated_size_is_sent_where_one_of_known_size_is_rejected():
    """The deadline is in 250 ms, which is less than half of the estimated transfer time."""
    rig = Rig(allows_retry_after=True)
    assert sent_fetches(rig.arrive(5, size=0.0, deadline_in_us=250_000)[1])
    assert not sent_fetches(rig.arrive(6, size=750.0, deadline_in_us=250_000)[1])
    rig = Rig(allows_retry_after=True)
    for i in range(12):  # load at every cache, so that it would be late everywhere
        rig.arrive(100 + i, size=3000.0)
    rejected_actions = rig.arrive(5, size=2500.0, deadline_in_us=1_000_000)[1]
    assert final_answers(rejected_actions) and not sent_fetches(rejected_actions)


def test_request_is_rejected_where_even_its_minimum_estimate_is_too_long():
    rig = Rig(allows_retry_after=True)
    out = rig.arrive(5, size=0.0, deadline_in_us=100_000)[1]  # below half of the minimum estimate, a third of 750 ms
    assert final_answers(out) and not sent_fetches(out)


def test_request_of_estimated_size_is_rejected_where_every_cache_is_full():
    """Guards requests that can be on time in a burst: an estimate is reduced to a third only if a cache has room."""
    rig = Rig(allows_retry_after=True)
    for i in range(60):
        rig.arrive(100 + i, size=400.0)
    utilizations = [rig.router.servers[m.server].in_flight / m.weight for m in CACHES]
    assert min(utilizations) > 1.5
    out = rig.arrive(5, size=0.0, deadline_in_us=700_000)[1]
    assert final_answers(out) and not sent_fetches(out)
