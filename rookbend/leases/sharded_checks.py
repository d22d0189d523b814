"""Health checks by owners: what an owner tells of its shard, and what a director makes of it. Pure.

An owner tells, each beat and at each change, which members of its shard are not plainly well, and by one
figure which it has found anything of at all. A director takes that as its own checks' findings: its board
weighs them under the same precedence as ever, membership first, and its own attempts count beside them. It turns
away an older token, and a sequence that is not above the last. What it has not heard of for `SILENT_US` it
checks itself."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from rookbend.core.check_result import AgentReport, CheckOutcome
from rookbend.health.check_state import CheckState
from rookbend.health.events import AgentReported, CheckCompleted
from rookbend.health.member_health import MemberHealth
from rookbend.health.model import FULL

BEAT_US = 500_000
SILENT_US = 2_000_000  # an owner's word counts so long: then each checks for itself
SLOWER = 4  # times its interval a director rests between checks that nobody owns
PARTS = 64  # datagrams that one telling may take
DOWN, DEGRADED, DRAIN, MAINT = 1, 2, 4, 8

Finding = tuple[int, int, int, int]  # server, check's place, flags, weight


def finding(server: int, place: int, o: CheckState) -> Finding:
    admin = {"drain": DRAIN, "maint": MAINT}.get(o.admin, 0)
    return server, place, DOWN * o.down | DEGRADED * o.degraded | admin, o.weight


def told(rows: Iterable[MemberHealth], checks: list[str]) -> tuple[list[Finding], int]:
    """What an owner tells of these members: what is not plainly well, and the figure of those it knows."""
    findings, covered = [], 0
    for row in rows:
        server = row.endpoint.member.server
        opinions = [(checks.index(name), o) for name, o in row.checks.items() if name in checks]
        if opinions and all(o.heard or o.outcome is not None for _, o in opinions):
            covered ^= server
        findings += [f for f in (finding(server, place, o) for place, o in opinions) if f[2] or f[3] != FULL]
    return findings, covered


@dataclass(slots=True)
class Shard:
    """What is known of one shard from its owner."""

    token: int = 0
    sequence: int = 0
    heard_us: int = 0
    parts: dict[int, list[Finding]] = field(default_factory=dict)
    bad: dict[tuple[int, int], tuple[int, int]] = field(default_factory=dict)
    covered: int = 0
    whole: bool = False  # `covered` is what our own list gives


class Follower:
    """A director that hears of members from their shards' owners."""

    def __init__(self):
        self.shards: dict[int, Shard] = {}
        self.overtaken = 0  # tellings not above the last

    def hear(
        self,
        now: int,
        scope: int,
        token: int,
        sequence: int,
        part: int,
        parts: int,
        covered: int,
        rows: Iterable[Finding],
    ) -> bool:
        """Whether a telling is whole with this; its token was accepted already."""
        s = self.shards.setdefault(scope, Shard())
        if (token, sequence) < (s.token, s.sequence) or not 0 <= part < parts <= PARTS:
            self.overtaken += 1
            return False
        if (token, sequence) > (s.token, s.sequence):
            s.token, s.sequence, s.parts = token, sequence, {}
        elif part in s.parts or not s.parts:
            self.overtaken += 1
            return False  # doubled, or of a telling that was whole already
        s.parts[part] = list(rows)
        if len(s.parts) < parts:
            return False
        s.bad = {
            (server, place): (flags, weight) for piece in s.parts.values() for server, place, flags, weight in piece
        }
        s.parts, s.heard_us, s.covered = {}, now, covered
        return True

    def fresh(self, now: int, scope: int) -> bool:
        s = self.shards.get(scope)
        return s is not None and s.whole and s.heard_us > 0 and now - s.heard_us < SILENT_US

    def evidence(
        self, now: int, scope: int, rows: Iterable[MemberHealth], checks: list[str], number: int
    ) -> list[CheckCompleted | AgentReported]:
        """What the newest telling is to our board: only what is news, and now and then a word that nothing
        is, so that it does not go stale. `number` is that of a check that begins now."""
        s, out, ours = self.shards[scope], [], 0
        rows = list(rows)
        for row in rows:
            if any(name in checks for name in row.checks):
                ours ^= row.endpoint.member.server
        s.whole = ours == s.covered
        for row in rows:
            server = row.endpoint.member.server
            for name, o in row.checks.items():
                said = s.bad.get((server, checks.index(name))) if name in checks else None
                if said is None and not s.whole:
                    continue  # its owner may not know of it
                out += _news(now, server, name, o, said or (0, FULL), number)
        return out


def _news(
    now: int, server: int, name: str, o: CheckState, said: tuple[int, int], number: int
) -> list[CheckCompleted | AgentReported]:
    flags, weight = said
    down, degraded = bool(flags & DOWN), bool(flags & DEGRADED)
    aging = not o.heard or now - o.heard_us >= o.policy.stale_us // 3
    if o.policy.is_agent:
        admin = "drain" if flags & DRAIN else "maint" if flags & MAINT else ""
        if not aging and (o.down, o.admin, o.weight) == (down, admin, weight):
            return []
        words = AgentReport(up=not down, admin=admin or "ready", weight=weight, reason="by its owner")
        return [AgentReported(server, name, number, words)]
    if down and not o.down:
        return [CheckCompleted(server, name, number, CheckOutcome.DISMISSED, "by its owner")]  # counts at once
    if not down and o.down:
        well = CheckOutcome.DEGRADED if degraded else CheckOutcome.PASSED
        return [CheckCompleted(server, name, number, well, "by its owner")] * o.policy.rise
    if aging or degraded is not o.degraded:
        outcome = CheckOutcome.FAILED if down else CheckOutcome.DEGRADED if degraded else CheckOutcome.PASSED
        return [CheckCompleted(server, name, number, outcome, "by its owner")]
    return []
