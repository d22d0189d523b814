"""The invariant checker finds no violation in a correct run, and detects a planted fault for each rule."""

import pytest

from rookbend.testing.invariant_checker import InvariantChecker
from rookbend.testing.invariant_events import (
    AttemptAnswered,
    AttemptReceived,
    ClientClosed,
    FillReceived,
    MembershipSent,
    MemberStarted,
    MemberStatus,
    PurgeSent,
    RequestSent,
    ResponseReceived,
)
from rookbend.testing.invariant_rules import Rule
from rookbend.testing.slow_start_budget import SlowStart

MS, SECOND = 1_000, 1_000_000
SLOW_START = SlowStart(capacity=10.0, cold_ratio=0.2, warm_up_us=10 * SECOND, overload_multiple=4.0)


def request(request_id="r", at=0, at_most_once=False):
    return RequestSent(at, request_id, "n1", at_most_once, at + 2 * SECOND, ("obj", 0), 17)


def success(request_id="r", at=0, member="c1", copied_us=0, digest="d"):
    return [
        AttemptReceived(at + 10 * MS, request_id, member, at + 9 * MS, "p1"),
        AttemptAnswered(at + 20 * MS, request_id, member, True, True, copied_us, digest),
    ]


def response(request_id="r", at=30 * MS, digest="d"):
    return ResponseReceived(at, request_id, "served", digest)


def failure(request_id="r", at=0, member="c1", may_have_executed=False):
    return [
        AttemptReceived(at, request_id, member, at),
        AttemptAnswered(at + MS, request_id, member, may_have_executed),
    ]


def check(*events, until_us=60 * SECOND):
    checker = InvariantChecker()
    for event in events:
        for single_event in event if isinstance(event, list) else [event]:
            checker.observe(single_event)
    checker.close_expired(until_us)
    return checker


def test_correct_run_has_no_violation_and_leaves_no_open_request():
    checker = check(
        MembershipSent(0, "n1", "c9", MemberStatus.DRAINING),
        PurgeSent(0, "n1", 0, "obj"),
        MemberStarted(0, "c1", SLOW_START),
        request(),
        failure(at=MS, member="c2"),
        success(),
        response(),
        request("w", at_most_once=True),
        failure("w", 40 * MS),
        success("w", 50 * MS, "records"),
        response("w", 90 * MS),
        request("gone"),
        ClientClosed(50 * MS, "gone"),
        request("full"),
        failure("full", 2 * MS),
        ResponseReceived(9 * MS, "full", "refused"),
    )
    assert checker.violations == [] and checker.requests == {} and checker.observed_events == 21


AFTER_GRACE = 700 * MS


