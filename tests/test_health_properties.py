"""Properties of the verdicts on members for arbitrary sequences of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from rookbend.coordination.actions import WriteLogLine
from rookbend.core.check_result import CheckOutcome
from rookbend.health.events import (
    AttemptObserved,
    MembershipReceived,
    OrderReceived,
)
from rookbend.health.model import Order, State
from rookbend.interface import AttemptStatus, MemberState
from tests.health_harness import POLICY, RAMP_US, SECOND, START_PERCENT, RegistryHarness, make_endpoint

SERVERS = st.integers(1, 5)
EVENTS = st.one_of(
    st.builds(
        lambda s, state: MembershipReceived(False, [make_endpoint(s, state)]), SERVERS, st.sampled_from(MemberState)
    ),
    st.builds(
        lambda s, up, admin, w: ("report", s, dict(up=up, admin=admin, weight=w)),
        SERVERS,
        st.sampled_from([None, True, False, False]),
        st.sampled_from([None] * 6 + ["ready", "drain", "maint"]),
        st.sampled_from([None, None, 0, 40, 100]),
    ),
    st.builds(
        lambda s, o, n: ("check", s, o, n), SERVERS, st.sampled_from(CheckOutcome), st.sampled_from([1, 2, 3, 3])
    ),
    st.builds(
        AttemptObserved, SERVERS, st.sampled_from([AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED])
    ),
    st.builds(OrderReceived, SERVERS, st.sampled_from(Order), st.just("")),
)
HISTORY = st.lists(
    st.tuples(EVENTS, st.sampled_from([0, 1, SECOND // 10, SECOND, 3 * SECOND])), min_size=20, max_size=60
)


def run_history(history, inspect=lambda harness: None, on_event=lambda harness: None):
    harness = RegistryHarness(5, on_event=on_event)
    for event, after in history:
        if isinstance(event, tuple):
            kind, server, *rest = event
            harness.wait(after)
            harness.report(server, **rest[0]) if kind == "report" else harness.check(server, rest[0], rest[1])
        else:
            harness.feed(event, after)
        inspect(harness)
    return harness


@settings(max_examples=150, deadline=None, derandomize=True)
@given(HISTORY)
def test_members_are_not_used_against_the_membership_and_ejections_stay_within_the_limit(history):
    def inspect(harness):
        rows = harness.registry.members.values()
        for row in rows:
            if row.endpoint.member.state is not MemberState.READY:
                assert not row.verdict.state.in_use
        eligible = [r for r in rows if r.requested_verdict() is None]
        ejected = [r for r in eligible if r.verdict.state is State.DOWN]
        assert len(ejected) <= len(eligible) * POLICY.max_ejected_ratio
        for server, verdict in harness.verdicts.items():
            row = harness.registry.members.get(server)
            assert (row is None) is (verdict is None)
            assert row is None or (row.verdict.state, row.verdict.weight) == (verdict.state, verdict.weight)

    run_history(history, inspect)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(HISTORY)
def test_a_weight_rises_no_faster_than_slow_start_allows(history):
    """The weight rises from its last value; after an ejection from the initial weight, in panic from its last value."""
    seen = {}

    def on_event(harness):
        for server, row in harness.registry.members.items():
            verdict = row.verdict
            known, level, at, ejected = seen.get(server, (None, 100, harness.now, False))
            if known is not row:
                seen[server] = (
                    row,
                    verdict.weight if verdict.state.in_use else 100,
                    harness.now,
                    not verdict.state.in_use,
                )
            elif not verdict.state.in_use:
                seen[server] = row, level, at, True
            else:
                first = START_PERCENT if ejected and verdict.cause.value != "panic" else level
                assert (
                    verdict.weight
                    <= max(START_PERCENT, first) + (100 - START_PERCENT) * (harness.now - at) / RAMP_US + 5
                )
                seen[server] = row, verdict.weight, harness.now, False

    run_history(history, on_event=on_event)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(HISTORY)
def test_the_same_events_give_the_same_verdicts(history):
    first, second = run_history(history), run_history(history)
    assert first.verdicts == second.verdicts and first.log_lines == second.log_lines


@settings(max_examples=60, deadline=None, derandomize=True)
@given(HISTORY)
def test_state_is_bounded_and_is_removed_with_the_members(history):
    harness = run_history(history * 3)
    assert len(harness.registry.timers) <= 4 * len(harness.registry.members) + 64 + 1
    harness.feed(MembershipReceived(True, []))
    assert not harness.registry.members and not harness.registry.tiers and not harness.registry.timers.armed
    assert all(isinstance(s, WriteLogLine) for s in harness.log_lines)
