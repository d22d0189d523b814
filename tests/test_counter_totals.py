"""Totals of a fleet's counters: the last counters of each incarnation count, and dropped log lines are added."""

from rookbend.testing.counter_totals import FleetTotals, parse_line

INCARNATION_LOG = [
    "timestamp=t level=info event=ready director=n0",
    'timestamp=t level=warning event=member_garbage member=c1 reason="an answer stopped short"',
    "timestamp=t level=warning event=member_garbage member=c1 reason=x dropped=4",
    "timestamp=t level=info event=counters connects=7 attempts=10",
    "timestamp=t level=info event=counters connects=9 attempts=12",
]


def test_last_counters_of_each_incarnation_are_summed():
    totals = FleetTotals()
    totals.add_log(
        "n0",
        INCARNATION_LOG + INCARNATION_LOG[:1] + ["Traceback (most recent call last):", "event=counters connects=2"],
    )
    totals.add_log("n1", ['{"event": "counters", "connects": 30, "level": "info"}'])
    report = totals.report()
    assert report["counters"] == {"connects": 9 + 2 + 30, "attempts": 12}
    assert report["busiest"]["connects"] == [30, "n1"]
    assert report["events"]["member_garbage"] == 1 + 5
    assert report["unreadable_lines"] == 1 and report["directors"] == 2


def test_lines_without_an_event_have_no_fields():
    assert parse_line("plain text") == {} and parse_line('{"a": ') == {} and parse_line('a="open') == {}
