"""The verdicts of the health registry: each row of the precedence table, panic, and changed settings."""

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
from tests.health_harness import POLICY, SECOND, START_PERCENT, RegistryHarness, make_endpoint

# The precedence table, row by row


def test_the_membership_takes_precedence_over_all_other_evidence():
    harness = RegistryHarness().report(1, up=True, admin="ready", weight=100)
    harness.feed(OrderReceived(1, Order.READY, "me")).feed(
        MembershipReceived(False, [make_endpoint(1, MemberState.DRAINING)])
    )
    assert harness.state() == ("draining", 0, "roster")
    assert harness.report(1, up=True, admin="ready").state() == ("draining", 0, "roster")
    harness.feed(MembershipReceived(False, [make_endpoint(1, MemberState.GONE)]))
    assert 1 not in harness.registry.members and harness.verdicts[1] is None
    assert (
        harness.report(1, up=True).registry.overtaken == 1 and 1 not in harness.registry.members
    ), "only the membership adds a member"


def test_an_order_holds_until_it_is_lifted():
    harness = (
        RegistryHarness().feed(OrderReceived(1, Order.MAINTAIN, "me")).report(1, up=True, admin="ready", weight=100)
    )
    assert harness.state() == ("maintenance", 0, "order")
    assert harness.feed(OrderReceived(1, Order.DRAIN)).state() == ("draining", 0, "order")
    assert harness.feed(OrderReceived(1, Order.READY)).state() == ("degraded", START_PERCENT, "slow-start")


def test_a_silent_agents_drain_holds_while_its_down_and_weight_expire():
    harness = RegistryHarness().report(1, admin="drain").report(2, up=False).report(3, weight=30)
    assert [harness.state(s)[0] for s in (1, 2, 3)] == ["draining", "down", "degraded"]
    harness.wait(20 * SECOND)
    assert [harness.state(s)[0] for s in (1, 2, 3)] == ["draining", "ready", "ready"]


def test_checks_need_consecutive_results_unless_the_member_dismisses_itself():
    harness = RegistryHarness().check(1, times=2).check(1, CheckOutcome.PASSED).check(1, times=2)
    assert harness.state()[0] == "ready"
    assert harness.check(1).state() == ("down", 0, "check")
    harness.wait(2 * SECOND)
    assert harness.check(1, CheckOutcome.PASSED).state()[0] == "down"
    assert harness.check(1, CheckOutcome.PASSED).state() == ("degraded", START_PERCENT, "slow-start")
    assert (
        harness.check(2, CheckOutcome.DISMISSED).state(2)[0] == "down"
    ), "one request of the member to be taken out is enough"
    assert harness.check(3, CheckOutcome.DEGRADED).state(3) == ("degraded", 100, "check")


def test_consecutive_failed_attempts_eject_a_member_temporarily():
    harness = RegistryHarness()
    for _ in range(9):
        harness.feed(AttemptObserved(1, AttemptStatus.CONNECT_FAILED))
    harness.feed(AttemptObserved(1, AttemptStatus.OK))
    for _ in range(9):
        harness.feed(AttemptObserved(1, AttemptStatus.RESET))
    assert harness.state()[0] == "ready"
    assert harness.feed(AttemptObserved(1, AttemptStatus.RESET)).state() == ("down", 0, "passive")
    assert harness.wait(5 * SECOND).state() == ("degraded", START_PERCENT, "slow-start")


def test_a_result_older_than_one_already_received_is_ignored():
    """Across a reconnect an old report may arrive last."""
    harness = RegistryHarness()
    old, new = harness.registry.begin_check(), harness.registry.begin_check()
    harness.feed(AgentReported(1, "agent", new, AgentReport(up=False))).feed(
        AgentReported(1, "agent", old, AgentReport(up=True))
    )
    assert harness.state()[0] == "down" and harness.registry.overtaken == 1


def test_a_check_that_began_before_a_restart_does_not_count_for_the_new_process():
    harness = RegistryHarness().check(1, times=3)
    number = harness.registry.begin_check()
    harness.feed(OrderReceived(1, Order.DRAIN)).feed(MembershipReceived(False, [make_endpoint(1, started=harness.now)]))
    harness.feed(CheckCompleted(1, "page", number, CheckOutcome.DISMISSED))
    assert harness.state() == ("draining", 0, "order") and not harness.registry.members[1].failing_verdict(harness.now)
    assert [x.fields["state"] for x in harness.log_lines if x.event == "member_state"] == [
        "down",
        "draining",
    ], "each state is logged once"


def test_panic_begins_beyond_the_limit_ends_after_the_hold_and_is_logged():
    harness = RegistryHarness().report(1, up=False).report(2, up=False)
    assert [harness.state(s)[0] for s in (1, 2)] == ["down", "down"]
    harness.report(3, up=False)
    assert [harness.state(s) for s in (1, 2, 3)] == [("degraded", 100, "panic")] * 3
    assert [s.event for s in harness.log_lines if s.event.startswith("panic")] == ["panic_began"]
    for _ in range(3):
        harness.report(1, up=False).report(2, up=False).report(3, up=True, after=SECOND)
    assert harness.state(1)[2] == "panic"
    for _ in range(3):
        harness.report(1, up=False).report(2, up=False).report(3, up=True, after=SECOND)
    assert [harness.state(s)[0] for s in (1, 2, 3)] == ["down", "down", "ready"]
    assert [s.event for s in harness.log_lines if s.event.startswith("panic")] == ["panic_began", "panic_ended"]


def test_an_agents_maint_counts_in_panic():
    harness = RegistryHarness().report(1, up=False).report(2, up=False).report(3, up=False).report(4, admin="maint")
    assert harness.state(1)[2] == "panic" and harness.state(4)[0] == "maintenance"


def test_new_settings_keep_the_state_of_remaining_checks_and_drop_that_of_removed_ones():
    harness = RegistryHarness().check(1, times=3).report(2, admin="drain")
    remaining_policy = HealthPolicy(checks=POLICY.checks[1:], max_ejected_ratio=0.5, min_ejection_us=SECOND)
    harness.feed(PolicyChanged(remaining_policy))
    assert harness.state(1)[0] == "down" and harness.state(2)[0] == "ready"


def test_the_cadence_depends_on_the_state_of_the_check():
    harness = RegistryHarness()
    assert harness.cadence(1, "page") == (2 * SECOND, 1)
    assert harness.check(1).cadence(1, "page") == (500_000, 0)
    assert harness.check(1, times=2).cadence(1, "page") == (5 * SECOND, 2)
    assert harness.cadence(9, "page") is None and harness.cadence(1, "gone") is None
