"""The board: one row a member, fed with evidence, answering with verdicts. Pure: no I/O, no clock.

`handle(now, event)` gives the actions that follow; `due_us` is when a `Tick` is next of use. An event costs
the work of one row; a whole tier is looked at only when its panic begins or ends.

The limit on a tier (its members of one kind and zone): of those that neither the membership nor people have taken
out, checks may take out `max_out` of the count, rounded down. Would they take out more, they are all ignored
for that tier (panic), and that is said: when everything seems to fail at once, it is more likely that we do.
Panic ends once the count against has stayed within the limit for `panic_hold_us`. An agent's `drain` or
`maint` and an operator's order are nobody's guess and count in panic too.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from rookbend.core.model import Endpoint
from rookbend.health.member import Row, opinions_for
from rookbend.health.model import (
    FULL,
    Action,
    AgentHeard,
    AttemptSeen,
    Cause,
    CheckEnded,
    CheckPolicy,
    Event,
    HealthPolicy,
    Judged,
    MembershipHeard,
    Ordered,
    PolicyChanged,
    Ramp,
    Said,
    State,
    Tick,
    Verdict,
)
from rookbend.interface import MemberState
from rookbend.scheduling.scheduler import IDLE, NORMAL, URGENT

NO_RAMP = Ramp()


class Tier:
    """Members of one kind and zone: how many may be taken out, and how many checks would take out."""

    __slots__ = ("against", "calm_since", "eligible", "kind", "panic", "rows", "zone")

    def __init__(self, kind: int, zone: int):
        self.kind, self.zone = kind, zone
        self.rows: set[int] = set()
        self.eligible: set[int] = set()  # neither the membership nor people have taken them out
        self.against: set[int] = set()  # of these, the ones that checks speak against
        self.panic = False
        self.calm_since = 0  # in panic: within the limit since then, or 0

    def limit(self, max_out: float) -> int:
        return int(max_out * len(self.eligible) + 1e-9)


class Board:
    """`role_of` names a member's role from its entry: cache, parent or origin."""

    def __init__(self, policy: HealthPolicy, role_of: Callable[[Endpoint], str]):
        self.policy, self.role_of = policy, role_of
        self.ramps = dict(policy.ramps)
        self.rows: dict[int, Row] = {}
        self.tiers: dict[tuple[int, int], Tier] = {}
        self.number = 0  # of the newest check begun
        self.out: list[Action] = []
        self._due: list[tuple[int, int]] = []  # (when, server), 0 for a tier's calm; stale rows pass
        self._armed: dict[int, int] = {}  # server: the time it is armed for
        self.overtaken = 0  # results not believed: of a check or member that is no more

    @property
    def due_us(self) -> int:
        return self._due[0][0] if self._due else 0

    def begin_check(self) -> int:
        """The number of a check that begins now."""
        self.number += 1
        return self.number

    def handle(self, now: int, event: Event) -> list[Action]:
        self.out = []
        HANDLERS[type(event)](self, now, event)
        return self.out

    # Events

    def _membership(self, now: int, event: MembershipHeard) -> None:
        if event.complete:
            named = {e.member.server for e in event.entries}
            for server in [s for s in self.rows if s not in named]:
                self._drop(now, server)
        for entry in event.entries:
            server, row = entry.member.server, self.rows.get(entry.member.server)
            if entry.member.state is MemberState.GONE:
                self._drop(now, server)
            elif row is None:
                self._add(now, entry)
            else:
                self._renew(now, row, entry)

    def _add(self, now: int, entry: Endpoint, before: Row | None = None) -> None:
        """A new row. What people have ordered of the member `before` holds, whatever runs there now."""
        server = entry.member.server
        row = self.rows[server] = Row(entry, self.role_of(entry), self.policy, self.number, now)
        if before is not None:
            row.order, row.order_us, row.order_by = before.order, before.order_us, before.order_by
        key = entry.member.kind, entry.member.zone
        tier = self.tiers.get(key) or self.tiers.setdefault(key, Tier(*key))
        tier.rows.add(server)
        self._judge(now, row, forced=True)

    def _renew(self, now: int, row: Row, entry: Endpoint) -> None:
        old, new = row.entry.member, entry.member
        if (
            (new.kind, new.zone) != (old.kind, old.zone)
            or new.started_us > old.started_us
            or entry.address != row.entry.address
        ):
            # Another process, or another place: what was seen of the old one is no evidence on this one.
            self._drop(now, new.server, told=False)
            return self._add(now, entry, row)
        if new.state is not old.state:
            row.roster_us = now
        row.entry = entry
        self._judge(now, row, forced=True)

    def _drop(self, now: int, server: int, told: bool = True) -> None:
        row = self.rows.pop(server, None)
        if row is None:
            return
        key = row.entry.member.kind, row.entry.member.zone
        tier = self.tiers[key]
        for members in (tier.rows, tier.eligible, tier.against):
            members.discard(server)
        self._armed.pop(server, None)
        if not tier.rows:
            del self.tiers[key]
        else:
            self._weigh_tier(now, tier)
        if told:
            self.out.append(Judged(server, None))

    def _result(self, now: int, event: AgentHeard | CheckEnded) -> None:
        row = self.rows.get(event.server)
        if row is None or row.is_overtaken(event.check, event.number):
            self.overtaken += 1
            return
        if type(event) is AgentHeard:
            row.hear_words(now, event)
        else:
            row.hear_result(now, event)
        self._judge(now, row)

    def _attempt(self, now: int, event: AttemptSeen) -> None:
        row = self.rows.get(event.server)
        if row is None:
            return
        before = row.passive_until
        row.see_attempt(now, event.status, self.policy)
        if row.passive_until != before:  # else nothing that a verdict rests on
            self._judge(now, row)

    def _ordered(self, now: int, event: Ordered) -> None:
        row = self.rows.get(event.server)
        if row is not None:
            row.order, row.order_us, row.order_by = event.order, now, event.by[:40]
            self.out.append(
                Said("order", "warning", {"member": row.entry.name, "order": event.order.value, "by": row.order_by})
            )
            self._judge(now, row)

    def _policy(self, now: int, event: PolicyChanged) -> None:
        """New checks and figures. What a check of the same name and kind has found is kept."""
        self.policy, self.ramps = event.policy, dict(event.policy.ramps)
        for row in self.rows.values():
            old, fresh = row.opinions, opinions_for(row.role, event.policy, self.number)
            for name, opinion in fresh.items():
                if name in old and old[name].policy.is_agent is opinion.policy.is_agent:
                    old[name].policy = opinion.policy
                    fresh[name] = old[name]
            row.opinions = fresh
        for row in list(self.rows.values()):
            self._judge(now, row)

    def _tick(self, now: int, event: Tick) -> None:
        while self._due and self._due[0][0] <= now:
            at, server = heapq.heappop(self._due)
            if not server:
                for tier in self.tiers.values():
                    self._weigh_tier(now, tier)
            elif self._armed.get(server) == at:
                del self._armed[server]
                self._judge(now, self.rows[server])

    # Verdicts

    def _judge(self, now: int, row: Row, forced: bool = False) -> None:
        """Takes what is known of one member to its verdict, by way of its tier."""
        server = row.entry.member.server
        tier = self.tiers[row.entry.member.kind, row.entry.member.zone]
        asked = row.asked_out()
        against = row.judge_failing(now, self.policy)
        _put(tier.eligible, server, asked is None)
        _put(tier.against, server, asked is None and against is not None)
        self._weigh_tier(now, tier)
        self._publish(now, row, tier, asked, against, forced)

    def _weigh_tier(self, now: int, tier: Tier) -> None:
        """Begins or ends a tier's panic."""
        limit, against = tier.limit(self.policy.max_out), len(tier.against)
        before = tier.panic
        if against > limit:
            tier.panic, tier.calm_since = True, 0
        elif tier.panic and not tier.calm_since:
            tier.calm_since = now
            heapq.heappush(self._due, (now + self.policy.panic_hold_us, 0))
        elif tier.panic and now >= tier.calm_since + self.policy.panic_hold_us:
            tier.panic = False
        if tier.panic is before:
            return
        self.out.append(
            Said(
                "panic_began" if tier.panic else "panic_ended",
                "error",
                {
                    "kind": tier.kind,
                    "zone": tier.zone,
                    "against": against,
                    "eligible": len(tier.eligible),
                    "limit": limit,
                },
            )
        )
        for server in sorted(tier.against):
            row = self.rows[server]
            self._publish(now, row, tier, None, row.judge_failing(now, self.policy), False)

    def _publish(
        self, now: int, row: Row, tier: Tier, asked: Verdict | None, against: Verdict | None, forced: bool
    ) -> None:
        old, ramp = row.verdict, self.ramps.get(row.role, NO_RAMP)
        new = asked or (None if tier.panic else against) or row.asked_zero(now) or self._in_use(now, row, ramp, against)
        row.verdict = new
        self._arm(now, row, ramp)
        server = row.entry.member.server
        if (
            forced
            or old is None
            or (old.state, old.weight, old.cold_since_us) != (new.state, new.weight, new.cold_since_us)
        ):
            self.out.append(Judged(server, new))
        if old is not None and old.state is not new.state:
            self.out.append(
                Said(
                    "member_state",
                    "info" if new.state.in_use else "warning",
                    {
                        "member": row.entry.name,
                        "state": new.state.value,
                        "was": old.state.value,
                        "weight": new.weight,
                        "cause": new.cause.value,
                        "reason": new.reason,
                    },
                )
            )

    def _in_use(self, now: int, row: Row, ramp: Ramp, ignored: Verdict | None) -> Verdict:
        """The verdict on a member that is in use; `ignored` is what checks said against it, in panic."""
        old = row.verdict
        if old is not None and not old.state.in_use:
            if ignored is not None and old.state is State.DOWN:
                row.resume(now)
            else:
                row.come_back(now, ramp)
        level = row.settle_level(now, ramp)
        if ignored is not None:
            return Verdict(
                State.DEGRADED, level, Cause.PANIC, f"ignored: {ignored.reason}", ignored.since_us, row.cold_us
            )
        if not row.bound:
            return Verdict(State.DEGRADED, level, Cause.SLOW_START, "back since", row.ramp_us, row.cold_us)
        for name, o in row.opinions.items():
            if o.weight_at(now) == level < FULL:
                return Verdict(
                    State.DEGRADED, level, Cause.AGENT, f"{name}: {level}% {o.reason}".rstrip(), o.heard_us, row.cold_us
                )
        for name, o in row.opinions.items():
            if o.degraded and not o.stale(now):
                return Verdict(
                    State.DEGRADED, level, Cause.CHECK, f"{name}: {o.reason or 'degraded'}", o.heard_us, row.cold_us
                )
        heard = max((o.heard_us for o in row.opinions.values()), default=0) or row.roster_us
        return Verdict(State.READY, level, Cause.NOTHING, "", heard, row.cold_us)

    def _arm(self, now: int, row: Row, ramp: Ramp) -> None:
        server, due = row.entry.member.server, row.next_change(now, ramp)
        if due and self._armed.get(server, 0) != due:
            self._armed[server] = due
            heapq.heappush(self._due, (due, server))
        elif not due:
            self._armed.pop(server, None)
        if len(self._due) > 4 * len(self.rows) + 64:
            # Rows armed anew leave old entries behind; a flapping agent must not fill the heap with them.
            self._due = [(at, s) for s, at in self._armed.items()]
            self._due += [
                (t.calm_since + self.policy.panic_hold_us, 0) for t in self.tiers.values() if t.panic and t.calm_since
            ]
            heapq.heapify(self._due)

    # What the scheduler of checks asks

    def checks_of(self, server: int) -> list[CheckPolicy]:
        row = self.rows.get(server)
        return [o.policy for o in row.opinions.values()] if row is not None else []

    def cadence(self, server: int, check: str) -> tuple[int, int] | None:
        """(microseconds to the next run of a check, its priority), or None where it is no more."""
        row = self.rows.get(server)
        opinion = row.opinions.get(check) if row is not None else None
        if opinion is None:
            return None
        policy = opinion.policy
        if opinion.in_doubt():
            return policy.fast_us, URGENT
        if opinion.down:
            # Out for long it costs little to learn a little later that it is back.
            return policy.down_us, IDLE
        return policy.interval_us, URGENT if row.in_doubt() else NORMAL


def _put(members: set[int], server: int, inside: bool) -> None:
    if inside:
        members.add(server)
    else:
        members.discard(server)


HANDLERS = {
    MembershipHeard: Board._membership,
    AgentHeard: Board._result,
    CheckEnded: Board._result,
    AttemptSeen: Board._attempt,
    Ordered: Board._ordered,
    PolicyChanged: Board._policy,
    Tick: Board._tick,
}
