"""All that is known of one member, and the verdict it adds up to but for the limit on its tier.

The row's size is fixed by the number of checks: counters, the last words and times, never a history. It goes
with the member; a new id begins with nothing, whatever was known of the address.
"""

from __future__ import annotations

from rookbend.core.check_result import Outcome
from rookbend.core.model import Endpoint
from rookbend.health.model import (
    FULL,
    AgentHeard,
    Cause,
    CheckEnded,
    CheckPolicy,
    HealthPolicy,
    Order,
    Ramp,
    State,
    Verdict,
)
from rookbend.interface import AttemptStatus, MemberState

STEP = 5  # percent: a rising weight is published in such steps
LONGEST_REASON = 120
STREAK_MOST = 1_000
PASSIVE_BAD = (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET)
PASSIVE_GOOD = (AttemptStatus.OK, AttemptStatus.MISS, AttemptStatus.FULL, AttemptStatus.ERROR)


class Opinion:
    """What one check has to say about one member."""

    __slots__ = (
        "admin",
        "degraded",
        "down",
        "heard",
        "heard_us",
        "number",
        "outcome",
        "policy",
        "reason",
        "streak",
        "trouble",
        "weight",
    )

    def __init__(self, policy: CheckPolicy, number: int):
        self.policy = policy
        self.number = number + 1  # the least that is believed: of the newest heard, or begun since
        self.down = False
        self.degraded = False
        self.streak = 0  # results in a row against `down`
        self.admin = ""  # an agent's drain or maint
        self.weight = FULL
        self.heard = False  # whether anything was ever heard
        self.heard_us = 0  # when it last said something that counts
        self.outcome: Outcome | None = None
        self.reason = ""
        self.trouble = ""  # why the newest check gave nothing, for operators

    def stale(self, now: int) -> bool:
        return self.heard and now - self.heard_us >= self.policy.stale_us

    def is_down(self, now: int) -> bool:
        """An old `down` counts no more: whoever said it has been silent since, and others may know better.
        A check that is made again and again renews its own."""
        return self.down and not self.stale(now)

    def weight_at(self, now: int) -> int:
        return FULL if self.stale(now) else self.weight

    def take_words(self, now: int, event: AgentHeard) -> None:
        w = event.words
        self.heard, self.heard_us, self.trouble = True, now, ""
        # An agent counts for itself: its word is taken at once, in both directions; the hold damps it.
        if w.up is not None:
            self.down = not w.up
        if w.admin is not None:
            self.admin = "" if w.admin == "ready" else w.admin
        if w.weight is not None:
            self.weight = min(max(w.weight, 0), FULL)
        self.outcome = Outcome.FAILED if self.down else Outcome.PASSED
        self.reason = w.reason[:LONGEST_REASON]

    def take_result(self, now: int, event: CheckEnded) -> None:
        self.outcome, self.trouble = event.outcome, ""
        if self.policy.is_agent:
            # No word: what it said before holds until it is stale. Silence proves nothing about the box.
            self.trouble = f"{event.outcome.value} {event.reason}".strip()[:LONGEST_REASON]
            return
        self.heard, self.heard_us = True, now
        self.degraded = event.outcome is Outcome.DEGRADED
        if event.outcome.passes is not self.down:
            self.streak = 0
            if self.down:
                self.reason = event.reason[:LONGEST_REASON]
            return
        self.streak = min(self.streak + 1, STREAK_MOST)
        needed = self.policy.rise if self.down else self.policy.fall
        if event.outcome is Outcome.DISMISSED or self.streak >= needed:
            self.down, self.streak = not self.down, 0
            self.reason = event.reason[:LONGEST_REASON]

    def in_doubt(self) -> bool:
        """An agent is never: it counts at once, and asking a stalled one more often tells no more."""
        return self.streak > 0


def opinions_for(role: str, policy: HealthPolicy, number: int) -> dict[str, Opinion]:
    """Of the checks that a member of this role gets, with nothing heard yet."""
    return {c.name: Opinion(c, number) for c in policy.checks if c.tier in (role, "all")}


