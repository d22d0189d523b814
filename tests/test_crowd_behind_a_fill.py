"""Very many requests wait for one fill, and none of them can be sent once it has ended (review case 6).

Each test guards against a director that ends with a RecursionError: a waiter that could not be sent promoted the next
one within its own rejection, five calls deeper for each.
"""

import dataclasses

import pytest

from rookbend import interface as api
from rookbend.routing.request_state import Request
from tests.router_harness import ALL_MEMBERS, SECOND, Rig, final_answers, sent_fetches

CROWD = 240  # as in review case 6
OBJECT = 5
MEDIA, PAGES = 0, 1

crowds = pytest.mark.parametrize("crowd", [CROWD, 10 * CROWD])


def crowd_behind_one_fill(crowd, class_index=MEDIA):
    """A router, the attempt of a leader, and the ids of the requests that wait for its fill."""
    rig = Rig(max_requests_in_flight=20_000)
    attempt = sent_fetches(rig.arrive(OBJECT, class_index)[1])[0]
    waiting = [rig.arrive(OBJECT, class_index)[0] for _ in range(crowd)]
    return rig, attempt, waiting


def drain_all_members(rig):
    draining = tuple(dataclasses.replace(member, state=api.MemberState.DRAINING) for member in ALL_MEMBERS)
    rig.feed(api.MembershipUpdated(api.MembershipUpdateKind.CACHED, 2, draining))


def assert_each_is_answered_once(rig, actions, requests):
    """And nothing of any of them is left behind."""
    assert sorted(action.request for action in final_answers(actions)) == sorted(requests)
    assert not sent_fetches(actions)
    assert not rig.router.open_requests and not rig.router.collapser.fills
    assert not any(isinstance(owner, Request) for owner in rig.router.timers.owners.values())


@crowds
@pytest.mark.parametrize(
    ("status", "detail"),
    [
        (api.AttemptStatus.RESET, api.AttemptDetail.NONE),
        (api.AttemptStatus.FULL, api.AttemptDetail.NONE),
        (api.AttemptStatus.TIMEOUT, api.AttemptDetail.NONE),
        (api.AttemptStatus.ERROR, api.AttemptDetail.ORIGIN_FAILED),
        (api.AttemptStatus.ERROR, api.AttemptDetail.SOURCE_LACKS),
    ],
)
def test_a_crowd_is_answered_when_its_leader_fails_and_no_cache_is_left(status, detail, crowd):
    rig, attempt, waiting = crowd_behind_one_fill(crowd)
    drain_all_members(rig)
    assert_each_is_answered_once(rig, rig.finish(attempt, status, detail), [attempt.request, *waiting])


@crowds
def test_a_crowd_is_answered_when_its_leader_has_ended_and_no_cache_is_left(crowd):
    rig, attempt, waiting = crowd_behind_one_fill(crowd)
    drain_all_members(rig)
    assert_each_is_answered_once(rig, rig.finish(attempt, api.AttemptStatus.ERROR, final=True), waiting)


@crowds
def test_a_crowd_is_answered_when_its_leader_is_cancelled_and_no_cache_is_left(crowd):
    rig, attempt, waiting = crowd_behind_one_fill(crowd)
    drain_all_members(rig)
    assert_each_is_answered_once(rig, rig.feed(api.RequestCancelled(attempt.request)), waiting)


@crowds
def test_a_crowd_is_answered_when_its_leader_gets_no_fill_capacity_in_time(crowd):
    rig, attempt, waiting = crowd_behind_one_fill(crowd)
    rig.feed(api.AdmissionLimitsChanged(fills_per_second=0.0))
    rig.finish(attempt, api.AttemptStatus.MISS)  # the fill is handed over; the next leader may use a cached copy only
    actions = []
    for _ in range(crowd):
        in_flight = list(rig.router.attempts.in_flight.values())
        for missed in in_flight:
            actions += rig.finish(api.Fetch(missed.request.id, missed.server, 0, 0), api.AttemptStatus.MISS)
        if not in_flight:
            break
    drain_all_members(rig)
    actions += rig.run_timers(rig.now + 10 * SECOND)
    assert_each_is_answered_once(rig, actions, [attempt.request, *waiting])


@crowds
def test_a_crowd_is_answered_when_a_purge_ends_its_fill_and_no_cache_is_left(crowd):
    rig, attempt, waiting = crowd_behind_one_fill(crowd)
    rig.feed(api.PurgeReceived(OBJECT, 0, 0), after=1000)
    drain_all_members(rig)
    newcomer, actions = rig.arrive(OBJECT, after=1000)
    assert sorted(action.request for action in final_answers(actions)) == sorted([newcomer, *waiting])
    assert_each_is_answered_once(rig, rig.finish(attempt, api.AttemptStatus.RESET), [attempt.request])


@crowds
def test_a_crowd_that_leaves_one_by_one_leaves_nothing_behind(crowd):
    rig, attempt, waiting = crowd_behind_one_fill(crowd)
    for request in [attempt.request, *reversed(waiting)]:
        rig.feed(api.RequestCancelled(request))
    assert not rig.router.open_requests and not rig.router.collapser.fills
