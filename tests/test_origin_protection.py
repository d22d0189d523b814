"""An origin that turned an attempt away: reads are had from parents alone for a while, ever fewer of them."""

from rookbend import interface as api
from tests.router_harness import ORIGIN, SECOND, Rig, finals, sent_fetches

MANY = 200


def refused(**changes):
    """A rig whose origin has just failed one read."""
    rig = Rig(allows_retry_after=True, max_retry_after_us=500_000, **changes)
    lead = sent_fetches(rig.arrive(5)[1])[0]
    rig.finish(lead, api.AttemptStatus.FULL, note=api.AttemptDetail.ORIGIN_FAILED, after=50_000)
    return rig


def peeks(rig, first, after=0):
    """Of that many reads of new objects, each ended at once, the share that may not go past a parent."""
    rig.now += after
    count = 0
    for i in range(MANY):
        lead = sent_fetches(rig.arrive(first + i)[1])[0]
        count += lead.only_if_cached
        rig.feed(api.RequestCancelled(lead.request))
        rig.finish(lead, api.AttemptStatus.CANCELLED)
    return count / MANY


def test_a_calm_origin_is_spared_nothing():
    assert peeks(Rig(), 1000) == 0


def test_after_a_failure_reads_spare_the_origin_and_ever_fewer_do():
    rig = refused()
    spared = 12.5 * rig.router.settings.connect_timeout_us
    assert peeks(rig, 1000) > 0.97
    half = peeks(rig, 2000, after=int(spared / 2))
    assert 0.35 < half < 0.65
    assert peeks(rig, 3000, after=int(spared / 2) + SECOND) == 0


def test_routers_draw_apart():
    rig = refused()
    rig.router.origin_protection.seed = 8
    rig.now += 2_500_000
    ours = [sent_fetches(rig.arrive(1000 + i)[1])[0].only_if_cached for i in range(50)]
    other = refused()
    other.now += 2_500_000
    theirs = [sent_fetches(other.arrive(1000 + i)[1])[0].only_if_cached for i in range(50)]
    assert ours != theirs


def test_what_no_parent_holds_is_answered_at_once_and_asks_nobody_else():
    rig = refused()
    lead = sent_fetches(rig.arrive(1000)[1])[0]
    out = rig.finish(lead, api.AttemptStatus.MISS, note=api.AttemptDetail.SOURCE_LACKS, after=20_000)
    assert not sent_fetches(out)
    assert [type(a) for a in finals(out)] == [api.Reject]


def test_a_write_goes_to_the_origin_all_the_same():
    rig = refused(allows_direct_to_source=True)
    first = sent_fetches(rig.arrive(1000, class_index=3)[1])[0]
    assert first.server == ORIGIN.server


def test_refusals_of_the_origin_take_no_place_for_fills_away():
    rig = Rig()
    before = rig.router.fill_limit.limit
    for i in range(20):
        lead = sent_fetches(rig.arrive(1000 + i)[1])[0]
        rig.finish(lead, api.AttemptStatus.FULL, note=api.AttemptDetail.ORIGIN_FAILED, after=1_000)
        rig.now += 10 * SECOND
    assert rig.router.fill_limit.limit == before
    lead = sent_fetches(rig.arrive(5000)[1])[0]
    rig.finish(lead, api.AttemptStatus.FULL, after=1_000)  # a cache's own refusal still does
    assert rig.router.fill_limit.limit < before
