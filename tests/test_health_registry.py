"""The verdict on members: the table of precedence row by row, and properties over any order of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from rookbend.core.check_result import Outcome, Words
from rookbend.core.model import Endpoint
from rookbend.health.model import (
    AgentHeard,
    AttemptSeen,
    CheckEnded,
    CheckPolicy,
    HealthPolicy,
    Judged,
    MembershipHeard,
    Order,
    Ordered,
    PolicyChanged,
    Ramp,
    Said,
    State,
    Tick,
)
from rookbend.health.registry import Board
from rookbend.interface import AttemptStatus, Member, MemberState

SECOND = 1_000_000
START, RAMP_US = 20, 10 * SECOND
POLICY = HealthPolicy(
    checks=(CheckPolicy("agent", True, stale_us=5 * SECOND), CheckPolicy("page", rise=2, fall=3)),
    max_out=0.5,
    hold_us=SECOND,
    ramps=(("cache", Ramp(START, RAMP_US)),),
)


def entry(server, state=MemberState.READY, started=0, port=1):
    return Endpoint(Member(server, 8.0, zone=1, state=state, started_us=started), f"m{server}", ("127.0.0.1", port))


class Watched:
    """A board under a clock of the test's, with the member changes it has told."""

    def __init__(self, count=4, policy=POLICY, step=lambda b: None):
        self.step = step
        self.now, self.board, self.told, self.said = 100 * SECOND, Board(policy, lambda e: "cache"), {}, []
        self.feed(MembershipHeard(True, [entry(s) for s in range(1, count + 1)]))

    def feed(self, event, after=0):
        """Time passes in the order in which the board asks for it."""
        until = self.now + after
        while self.board.due_us and self.board.due_us <= until:
            self.now = max(self.now, self.board.due_us)
            self._hear(self.board.handle(self.now, Tick()))
        self.now = until
        self._hear(self.board.handle(self.now, event))
        return self

    def _hear(self, actions):
        self.step(self)
        for action in actions:
            if isinstance(action, Judged):
                self.told[action.server] = action.verdict
            else:
                self.said.append(action)

    def words(self, server, after=0, **words):
        return self.feed(AgentHeard(server, "agent", self.board.begin_check(), Words(**words)), after)

    def checked(self, server, outcome=Outcome.FAILED, times=1, check="page"):
        for _ in range(times):
            self.feed(CheckEnded(server, check, self.board.begin_check(), outcome, "why"), 1)
        return self

    def wait(self, us):
        return self.feed(Tick(), us)

    def state(self, server=1):
        v = self.board.rows[server].verdict
        return v.state.value, v.weight, v.cause.value


# The table, row by row


def test_the_rosters_word_wins_over_all_others():
    b = Watched().words(1, up=True, admin="ready", weight=100)
    b.feed(Ordered(1, Order.READY, "me")).feed(MembershipHeard(False, [entry(1, MemberState.DRAINING)]))
    assert b.state() == ("draining", 0, "roster")
    assert b.words(1, up=True, admin="ready").state() == ("draining", 0, "roster")
    b.feed(MembershipHeard(False, [entry(1, MemberState.GONE)]))
    assert 1 not in b.board.rows and b.told[1] is None
    assert b.words(1, up=True).board.overtaken == 1 and 1 not in b.board.rows, "nothing else adds a member"


def test_an_order_holds_until_it_is_lifted():
    b = Watched().feed(Ordered(1, Order.MAINTAIN, "me")).words(1, up=True, admin="ready", weight=100)
    assert b.state() == ("maintenance", 0, "order")
    assert b.feed(Ordered(1, Order.DRAIN)).state() == ("draining", 0, "order")
    assert b.feed(Ordered(1, Order.READY)).state() == ("degraded", START, "slow-start")


def test_an_agents_drain_outlives_its_silence_and_its_down_does_not():
    b = Watched().words(1, admin="drain").words(2, up=False).words(3, weight=30)
    assert [b.state(s)[0] for s in (1, 2, 3)] == ["draining", "down", "degraded"]
    b.wait(20 * SECOND)
    assert [b.state(s)[0] for s in (1, 2, 3)] == ["draining", "ready", "ready"]