class Row:
    """One member: its membership entry, orders, opinions, passive count, hold and slow start."""

    __slots__ = (
        "back_us",
        "bound",
        "cold_us",
        "entry",
        "flaps",
        "hold_until",
        "level",
        "opinions",
        "order",
        "order_by",
        "order_us",
        "out_since",
        "passive",
        "passive_since",
        "passive_until",
        "ramp_from",
        "ramp_us",
        "refused",
        "role",
        "roster_us",
        "taken_out",
        "verdict",
    )

    def __init__(self, entry: Endpoint, role: str, policy: HealthPolicy, number: int, now: int):
        """`number` is the newest check's: nothing that began before this row counts for it."""
        self.entry, self.role, self.roster_us = entry, role, now
        self.opinions = opinions_for(role, policy, number)
        self.order, self.order_us, self.order_by = Order.READY, 0, ""
        self.passive = 0  # attempts in a row that failed
        self.passive_since = self.passive_until = 0  # held against it from, until
        self.taken_out = False  # failing by checks, whether or not the tier's limit lets that count
        self.out_since = 0
        self.hold_until = self.flaps = 0
        self.back_us = 0  # when it last came back from 5
        self.refused = False  # while out, something showed that its process did not run
        self.cold_us = 0  # it came back from that then: taken for empty
        self.ramp_from, self.ramp_us = FULL, 0  # percent from which it rises, and since when
        self.level = FULL  # percent it has, while in use
        self.bound = True  # by its agents, not by the slow start
        self.verdict: Verdict | None = None

    # Evidence

    def is_overtaken(self, check: str, number: int) -> bool:
        """Whether a result is of a check that is no more, or older than one heard: across a reconnect an
        old line may come last."""
        opinion = self.opinions.get(check)
        return opinion is None or number < opinion.number

    def hear_words(self, now: int, event: AgentHeard) -> None:
        opinion = self.opinions[event.check]
        opinion.number = event.number
        opinion.take_words(now, event)

    def hear_result(self, now: int, event: CheckEnded) -> None:
        opinion = self.opinions[event.check]
        opinion.number = event.number
        opinion.take_result(now, event)
        self.refused |= event.outcome is Outcome.REFUSED

    def see_attempt(self, now: int, status: AttemptStatus, policy: HealthPolicy) -> None:
        if status in PASSIVE_GOOD:
            self.passive = self.passive_until = 0
        elif status in PASSIVE_BAD and policy.passive_fall:
            self.passive += 1
            if self.passive >= policy.passive_fall:
                # Held for a while, then it may show itself again: nothing is sent there meanwhile.
                self.passive = 0
                self.passive_since, self.passive_until = now, now + policy.passive_hold_us
                self.refused |= status is AttemptStatus.CONNECT_FAILED

    # Rows 1 to 4 of the table: what people and the member's own agents ask for

    def asked_out(self) -> Verdict | None:
        if self.entry.member.state is not MemberState.READY:
            return Verdict(State.DRAINING, 0, Cause.MEMBERSHIP, "draining", self.roster_us)
        if self.order is Order.MAINTAIN:
            return Verdict(State.MAINTENANCE, 0, Cause.ORDER, f"by {self.order_by}", self.order_us)
        if self.order is Order.DRAIN:
            return Verdict(State.DRAINING, 0, Cause.ORDER, f"by {self.order_by}", self.order_us)
        # An agent's drain or maint is an order of the member's own people: silence does not lift it.
        for word, state in (("maint", State.MAINTENANCE), ("drain", State.DRAINING)):
            for name, o in self.opinions.items():
                if o.admin == word:
                    return Verdict(state, 0, Cause.AGENT, f"{name}: {word} {o.reason}".rstrip(), o.heard_us)
        return None

    def asked_zero(self, now: int) -> Verdict | None:
        for name, o in self.opinions.items():
            if not o.weight_at(now):
                return Verdict(State.DRAINING, 0, Cause.AGENT, f"{name}: 0% {o.reason}".rstrip(), o.heard_us)
        return None

    # Row 5 and 6

    def failing(self, now: int) -> Verdict | None:
        """What the checks say against it."""
        for name, o in self.opinions.items():
            if o.is_down(now):
                cause = Cause.AGENT if o.policy.is_agent else Cause.CHECK
                return Verdict(State.DOWN, 0, cause, f"{name}: {o.reason or 'down'}", o.heard_us)
        if now < self.passive_until:
            return Verdict(State.DOWN, 0, Cause.PASSIVE, "attempts failed in a row", self.passive_since)
        return None

    def judge_failing(self, now: int, policy: HealthPolicy) -> Verdict | None:
        """`failing`, with the hold: one that comes and goes stays out for longer each time."""
        against = self.failing(now)
        if against is not None:
            if not self.taken_out:
                self._go_out(now, policy)
            return against
        if self.taken_out:
            if now < self.hold_until:
                return Verdict(State.DOWN, 0, Cause.HOLD, f"came and went {self.flaps} times", self.out_since)
            self.taken_out, self.back_us = False, now
            if self.refused:
                self.cold_us, self.refused = now, False
        return None

    def _go_out(self, now: int, policy: HealthPolicy) -> None:
        quick = self.back_us and now - self.back_us < policy.flap_window_us
        # It forgets as it went: a quiet window forgives one flap, not all of them.
        quiet = (now - self.back_us) // policy.flap_window_us if self.back_us else 0
        self.flaps = self.flaps + 1 if quick else max(0, self.flaps - quiet)
        self.taken_out, self.out_since = True, now
        hold = policy.hold_us << min(self.flaps, 20)
        self.hold_until = now + min(hold, policy.hold_most_us)

    # Row 7

    def target(self, now: int) -> int:
        return min((o.weight_at(now) for o in self.opinions.values()), default=FULL)

    def ramp_at(self, now: int, ramp: Ramp) -> int:
        """The most that slow start allows: from `ramp_from` at `ramp_us`, evenly. Rounded down, to a step
        while on its way."""
        if self.ramp_from >= FULL or not ramp.takes_us or ramp.start >= FULL:
            return FULL
        risen = self.ramp_from + (FULL - ramp.start) * (now - self.ramp_us) // ramp.takes_us
        return FULL if risen >= FULL else max(self.ramp_from, risen // STEP * STEP)

    def next_step(self, now: int, ramp: Ramp) -> int:
        """When the ramp's published value next changes, or 0."""
        level = self.ramp_at(now, ramp)
        if level >= FULL:
            return 0
        goal = min(FULL, level // STEP * STEP + STEP)
        span = FULL - ramp.start
        return max(now + 1, self.ramp_us + -(-(goal - self.ramp_from) * ramp.takes_us // span))

    def come_back(self, now: int, ramp: Ramp) -> None:
        """In use again: from the tier's first share on."""
        self.ramp_from, self.ramp_us, self.bound = ramp.start, now, False

    def resume(self, now: int) -> None:
        """In use again as if never out, since what took it out is ignored: from the level it had."""
        self.ramp_from, self.ramp_us, self.bound = max(1, self.level), now, False

    def settle_level(self, now: int, ramp: Ramp) -> int:
        """Its weight now. Falls at once; rises no faster than slow start, also where only an agent's own
        weight had kept it down."""
        target = self.target(now)
        if self.bound and target > self.level:
            self.ramp_from, self.ramp_us = max(1, self.level), now
        cap = self.ramp_at(now, ramp)
        self.level, self.bound = min(target, cap), target <= cap
        return self.level

    def in_doubt(self) -> bool:
        return self.passive > 0 or any(o.in_doubt() for o in self.opinions.values())

    def next_change(self, now: int, ramp: Ramp) -> int:
        """When time alone next changes the verdict, or 0."""
        times = [
            o.heard_us + o.policy.stale_us
            for o in self.opinions.values()
            if o.heard and (o.down or o.weight < FULL) and not o.stale(now)
        ]
        if self.taken_out:
            times.append(self.hold_until)
        times += [self.passive_until, self.next_step(now, ramp)]
        return min((t for t in times if t > now), default=0)
