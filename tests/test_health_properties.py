"""Properties of the verdicts on members over any order of events."""

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
from tests.health_harness import POLICY, RAMP_US, SECOND, START, Watched, entry

SERVERS = st.integers(1, 5)
EVENTS = st.one_of(
    st.builds(lambda s, state: MembershipReceived(False, [entry(s, state)]), SERVERS, st.sampled_from(MemberState)),
    st.builds(
        lambda s, up, admin, w: ("words", s, dict(up=up, admin=admin, weight=w)),
        SERVERS,
        st.sampled_from([None, True, False, False]),
        st.sampled_from([None] * 6 + ["ready", "drain", "maint"]),
        st.sampled_from([None, None, 0, 40, 100]),
    ),
    st.builds(
        lambda s, o, n: ("checked", s, o, n), SERVERS, st.sampled_from(CheckOutcome), st.sampled_from([1, 2, 3, 3])
    ),
    st.builds(
        AttemptObserved, SERVERS, st.sampled_from([AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED])
    ),
    st.builds(OrderReceived, SERVERS, st.sampled_from(Order), st.just("")),
)
HISTORY = st.lists(
    st.tuples(EVENTS, st.sampled_from([0, 1, SECOND // 10, SECOND, 3 * SECOND])), min_size=20, max_size=60
)


def live(history, look=lambda b: None, step=lambda b: None):
    b = Watched(5, step=step)
    for event, after in history:
        if isinstance(event, tuple):
            what, server, *rest = event
            b.wait(after)
            b.words(server, **rest[0]) if what == "words" else b.checked(server, rest[0], rest[1])
        else:
            b.feed(event, after)
        look(b)
    return b


@settings(max_examples=150, deadline=None, derandomize=True)
@given(HISTORY)
def test_never_in_use_against_the_roster_and_never_more_out_than_stated(history):
    def look(b):
        rows = b.registry.members.values()
        for row in rows:
            if row.endpoint.member.state is not MemberState.READY:
                assert not row.verdict.state.in_use
        eligible = [r for r in rows if r.requested_verdict() is None]
        out = [r for r in eligible if r.verdict.state is State.DOWN]
        assert len(out) <= len(eligible) * POLICY.max_ejected_ratio
        for server, verdict in b.told.items():
            row = b.registry.members.get(server)
            assert (row is None) is (verdict is None)
            assert row is None or (row.verdict.state, row.verdict.weight) == (verdict.state, verdict.weight)

    live(history, look)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(HISTORY)
def test_a_weight_rises_no_faster_than_slow_start_allows(history):
    """From what it was, at the stated pace; once out, from the first share, or in panic from what it was."""
    seen = {}

    def step(b):
        for server, row in b.registry.members.items():
            v = row.verdict
            known, level, at, out = seen.get(server, (None, 100, b.now, False))
            if known is not row:
                seen[server] = row, v.weight if v.state.in_use else 100, b.now, not v.state.in_use
            elif not v.state.in_use:
                seen[server] = row, level, at, True
            else:
                first = START if out and v.cause.value != "panic" else level
                assert v.weight <= max(START, first) + (100 - START) * (b.now - at) / RAMP_US + 5
                seen[server] = row, v.weight, b.now, False

    live(history, step=step)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(HISTORY)
def test_the_same_events_give_the_same_verdicts(history):
    first, second = live(history), live(history)
    assert first.told == second.told and first.said == second.said


@settings(max_examples=60, deadline=None, derandomize=True)
@given(HISTORY)
def test_state_is_bounded_and_goes_with_the_members(history):
    b = live(history * 3)
    assert len(b.registry.timers) <= 4 * len(b.registry.members) + 64 + 1
    b.feed(MembershipReceived(True, []))
    assert not b.registry.members and not b.registry.tiers and not b.registry.timers.armed
    assert all(isinstance(s, WriteLogLine) for s in b.said)
