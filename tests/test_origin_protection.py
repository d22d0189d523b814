"""After the origin has rejected an attempt, a falling share of reads uses only parents' copies for a while."""

from rookbend import interface as api
from tests.router_harness import ORIGIN, SECOND, Rig, final_answers, sent_fetches

READ_COUNT = 200


def rig_after_origin_failure(**changes):
    """A rig whose origin has just failed one read."""
    rig = Rig(allows_retry_after=True, max_retry_after_us=500_000, **changes)
    attempt = sent_fetches(rig.arrive(5)[1])[0]
    rig.finish(attempt, api.AttemptStatus.FULL, detail=api.AttemptDetail.ORIGIN_FAILED, after=50_000)
    return rig


def origin_skip_ratio(rig, first, after=0):
    """The share of READ_COUNT reads of new objects, each ended at once, that may not reach the origin."""
    rig.now += after
    count = 0
    for i in range(READ_COUNT):
        attempt = sent_fetches(rig.arrive(first + i)[1])[0]
        count += attempt.only_if_cached
        rig.feed(api.RequestCancelled(attempt.request))
        rig.finish(attempt, api.AttemptStatus.CANCELLED)
    return count / READ_COUNT


def test_no_read_skips_a_healthy_origin():
    assert origin_skip_ratio(Rig(), 1000) == 0


def test_fewer_reads_skip_the_origin_as_time_passes_after_a_failure():
    rig = rig_after_origin_failure()
    backoff_us = 12.5 * rig.router.settings.connect_timeout_us
    assert origin_skip_ratio(rig, 1000) > 0.97
    half = origin_skip_ratio(rig, 2000, after=int(backoff_us / 2))
    assert 0.35 < half < 0.65
    assert origin_skip_ratio(rig, 3000, after=int(backoff_us / 2) + SECOND) == 0


def test_routers_with_different_seeds_skip_the_origin_for_different_reads():
    rig = rig_after_origin_failure()
    rig.router.origin_protection.seed = 8
    rig.now += 2_500_000
    ours = [sent_fetches(rig.arrive(1000 + i)[1])[0].only_if_cached for i in range(50)]
    other = rig_after_origin_failure()
    other.now += 2_500_000
    theirs = [sent_fetches(other.arrive(1000 + i)[1])[0].only_if_cached for i in range(50)]
    assert ours != theirs


def test_read_that_no_parent_has_is_rejected_without_another_attempt():
    rig = rig_after_origin_failure()
    attempt = sent_fetches(rig.arrive(1000)[1])[0]
    out = rig.finish(attempt, api.AttemptStatus.MISS, detail=api.AttemptDetail.SOURCE_LACKS, after=20_000)
    assert not sent_fetches(out)
    assert [type(a) for a in final_answers(out)] == [api.Reject]


def test_write_goes_to_the_origin_after_a_failure():
    rig = rig_after_origin_failure(allows_direct_to_source=True)
    first = sent_fetches(rig.arrive(1000, class_index=3)[1])[0]
    assert first.server == ORIGIN.server


def test_origin_failures_do_not_lower_the_fill_limit():
    rig = Rig()
    before = rig.router.fill_limit.limit
    for i in range(20):
        attempt = sent_fetches(rig.arrive(1000 + i)[1])[0]
        rig.finish(attempt, api.AttemptStatus.FULL, detail=api.AttemptDetail.ORIGIN_FAILED, after=1_000)
        rig.now += 10 * SECOND
    assert rig.router.fill_limit.limit == before
    attempt = sent_fetches(rig.arrive(5000)[1])[0]
    rig.finish(attempt, api.AttemptStatus.FULL, after=1_000)  # the cache's own rejection lowers it
    assert rig.router.fill_limit.limit < before
