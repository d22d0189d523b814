"""What is left when members fail or a size is only guessed: nobody is asked twice, and no guess refuses alone."""

import pytest

from rookbend import interface as api
from tests.router_harness import CACHES, ORIGIN, PARENTS, SECOND, Rig, finals, sent_fetches


def through(rig, lead, status, note=api.AttemptDetail.NONE):
    """The servers and sources that a request meets while each attempt ends like that, and its last actions."""
    met = [(lead.server, getattr(lead, "source", None))]
    while True:
        out = rig.finish(lead, status, note=note, after=2_000)
        if not sent_fetches(out):
            return met, out
        lead = sent_fetches(out)[0]
        met.append((lead.server, getattr(lead, "source", None)))


def test_each_cache_is_asked_once_and_then_the_request_is_refused():
    rig = Rig(allows_retry_after=True)
    met, out = through(rig, sent_fetches(rig.arrive(5)[1])[0], api.AttemptStatus.CONNECT_FAILED)
    assert sorted(server for server, _ in met) == sorted(m.server for m in CACHES)
    assert [type(a) for a in finals(out)] == [api.Reject]


def test_where_direct_is_allowed_the_source_is_the_last_to_be_asked():
    rig = Rig(allows_retry_after=True, allows_direct_to_source=True)
    met, _ = through(rig, sent_fetches(rig.arrive(5)[1])[0], api.AttemptStatus.CONNECT_FAILED)
    assert sorted(server for server, _ in met[:3]) == sorted(m.server for m in CACHES)
    assert met[3][0] in {m.server for m in (*PARENTS, ORIGIN)}


def test_parents_that_cannot_be_reached_are_asked_once_each_and_then_the_origin_fills():
    rig = Rig()
    met, _ = through(
        rig, sent_fetches(rig.arrive(5)[1])[0], api.AttemptStatus.FULL, api.AttemptDetail.SOURCE_UNREACHABLE
    )
    sources = [source for _, source in met]
    assert sorted(sources[:3]) == sorted(m.server for m in PARENTS)
    assert set(sources[3:]) <= {ORIGIN.server}


def test_with_every_cache_ejected_each_gets_one_attempt_at_a_time():
    """Guards boxes that return cold: requests that nobody else can take fell on them all at once."""
    rig = Rig(allows_retry_after=True)
    for i in range(30):
        through(rig, sent_fetches(rig.arrive(1000 + i)[1])[0], api.AttemptStatus.CONNECT_FAILED)
    assert all(rig.router.servers[m.server].ejected_until_us > rig.now for m in CACHES)
    out = [sent_fetches(rig.arrive(2000 + i)[1]) for i in range(20)]
    assert sorted(s[0].server for s in out if s) == sorted(m.server for m in CACHES)


@pytest.mark.parametrize(
    "note", [api.AttemptDetail.SOURCE_UNREACHABLE, api.AttemptDetail.SOURCE_REFUSED, api.AttemptDetail.ORIGIN_FAILED]
)
def test_what_fails_behind_a_cache_takes_no_place_for_fills_away(note):
    rig = Rig()
    before = rig.router.fill_limit.limit
    for i in range(10):
        rig.finish(sent_fetches(rig.arrive(1000 + i)[1])[0], api.AttemptStatus.FULL, note=note, after=1_000)
        rig.now += 10 * SECOND
    assert rig.router.fill_limit.limit == before


def test_a_guessed_size_does_not_refuse_where_a_known_one_would():
    """A quarter of a second is left; by the guess half of sending takes longer."""
    rig = Rig(allows_retry_after=True)
    assert sent_fetches(rig.arrive(5, size=0.0, patience=250_000)[1])
    assert not sent_fetches(rig.arrive(6, size=750.0, patience=250_000)[1])
    rig = Rig(allows_retry_after=True)
    for i in range(12):  # load at every cache, so that it would be late everywhere
        rig.arrive(100 + i, size=3000.0)
    refused = rig.arrive(5, size=2500.0, patience=1_000_000)[1]
    assert finals(refused) and not sent_fetches(refused)


def test_a_guess_three_times_too_long_still_refuses():
    rig = Rig(allows_retry_after=True)
    out = rig.arrive(5, size=0.0, patience=100_000)[1]  # a third of 750 ms, of which half must be left
    assert finals(out) and not sent_fetches(out)


def test_where_every_cache_is_full_a_guess_refuses_as_a_known_size_does():
    """Guards those who can be in time in a burst: a guess counts by its third only where a cache has room."""
    rig = Rig(allows_retry_after=True)
    for i in range(60):
        rig.arrive(100 + i, size=400.0)
    held = [rig.router.servers[m.server].in_flight / m.weight for m in CACHES]
    assert min(held) > 1.5
    out = rig.arrive(5, size=0.0, patience=700_000)[1]
    assert finals(out) and not sent_fetches(out)
