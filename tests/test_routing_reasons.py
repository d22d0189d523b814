"""The results of the retry policy: why an attempt is denied, and which step follows the end of an attempt."""

from dataclasses import replace

import pytest

from rookbend import interface as api
from rookbend.routing.membership import Membership
from rookbend.routing.request_state import Attempt, new_request
from rookbend.routing.retry_policy import Denial, NextStep, RetryPolicy
from tests.router_harness import (
    ALL_MEMBERS,
    CACHES,
    KEYED_WRITES,
    MEDIA,
    NON_IDEMPOTENT_WRITES,
    ORIGIN,
    PARENTS,
    SECOND,
    Rig,
    settings,
)

NOW = 100 * SECOND


def policy(**changes):
    membership = Membership(settings(**changes))
    membership.apply(api.MembershipUpdated(api.MembershipUpdateKind.FULL, 1, ALL_MEMBERS))
    return RetryPolicy(membership.settings, membership)


def request_of(traffic_class, **fields):
    request = new_request(api.RequestArrived(1, 0, 5, NOW + SECOND), traffic_class)
    request.objective_deadline_us = NOW + SECOND
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def executed_at(member, since_us=1000):
    return {"possibly_executed_us": NOW - since_us, "possibly_executed_at": member}


@pytest.mark.parametrize(
    "traffic_class, fields, member, expected",
    [
        (MEDIA, {}, CACHES[0], None),
        (MEDIA, executed_at(CACHES[0]), CACHES[1], None),
        (MEDIA, {"attempt_count": 6}, CACHES[0], Denial.ATTEMPTS_EXHAUSTED),
        (MEDIA, {"min_transfer_us": 2.0 * SECOND - 1}, CACHES[0], None),
        (MEDIA, {"min_transfer_us": 2.0 * SECOND}, CACHES[0], Denial.DEADLINE_TOO_NEAR),
        (NON_IDEMPOTENT_WRITES, {}, CACHES[0], None),
        (NON_IDEMPOTENT_WRITES, executed_at(CACHES[0]), CACHES[0], Denial.MAY_HAVE_EXECUTED),
        (KEYED_WRITES, executed_at(CACHES[0], 2 * SECOND - 2001), CACHES[2], None),
        (KEYED_WRITES, executed_at(CACHES[0], 2 * SECOND - 2000), CACHES[0], Denial.IDEMPOTENCY_WINDOW_OVER),
        (replace(KEYED_WRITES, retry_scope="zone"), executed_at(CACHES[0]), CACHES[2], None),
        (replace(KEYED_WRITES, retry_scope="zone"), executed_at(CACHES[0]), PARENTS[0], Denial.OUTSIDE_RETRY_SCOPE),
        (replace(KEYED_WRITES, retry_scope="cell"), executed_at(CACHES[0]), CACHES[1], None),
        (replace(KEYED_WRITES, retry_scope="cell"), executed_at(CACHES[0]), CACHES[2], Denial.OUTSIDE_RETRY_SCOPE),
    ],
)
def test_denial_of_an_attempt(traffic_class, fields, member, expected):
    assert policy().denial(request_of(traffic_class, **fields), member, NOW) is expected


@pytest.mark.parametrize(
    "traffic_class, fields, status, detail, final, expected",
    [
        (MEDIA, {}, api.AttemptStatus.OK, api.AttemptDetail.HIT, True, NextStep.SERVED),
        (MEDIA, {}, api.AttemptStatus.ERROR, api.AttemptDetail.NONE, True, NextStep.FAILED),
        (MEDIA, {}, api.AttemptStatus.FULL, api.AttemptDetail.ORIGIN_FAILED, False, NextStep.REJECT),
        (KEYED_WRITES, {}, api.AttemptStatus.FULL, api.AttemptDetail.ORIGIN_FAILED, False, NextStep.BACK_OFF),
        (
            KEYED_WRITES,
            {"attempt_count": 9},
            api.AttemptStatus.FULL,
            api.AttemptDetail.ORIGIN_FAILED,
            False,
            NextStep.REJECT,
        ),
        (MEDIA, {"erring_servers": [1, 2, 3]}, api.AttemptStatus.ERROR, api.AttemptDetail.NONE, False, NextStep.FAIL),
        (KEYED_WRITES, {}, api.AttemptStatus.CONNECT_FAILED, api.AttemptDetail.NONE, False, NextStep.RETRY_WRITE),
        (MEDIA, {}, api.AttemptStatus.MISS, api.AttemptDetail.SOURCE_LACKS, False, NextStep.REJECT),
        (
            MEDIA,
            {"is_leader": True},
            api.AttemptStatus.RESET,
            api.AttemptDetail.NONE,
            False,
            NextStep.HAND_OVER_AND_RETRY,
        ),
        (MEDIA, {}, api.AttemptStatus.RESET, api.AttemptDetail.NONE, False, NextStep.RETRY),
    ],
)
def test_next_step_after_an_attempt(traffic_class, fields, status, detail, final, expected):
    request = request_of(traffic_class, **{"attempt_count": 1, **fields})
    attempt = Attempt(request, 0, CACHES[0].server, PARENTS[0].server, NOW - 1000, SECOND, True)
    event = api.AttemptFinished(1, 0, CACHES[0].server, status, 1000, final, detail)
    assert policy().next_step(request, attempt, event, NOW) is expected


def test_a_cache_only_attempt_that_misses_is_followed_by_a_fill():
    request = request_of(MEDIA, attempt_count=1)
    attempt = Attempt(request, 0, CACHES[0].server, None, NOW - 1000, SECOND, False, is_cache_only=True)
    event = api.AttemptFinished(1, 0, CACHES[0].server, api.AttemptStatus.MISS, 1000)
    assert policy().next_step(request, attempt, event, NOW) is NextStep.FILL_AFTER_MISS


@pytest.mark.parametrize("source, expected", [(ORIGIN, NextStep.REJECT), (PARENTS[0], NextStep.RETRY)])
def test_unreachable_source_is_an_origin_failure_only_where_it_is_the_origin(source, expected):
    request = request_of(MEDIA, attempt_count=1)
    attempt = Attempt(request, 0, CACHES[0].server, source.server, NOW - 1000, SECOND, True)
    status, detail = api.AttemptStatus.FULL, api.AttemptDetail.SOURCE_UNREACHABLE
    event = api.AttemptFinished(1, 0, CACHES[0].server, status, 1000, False, detail)
    assert policy().next_step(request, attempt, event, NOW) is expected


def test_read_sender_returns_why_a_read_was_not_sent():
    def denial(rig, request):
        return rig.router.reads.send(request, None, None, rig.now, [])

    request = request_of(MEDIA)
    assert denial(Rig(members=()), request) is Denial.NO_ENDPOINT
    assert denial(Rig(max_attempts=0), request) is Denial.ATTEMPTS_EXHAUSTED
    rig = Rig()
    rig.router.fill_limit.limit = 0.0
    assert denial(rig, request_of(MEDIA, cache_missed=True)) is Denial.NO_FILL_CAPACITY
    rig = Rig()
    for member in CACHES:
        rig.router.load.record_report(member.server, (60.0,), rig.now)
    late = request_of(MEDIA, expected_transfer_us=0.9 * SECOND, min_transfer_us=0.9 * SECOND)
    assert denial(rig, late) is Denial.OBJECTIVE_UNREACHABLE
