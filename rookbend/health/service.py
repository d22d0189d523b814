"""The desk: carries evidence to the board, and its verdicts to the engine as changes of members.

The decision module hears of a member what the membership and health add up to. Taken out, a member is told as
draining: nothing new goes there, what is out ends by itself, and its place in the hash order stays. That
goes to the engine within the call that heard of it, so `may_write` holds back what waits in a queue. What
only raises a weight is gathered for `GATHER_US`, as a thousand slow starts would else make the module sort
its lists a thousand times.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from rookbend.core.engine import Engine
from rookbend.core.model import Endpoint, MembershipChange
from rookbend.health.member import PASSIVE_GOOD
from rookbend.health.model import FULL, AttemptSeen, Event, Judged, MembershipHeard, Tick, Verdict
from rookbend.health.registry import Board
from rookbend.interface import AttemptStatus, MemberState, Settings

GATHER_US = 100_000
ROLES = "cache", "parent", "origin"


def role_namer(settings: Settings) -> Callable[[Endpoint], str]:
    """A function from a membership entry to the member's role."""
    names = {settings.parent_kind: "parent", settings.origin_kind: "origin"}
    return lambda entry: names.get(entry.member.kind, "cache")


class Desk:
    """`on_members(added, removed)` hears of members by number, `on_due(when)` that `tick` is due then."""

    def __init__(self, engine: Engine, board: Board, log: Callable[..., None]):
        self.engine, self.board, self.log = engine, board, log
        self.on_members: Callable[[list[int], list[int]], None] = lambda added, removed: None
        self.on_due: Callable[[int], None] = lambda due: None
        self._pending: dict[int, None] = {}  # raised, not told yet
        self._flush_us = 0
        self._told_due = 0

    # Evidence

    def membership_changed(self, change: MembershipChange) -> None:
        """The coordinator's list, or a part of it; what the engine gets is weighed."""
        before = set(self.board.rows)
        now = self.engine.clock.now()
        judged = self._split(self.board.handle(now, MembershipHeard(change.complete, change.endpoints)))
        after = self.board.rows
        entries = [self.effective(e.member.server) or e for e in change.endpoints]
        named = {e.member.server for e in change.endpoints}
        # What a member's leaving did to others of its tier goes along.
        entries += [self.effective(s) for s in judged if s in after and s not in named]
        self.engine.membership_changed(MembershipChange(change.complete, change.version, entries))
        for server in [s for s in self._pending if s not in after]:
            del self._pending[server]
        self.on_members([s for s in after if s not in before], [s for s in before if s not in after])
        self._tell_due()

    def feed(self, event: Event) -> None:
        """Evidence of any other kind."""
        now = self.engine.clock.now()
        judged = self._split(self.board.handle(now, event))
        urgent = []
        for server, verdict in judged.items():
            if verdict is None:
                continue
            old, new = self.engine.endpoints.get(server), self.effective(server)
            if old is None or self._lowers(old, new):
                self._pending.pop(server, None)
                urgent.append(new)
            elif server not in self._pending:
                self._flush_us = self._flush_us or now + GATHER_US
                self._pending[server] = None
        if urgent:
            self.engine.health_changed(urgent)
        self._tell_due()

    def attempt_ended(self, server: int, status: AttemptStatus) -> None:
        row = self.board.rows.get(server)
        if row is None or (status in PASSIVE_GOOD and not row.passive and not row.passive_until):
            return  # nearly all of them: an answer of a member that nothing is held against
        self.feed(AttemptSeen(server, status))

    def tick(self) -> None:
        """What time alone changes, and what was gathered."""
        now = self.engine.clock.now()
        if self._flush_us and now >= self._flush_us:
            self._flush_us = 0
            pending, self._pending = self._pending, {}
            self.engine.health_changed([self.effective(s) for s in pending if s in self.board.rows])
        if self.board.due_us and now >= self.board.due_us:
            self.feed(Tick())
        self._tell_due()

    @property
    def due_us(self) -> int:
        return min((t for t in (self.board.due_us, self._flush_us) if t), default=0)

    # Verdicts

    def _split(self, actions: Iterable) -> dict[int, Verdict | None]:
        """The newest verdict of each member; what is said goes to the log."""
        judged = {}
        for action in actions:
            if type(action) is Judged:
                judged[action.server] = action.verdict
            else:
                self.log(action.event, action.level, **action.fields)
        return judged

    @staticmethod
    def _lowers(before: Endpoint, after: Endpoint) -> bool:
        """Whether the engine must not wait to hear of this: the member loses service or weight."""
        old, new = before.member, after.member
        return (
            new.state is not MemberState.READY
            or new.weight < old.weight
            or old.state is MemberState.READY
            and new.started_us > old.started_us
        )

    def effective(self, server: int) -> Endpoint | None:
        """The membership's entry with the verdict in it; None for one that the membership does not hold."""
        row = self.board.rows.get(server)
        if row is None:
            return None
        verdict, member = row.verdict, row.entry.member
        weighs = self.board.policy.weigh
        weight = member.weight
        if verdict.weight < FULL and (weighs == "all" or (weighs == "caches" and row.role == "cache")):
            weight = member.weight * max(verdict.weight, 1) / FULL
        state = (
            member.state
            if member.state is not MemberState.READY
            else MemberState.READY
            if verdict.state.in_use
            else MemberState.DRAINING
        )
        # What was found dead and came back is empty, whatever the membership says of its start: the module's
        # budgets for cold members bind from then on.
        started = max(member.started_us, row.cold_us)
        if (weight, state, started) == (member.weight, member.state, member.started_us):
            return row.entry
        return Endpoint(
            replace(member, weight=weight, state=state, started_us=started), row.entry.name, row.entry.address
        )

    def _tell_due(self) -> None:
        due = self.due_us
        if due != self._told_due:
            self._told_due = due
            self.on_due(due)

    # What operators read

    def table(self) -> list[dict]:
        """One row a member, for people and programs: times as ages in microseconds."""
        now = self.engine.clock.now()
        rows = sorted(self.board.rows.values(), key=lambda r: (ROLES.index(r.role), r.entry.member.zone, r.entry.name))
        return [self._describe(now, row) for row in rows]

    def _describe(self, now: int, row) -> dict:
        v = row.verdict
        tier = self.board.tiers[row.entry.member.kind, row.entry.member.zone]
        return {
            "member": row.entry.name,
            "role": row.role,
            "zone": row.entry.member.zone,
            "address": "{}:{}".format(*row.entry.address),
            "state": v.state.value,
            "weight": v.weight,
            "cause": v.cause.value,
            "reason": v.reason,
            "age_us": max(0, now - v.since_us),
            "panic": tier.panic,
            "roster": row.entry.member.state.name.lower(),
            "roster_age_us": now - row.roster_us,
            "order": row.order.value,
            "order_by": row.order_by,
            "flaps": row.flaps,
            "hold_us": max(0, row.hold_until - now) if row.taken_out else 0,
            "attempts_failed": row.passive,
            "checks": [
                {
                    "check": name,
                    "down": o.down,
                    "admin": o.admin,
                    "weight": o.weight,
                    "outcome": o.outcome.value if o.outcome else "",
                    "reason": o.reason,
                    "trouble": o.trouble,
                    "age_us": now - o.heard_us if o.heard else None,
                    "stale": o.stale(now),
                }
                for name, o in row.opinions.items()
            ],
        }

    def find(self, name: str) -> int | None:
        """The number of the member of that name."""
        return next((s for s, row in self.board.rows.items() if row.entry.name == name), None)