def test_a_check_counts_in_a_row_and_agents_at_once():
    b = Watched().checked(1, times=2).checked(1, Outcome.PASSED).checked(1, times=2)
    assert b.state()[0] == "ready"
    assert b.checked(1).state() == ("down", 0, "check")
    b.wait(2 * SECOND)
    assert b.checked(1, Outcome.PASSED).state()[0] == "down"
    assert b.checked(1, Outcome.PASSED).state() == ("degraded", START, "slow-start")
    assert b.checked(2, Outcome.DISMISSED).state(2)[0] == "down", "asked to be taken out: one is enough"
    assert b.checked(3, Outcome.DEGRADED).state(3) == ("degraded", 100, "check")


def test_attempts_that_fail_in_a_row_take_out_for_a_while():
    b = Watched()
    for _ in range(9):
        b.feed(AttemptSeen(1, AttemptStatus.CONNECT_FAILED))
    b.feed(AttemptSeen(1, AttemptStatus.OK))
    for _ in range(9):
        b.feed(AttemptSeen(1, AttemptStatus.RESET))
    assert b.state()[0] == "ready"
    assert b.feed(AttemptSeen(1, AttemptStatus.RESET)).state() == ("down", 0, "passive")
    assert b.wait(5 * SECOND).state() == ("degraded", START, "slow-start")


def test_an_old_result_is_not_believed_after_a_newer_one():
    """Across a reconnect the old line may come last."""
    b = Watched()
    old, new = b.board.begin_check(), b.board.begin_check()
    b.feed(AgentHeard(1, "agent", new, Words(up=False))).feed(AgentHeard(1, "agent", old, Words(up=True)))
    assert b.state()[0] == "down" and b.board.overtaken == 1


def test_what_a_check_that_began_before_a_restart_says_is_of_the_process_before():
    b = Watched().checked(1, times=3)
    number = b.board.begin_check()
    b.feed(Ordered(1, Order.DRAIN)).feed(MembershipHeard(False, [entry(1, started=b.now)]))
    b.feed(CheckEnded(1, "page", number, Outcome.DISMISSED))
    assert b.state() == ("draining", 0, "order") and not b.board.rows[1].failing(b.now)
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
    kept = HealthPolicy(checks=POLICY.checks[1:], max_out=0.5, hold_us=SECOND)
    b.feed(PolicyChanged(kept))
    assert b.state(1)[0] == "down" and b.state(2)[0] == "ready"


def test_the_cadence_follows_doubt():
    b = Watched()
    assert b.board.cadence(1, "page") == (2 * SECOND, 1)
    assert b.checked(1).board.cadence(1, "page") == (500_000, 0)
    assert b.checked(1, times=2).board.cadence(1, "page") == (5 * SECOND, 2)
    assert b.board.cadence(9, "page") is None and b.board.cadence(1, "gone") is None


# Properties

SERVERS = st.integers(1, 5)
EVENTS = st.one_of(
    st.builds(lambda s, state: MembershipHeard(False, [entry(s, state)]), SERVERS, st.sampled_from(MemberState)),
    st.builds(
        lambda s, up, admin, w: ("words", s, dict(up=up, admin=admin, weight=w)),
        SERVERS,
        st.sampled_from([None, True, False, False]),
        st.sampled_from([None] * 6 + ["ready", "drain", "maint"]),
        st.sampled_from([None, None, 0, 40, 100]),
    ),
    st.builds(lambda s, o, n: ("checked", s, o, n), SERVERS, st.sampled_from(Outcome), st.sampled_from([1, 2, 3, 3])),
    st.builds(
        AttemptSeen, SERVERS, st.sampled_from([AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED])
    ),
    st.builds(Ordered, SERVERS, st.sampled_from(Order), st.just("")),
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
        rows = b.board.rows.values()
        for row in rows:
            if row.entry.member.state is not MemberState.READY:
                assert not row.verdict.state.in_use
        eligible = [r for r in rows if r.asked_out() is None]
        out = [r for r in eligible if r.verdict.state is State.DOWN]
        assert len(out) <= len(eligible) * POLICY.max_out
        for server, verdict in b.told.items():
            row = b.board.rows.get(server)
            assert (row is None) is (verdict is None)
            assert row is None or (row.verdict.state, row.verdict.weight) == (verdict.state, verdict.weight)

    live(history, look)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(HISTORY)
def test_a_weight_rises_no_faster_than_slow_start_allows(history):
    """From what it was, at the stated pace; once out, from the first share, or in panic from what it was."""
    seen = {}

    def step(b):
        for server, row in b.board.rows.items():
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
    assert len(b.board._due) <= 4 * len(b.board.rows) + 64 + 1
    b.feed(MembershipHeard(True, []))
    assert not b.board.rows and not b.board.tiers and not b.board._armed
    assert all(isinstance(s, Said) for s in b.said)
