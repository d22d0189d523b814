"""The rules' checker: a good run breaks nothing, and a planted fault for each rule is seen."""

import pytest

from rookbend.testing.invariant_checker import InvariantChecker, Rule
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
from rookbend.testing.slow_start_budget import SlowStart
from rookbend.testing.weighted_score import ClassObjective, RequestOutcome, earned_weight, score_run

MS, SECOND = 1_000, 1_000_000
WARMTH = SlowStart(capacity=10.0, cold_ratio=0.2, warm_up_us=10 * SECOND, overload_multiple=4.0)


def read(rid="r", at=0, once=False):
    return RequestSent(at, rid, "n1", once, at + 2 * SECOND, ("obj", 0), 17)


def good(rid="r", at=0, member="c1", t0=0, digest="d"):
    return [
        AttemptReceived(at + 10 * MS, rid, member, at + 9 * MS, "p1"),
        AttemptAnswered(at + 20 * MS, rid, member, True, True, t0, digest),
    ]


def served(rid="r", at=30 * MS, digest="d"):
    return ResponseReceived(at, rid, "served", digest)


def missed(rid="r", at=0, member="c1", ran=False):
    return [AttemptReceived(at, rid, member, at), AttemptAnswered(at + MS, rid, member, ran)]


def judge(*events, until=60 * SECOND):
    checker = InvariantChecker()
    for event in events:
        for one in event if isinstance(event, list) else [event]:
            checker.observe(one)
    checker.close_expired(until)
    return checker


def test_a_good_run_breaks_nothing_and_leaves_nothing():
    checker = judge(
        MembershipSent(0, "n1", "c9", MemberStatus.DRAINING),
        PurgeSent(0, "n1", 0, "obj"),
        MemberStarted(0, "c1", WARMTH),
        read(),
        missed(at=MS, member="c2"),
        good(),
        served(),
        read("w", once=True),
        missed("w", 40 * MS),
        good("w", 50 * MS, "records"),
        served("w", 90 * MS),
        read("gone"),
        ClientClosed(50 * MS, "gone"),
        read("full"),
        missed("full", 2 * MS),
        ResponseReceived(9 * MS, "full", "refused"),
    )
    assert checker.violations == [] and checker.requests == {} and checker.observed_events == 21


LATE = 700 * MS


@pytest.mark.parametrize(
    "rule, events",
    [
        ("answer", [read()]),
        ("answer", [read(), good(), served(), served()]),
        ("answer", [read(), good(), served(at=2 * SECOND + 51 * MS)]),
        ("answer", [read(), ResponseReceived(MS, "r", "failed", is_whole=False)]),
        ("answer", [ResponseReceived(MS, "nobody", "failed")]),
        ("attempts", [read(), *[missed(at=i * 9 * MS) for i in range(7)], ResponseReceived(SECOND, "r", "failed")]),
        (
            "attempts",
            [
                read(),
                AttemptReceived(MS, "r", "c1", MS),
                AttemptReceived(2 * MS, "r", "c2", MS),
                AttemptAnswered(3 * MS, "r", "c1", False),
                AttemptAnswered(3 * MS, "r", "c2", False),
                ResponseReceived(9 * MS, "r", "failed"),
            ],
        ),
        ("attempts", [AttemptReceived(MS, "nobody", "c1", MS)]),
        ("repeat", [read(once=True), missed(ran=True), missed(at=9 * MS), ResponseReceived(SECOND, "r", "failed")]),
        ("repeat", [read(once=True), missed(ran=True), ResponseReceived(SECOND, "r", "refused")]),
        (
            "repeat",
            [
                read(once=True),
                AttemptReceived(MS, "r", "c1", MS),
                ResponseReceived(9 * MS, "r", "refused"),
                AttemptAnswered(SECOND, "r", "c1", True),
            ],
        ),
        (
            "drain",
            [
                MembershipSent(0, "n1", "c1", MemberStatus.DRAINING),
                read(at=LATE),
                good(at=LATE),
                served(at=LATE + 30 * MS),
            ],
        ),
        (
            "drain",
            [MembershipSent(0, "n1", "p1", MemberStatus.GONE), read(at=LATE), good(at=LATE), served(at=LATE + 30 * MS)],
        ),
        (
            "drain",
            [
                MembershipSent(0, "n1", "c1", MemberStatus.DRAINING),
                MembershipSent(LATE, "n1", "c1", MemberStatus.GONE),
                read(at=LATE),
                good(at=LATE),
                served(at=LATE + 30 * MS),
            ],
        ),
        (
            "cold",
            [
                MemberStarted(0, "c1", WARMTH),
                read(),
                AttemptReceived(MS, "r", "c1", MS, work_s=13.0),
                AttemptAnswered(2 * MS, "r", "c1", False),
                ResponseReceived(3 * MS, "r", "failed"),
            ],
        ),
        ("cold", [MemberStarted(0, "p1", WARMTH), *[FillReceived(i * 9 * MS, "p1", 1.3) for i in range(10)]]),
        ("purge", [PurgeSent(0, "n1", 0, "obj"), read(at=LATE), good(at=LATE, t0=-1), served(at=LATE + 30 * MS)]),
        ("purge", [PurgeSent(0, "n1", 0, group=17), read(at=LATE), good(at=LATE, t0=-1), served(at=LATE + 30 * MS)]),
        ("bytes", [read(), good(), served(digest="other")]),
    ],
)
def test_each_planted_fault_is_seen_and_no_other(rule, events):
    assert judge(*events).violations_by_rule() == {**dict.fromkeys(map(str, Rule), 0), rule: 1}