@pytest.mark.parametrize(
    "rule, events",
    [
        ("answer", [request()]),
        ("answer", [request(), success(), response(), response()]),
        ("answer", [request(), success(), response(at=2 * SECOND + 51 * MS)]),
        ("answer", [request(), ResponseReceived(MS, "r", "failed", is_whole=False)]),
        ("answer", [ResponseReceived(MS, "unknown", "failed")]),
        ("attempts", [request(), *[failure(at=i * 9 * MS) for i in range(7)], ResponseReceived(SECOND, "r", "failed")]),
        (
            "attempts",
            [
                request(),
                AttemptReceived(MS, "r", "c1", MS),
                AttemptReceived(2 * MS, "r", "c2", MS),
                AttemptAnswered(3 * MS, "r", "c1", False),
                AttemptAnswered(3 * MS, "r", "c2", False),
                ResponseReceived(9 * MS, "r", "failed"),
            ],
        ),
        ("attempts", [AttemptReceived(MS, "unknown", "c1", MS)]),
        (
            "repeat",
            [
                request(at_most_once=True),
                failure(may_have_executed=True),
                failure(at=9 * MS),
                ResponseReceived(SECOND, "r", "failed"),
            ],
        ),
        (
            "repeat",
            [request(at_most_once=True), failure(may_have_executed=True), ResponseReceived(SECOND, "r", "refused")],
        ),
        (
            "repeat",
            [
                request(at_most_once=True),
                AttemptReceived(MS, "r", "c1", MS),
                ResponseReceived(9 * MS, "r", "refused"),
                AttemptAnswered(SECOND, "r", "c1", True),
            ],
        ),
        (
            "deadline",
            [
                request(),
                AttemptReceived(SECOND, "r", "c1", SECOND, wait_us=SECOND + 201 * MS),
                AttemptAnswered(SECOND, "r", "c1", False),
                response(digest=""),
            ],
        ),
        ("left", [request(), ClientClosed(0, "r"), failure(at=151 * MS)]),
        (
            "drain",
            [
                MembershipSent(0, "n1", "c1", MemberStatus.DRAINING),
                request(at=AFTER_GRACE),
                success(at=AFTER_GRACE),
                response(at=AFTER_GRACE + 30 * MS),
            ],
        ),
        (
            "drain",
            [
                MembershipSent(0, "n1", "p1", MemberStatus.GONE),
                request(at=AFTER_GRACE),
                success(at=AFTER_GRACE),
                response(at=AFTER_GRACE + 30 * MS),
            ],
        ),
        (
            "drain",
            [
                MembershipSent(0, "n1", "c1", MemberStatus.DRAINING),
                MembershipSent(AFTER_GRACE, "n1", "c1", MemberStatus.GONE),
                request(at=AFTER_GRACE),
                success(at=AFTER_GRACE),
                response(at=AFTER_GRACE + 30 * MS),
            ],
        ),
        (
            "cold",
            [
                MemberStarted(0, "c1", SLOW_START),
                request(),
                AttemptReceived(MS, "r", "c1", MS, work_s=13.0),
                AttemptAnswered(2 * MS, "r", "c1", False),
                ResponseReceived(3 * MS, "r", "failed"),
            ],
        ),
        ("cold", [MemberStarted(0, "p1", SLOW_START), *[FillReceived(i * 9 * MS, "p1", 1.3) for i in range(10)]]),
        (
            "purge",
            [
                PurgeSent(0, "n1", 0, "obj"),
                request(at=AFTER_GRACE),
                success(at=AFTER_GRACE, copied_us=-1),
                response(at=AFTER_GRACE + 30 * MS),
            ],
        ),
        (
            "purge",
            [
                PurgeSent(0, "n1", 0, group=17),
                request(at=AFTER_GRACE),
                success(at=AFTER_GRACE, copied_us=-1),
                response(at=AFTER_GRACE + 30 * MS),
            ],
        ),
        ("bytes", [request(), success(), response(digest="other")]),
    ],
)
def test_each_planted_fault_violates_exactly_its_rule(rule, events):
    assert check(*events).violations_by_rule() == {**dict.fromkeys(map(str, Rule), 0), rule: 1}


def test_events_within_the_grace_or_notified_to_another_director_are_no_violation():
    within_grace = 400 * MS
    assert (
        check(
            MembershipSent(0, "n1", "c1", MemberStatus.DRAINING),
            MembershipSent(0, "n2", "c2", MemberStatus.GONE),
            PurgeSent(0, "n1", 0, "obj"),
            MembershipSent(0, "n1", "p1", MemberStatus.GONE),
            request(at=within_grace),
            success(at=within_grace, copied_us=-1),
            response(at=within_grace + 30 * MS),
            MembershipSent(within_grace, "n1", "c1", MemberStatus.SERVING),
            MembershipSent(within_grace, "n1", "p1", MemberStatus.SERVING),
            request("s", AFTER_GRACE),
            success("s", AFTER_GRACE, copied_us=1),
            response("s", AFTER_GRACE + 30 * MS),
        ).violations
        == []
    )


def test_slow_start_budget_grows_with_the_age_of_the_member():
    warm_at = 11 * SECOND
    events = [MemberStarted(0, "c1", SLOW_START), *[FillReceived(warm_at + i * MS, "c1", 5.0) for i in range(10)]]
    assert check(*events).violations == [], "50 s of work in a window that allows 60 s at full capacity"
    assert check(
        *[e if isinstance(e, MemberStarted) else FillReceived(e.at_us - warm_at, "c1", 5.0) for e in events]
    ).violations_by_rule()["cold"]
