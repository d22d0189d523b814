"""The verdict on members: the table of precedence row by row, and properties over any order of events."""

from rookbend.core.check_result import AgentReport, CheckOutcome
from rookbend.health.events import (
    AgentReported,
    AttemptObserved,
    CheckCompleted,
    MembershipReceived,
    OrderReceived,
    PolicyChanged,
)
from rookbend.health.model import HealthPolicy, Order
from rookbend.interface import AttemptStatus, MemberState
from tests.health_harness import POLICY, SECOND, START, Watched, entry

# The table, row by row


def test_the_rosters_word_wins_over_all_others():
    b = Watched().words(1, up=True, admin="ready", weight=100)
    b.feed(OrderReceived(1, Order.READY, "me")).feed(MembershipReceived(False, [entry(1, MemberState.DRAINING)]))
    assert b.state() == ("draining", 0, "roster")
    assert b.words(1, up=True, admin="ready").state() == ("draining", 0, "roster")
    b.feed(MembershipReceived(False, [entry(1, MemberState.GONE)]))
    assert 1 not in b.registry.members and b.told[1] is None
    assert b.words(1, up=True).registry.overtaken == 1 and 1 not in b.registry.members, "nothing else adds a member"


def test_an_order_holds_until_it_is_lifted():
    b = Watched().feed(OrderReceived(1, Order.MAINTAIN, "me")).words(1, up=True, admin="ready", weight=100)
    assert b.state() == ("maintenance", 0, "order")
    assert b.feed(OrderReceived(1, Order.DRAIN)).state() == ("draining", 0, "order")
    assert b.feed(OrderReceived(1, Order.READY)).state() == ("degraded", START, "slow-start")


def test_an_agents_drain_outlives_its_silence_and_its_down_does_not():
    b = Watched().words(1, admin="drain").words(2, up=False).words(3, weight=30)
    assert [b.state(s)[0] for s in (1, 2, 3)] == ["draining", "down", "degraded"]
    b.wait(20 * SECOND)
    assert [b.state(s)[0] for s in (1, 2, 3)] == ["draining", "ready", "ready"]


def test_a_check_counts_in_a_row_and_agents_at_once():
    b = Watched().checked(1, times=2).checked(1, CheckOutcome.PASSED).checked(1, times=2)
    assert b.state()[0] == "ready"
    assert b.checked(1).state() == ("down", 0, "check")
    b.wait(2 * SECOND)
    assert b.checked(1, CheckOutcome.PASSED).state()[0] == "down"
    assert b.checked(1, CheckOutcome.PASSED).state() == ("degraded", START, "slow-start")
    assert b.checked(2, CheckOutcome.DISMISSED).state(2)[0] == "down", "asked to be taken out: one is enough"
    assert b.checked(3, CheckOutcome.DEGRADED).state(3) == ("degraded", 100, "check")


def test_attempts_that_fail_in_a_row_take_out_for_a_while():
    b = Watched()
    for _ in range(9):
        b.feed(AttemptObserved(1, AttemptStatus.CONNECT_FAILED))
    b.feed(AttemptObserved(1, AttemptStatus.OK))
    for _ in range(9):
        b.feed(AttemptObserved(1, AttemptStatus.RESET))
    assert b.state()[0] == "ready"
    assert b.feed(AttemptObserved(1, AttemptStatus.RESET)).state() == ("down", 0, "passive")
    assert b.wait(5 * SECOND).state() == ("degraded", START, "slow-start")


def test_an_old_result_is_not_believed_after_a_newer_one():
    """Across a reconnect the old line may come last."""
    b = Watched()
    old, new = b.registry.begin_check(), b.registry.begin_check()
    b.feed(AgentReported(1, "agent", new, AgentReport(up=False))).feed(
        AgentReported(1, "agent", old, AgentReport(up=True))
    )
    assert b.state()[0] == "down" and b.registry.overtaken == 1


def test_what_a_check_that_began_before_a_restart_says_is_of_the_process_before():
    b = Watched().checked(1, times=3)
    number = b.registry.begin_check()
    b.feed(OrderReceived(1, Order.DRAIN)).feed(MembershipReceived(False, [entry(1, started=b.now)]))
    b.feed(CheckCompleted(1, "page", number, CheckOutcome.DISMISSED))
    assert b.state() == ("draining", 0, "order") and not b.registry.members[1].failing_verdict(b.now)
    assert [x.fields["state"] for x in b.said if x.event == "member_state"] == ["down", "draining"], "said once"


def test_panic_begins_beyond_the_limit_is_said_and_ends_after_a_hold():
    b = Watched().words(1, up=False).words(2, up=False)
    assert [b.state(s)[0] for s in (1, 2)] == ["down", "down"]
    b.words(3, up=False)
    assert [b.state(s) for s in (1, 2, 3)] == [("degraded", 100, "panic")] * 3
    assert [s.event for s in b.said if s.event.startswith("panic")] == ["panic_began"]
    for _ in range(3):
        b.words(1, up=False).words(2, up=False).words(3, up=True, after=SECOND)
    assert b.state(1)[2] == "panic"
    for _ in range(3):
        b.words(1, up=False).words(2, up=False).words(3, up=True, after=SECOND)
    assert [b.state(s)[0] for s in (1, 2, 3)] == ["down", "down", "ready"]
    assert [s.event for s in b.said if s.event.startswith("panic")] == ["panic_began", "panic_ended"]


def test_orders_and_drains_are_no_guesses_and_count_in_panic():
    b = Watched().words(1, up=False).words(2, up=False).words(3, up=False).words(4, admin="maint")
    assert b.state(1)[2] == "panic" and b.state(4)[0] == "maintenance"


def test_new_settings_keep_what_a_check_has_found_and_forget_what_is_no_more():
    b = Watched().checked(1, times=3).words(2, admin="drain")
    kept = HealthPolicy(checks=POLICY.checks[1:], max_ejected_ratio=0.5, min_ejection_us=SECOND)
    b.feed(PolicyChanged(kept))
    assert b.state(1)[0] == "down" and b.state(2)[0] == "ready"


def test_the_cadence_follows_doubt():
    b = Watched()
    assert b.cadence(1, "page") == (2 * SECOND, 1)
    assert b.checked(1).cadence(1, "page") == (500_000, 0)
    assert b.checked(1, times=2).cadence(1, "page") == (5 * SECOND, 2)
    assert b.cadence(9, "page") is None and b.cadence(1, "gone") is None