def test_what_is_within_the_grace_or_told_to_another_breaks_nothing():
    soon = 400 * MS
    assert (
        judge(
            MembershipSent(0, "n1", "c1", MemberStatus.DRAINING),
            MembershipSent(0, "n2", "c2", MemberStatus.GONE),
            PurgeSent(0, "n1", 0, "obj"),
            MembershipSent(0, "n1", "p1", MemberStatus.GONE),
            read(at=soon),
            good(at=soon, t0=-1),
            served(at=soon + 30 * MS),
            MembershipSent(soon, "n1", "c1", MemberStatus.SERVING),
            MembershipSent(soon, "n1", "p1", MemberStatus.SERVING),
            read("s", LATE),
            good("s", LATE, t0=1),
            served("s", LATE + 30 * MS),
        ).violations
        == []
    )


def test_a_member_bears_more_as_it_warms():
    late = 11 * SECOND
    events = [MemberStarted(0, "c1", WARMTH), *[FillReceived(late + i * MS, "c1", 5.0) for i in range(10)]]
    assert judge(*events).violations == [], "50 of 60 seconds' work, when it bears all"
    assert judge(
        *[e if isinstance(e, MemberStarted) else FillReceived(e.at_us - late, "c1", 5.0) for e in events]
    ).violations_by_rule()["cold"]


VIDEO = ClassObjective("video", 2.0, 600 * MS, latency_objective_stretch=2.0, late_priority_weight=0.1)
PAGE = ClassObjective("page", 1.0, 300 * MS, stale_priority_weight=0.7)


@pytest.mark.parametrize(
    "cls, ended, worth",
    [
        (VIDEO, RequestOutcome(0, 0, 600 * MS), 2.0),
        (VIDEO, RequestOutcome(0, 0, 601 * MS), 0.2),
        (VIDEO, RequestOutcome(0, 0, None), 0.0),
        (VIDEO, RequestOutcome(0, 0, 1000 * MS, transfer_us=200 * MS), 2.0),
        (PAGE, RequestOutcome(5, 1, 9, is_stale=True), 0.7),
        (PAGE, RequestOutcome(0, 1, 301 * MS), 0.0),
    ],
)
def test_what_one_request_earns(cls, ended, worth):
    assert earned_weight(cls, ended) == pytest.approx(worth)


def test_the_figure_mixes_the_whole_the_worst_span_and_the_worst_class():
    """60 s of a video and a page each second; the pages of seconds 20 to 29 are lost."""
    requests = [RequestOutcome(s * SECOND, 0, s * SECOND + 1) for s in range(60)]
    requests += [RequestOutcome(s * SECOND, 1, None if 20 <= s < 30 else s * SECOND + 1) for s in range(60)]
    figure = score_run([VIDEO, PAGE], requests)
    assert figure.whole_run == pytest.approx(170 / 180) and figure.worst_window == pytest.approx(2 / 3)
    assert figure.worst_window_us == 20 * SECOND and figure.by_class == {"video": 1.0, "page": pytest.approx(5 / 6)}
    assert figure.total == pytest.approx(0.6 * 170 / 180 + 0.1 * 2 / 3 + 0.3 * 5 / 6)
    assert score_run([VIDEO, PAGE], []).total == 1.0
    assert score_run([VIDEO, PAGE], requests[:3]).worst_window == 1.0
