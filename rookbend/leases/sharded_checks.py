"""Health checks by shard: what a shard's leader publishes, and how other directors apply it.

At intervals and at each change, a leader publishes the members of its shard that are not fully healthy, and a checksum
(exclusive or) of the members that it has results for. A director feeds these to its registry like the results of its
own checks: the same precedence applies (membership first), and the outcomes of its own attempts count as well. Results
with an older token, or with a sequence number that is not above the last, are discarded. If nothing is published for a
shard during `RESULTS_VALID_US`, each director checks the shard's members itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from rookbend.core.check_result import AgentReport, CheckOutcome
from rookbend.health.check_state import CheckState
from rookbend.health.events import AgentReported, CheckCompleted
from rookbend.health.member_health import MemberHealth
from rookbend.health.model import FULL_PERCENT
from rookbend.protocol.lease_messages import Finding, ShardResults

RESULTS_VALID_US = 2_000_000
LEADERLESS_INTERVAL_FACTOR = 4  # multiplies the check interval while no leader publishes and each director checks
REFRESHES_PER_EXPIRY = 3  # a result is refreshed once its age reaches its stale time divided by this
MAX_PARTS = 64  # datagrams per publication
FLAG_DOWN = 1
FLAG_DEGRADED = 2
FLAG_DRAIN = 4
FLAG_MAINTENANCE = 8
FLAGS_BY_ADMIN = {"drain": FLAG_DRAIN, "maint": FLAG_MAINTENANCE}
LEADER_REPORT_REASON = "reported by the shard's leader"

HealthEvent = CheckCompleted | AgentReported


def finding_from_state(member: int, check: int, state: CheckState) -> Finding:
    """Returns the finding of one check on one member."""
    flags = FLAG_DOWN * state.down | FLAG_DEGRADED * state.degraded | FLAGS_BY_ADMIN.get(state.admin, 0)
    return Finding(member, check, flags, state.weight)


def collect_findings(rows: Iterable[MemberHealth], checks: list[str]) -> tuple[list[Finding], int]:
    """Returns what a leader publishes for these members.

    The result holds the findings, and the exclusive or of the numbers of the members that have a result of every check.
    """
    findings: list[Finding] = []
    covered = 0
    for row in rows:
        member = row.endpoint.member.server
        states = [(checks.index(name), state) for name, state in row.checks.items() if name in checks]
        if states and all(state.has_result or state.outcome is not None for _, state in states):
            covered ^= member
        for check, state in states:
            finding = finding_from_state(member, check, state)
            if finding.flags or finding.weight != FULL_PERCENT:
                findings.append(finding)
    return findings, covered


@dataclass(slots=True)
class ShardView:
    """The newest results of one shard from its leader.

    `findings` are keyed by (member, check). `is_complete` is set if they cover the same members as this director's
    own list.
    """

    token: int = 0
    sequence: int = 0
    received_us: int = 0
    parts: dict[int, tuple[Finding, ...]] = field(default_factory=dict)
    findings: dict[tuple[int, int], Finding] = field(default_factory=dict)
    covered: int = 0
    is_complete: bool = False


class ShardFollower:
    """Collects what the leaders of shards publish; `outdated` counts the parts that were old or duplicates."""

    def __init__(self) -> None:
        self._shards: dict[int, ShardView] = {}
        self.outdated = 0

    def receive(self, now_us: int, message: ShardResults) -> bool:
        """Takes a part whose token was accepted; returns whether it completes the publication."""
        shard = self._shards.setdefault(message.scope, ShardView())
        if not self._is_new_part(shard, message):
            self.outdated += 1
            return False
        shard.parts[message.part] = message.rows
        if len(shard.parts) < message.parts:
            return False
        shard.findings = {(finding.member, finding.check): finding for part in shard.parts.values() for finding in part}
        shard.parts = {}
        shard.received_us = now_us
        shard.covered = message.covered
        return True

    @staticmethod
    def _is_new_part(shard: ShardView, message: ShardResults) -> bool:
        version = (message.token, message.sequence)
        newest = (shard.token, shard.sequence)
        if version < newest or not 0 <= message.part < message.parts <= MAX_PARTS:
            return False
        if version == newest:
            # Otherwise it is a duplicate, or part of a publication that is already complete.
            return bool(shard.parts) and message.part not in shard.parts
        shard.token, shard.sequence = version
        shard.parts = {}
        return True

    def is_fresh(self, now_us: int, scope: int) -> bool:
        """Returns whether the leader's results are recent and complete enough to replace this director's checks."""
        shard = self._shards.get(scope)
        if shard is None or not shard.is_complete:
            return False
        return shard.received_us > 0 and now_us - shard.received_us < RESULTS_VALID_US

    def health_events(
        self, now_us: int, scope: int, rows: Iterable[MemberHealth], checks: list[str], number: int
    ) -> list[HealthEvent]:
        """Returns the newest publication as events for the health registry: changes, and periodic refreshes.

        `rows` are the registry's rows of the shard's members; `number` is the number of a check that begins now.
        """
        shard = self._shards[scope]
        rows = list(rows)
        covered = 0
        for row in rows:
            if any(name in checks for name in row.checks):
                covered ^= row.endpoint.member.server
        shard.is_complete = covered == shard.covered
        events: list[HealthEvent] = []
        for row in rows:
            member = row.endpoint.member.server
            for name, state in row.checks.items():
                finding = shard.findings.get((member, checks.index(name))) if name in checks else None
                if finding is None and not shard.is_complete:
                    continue  # the leader may not know this member
                events += _check_events(now_us, member, name, state, finding, number)
        return events


def _check_events(
    now_us: int, member: int, name: str, state: CheckState, finding: Finding | None, number: int
) -> list[HealthEvent]:
    flags = finding.flags if finding is not None else 0
    needs_refresh = not state.has_result or now_us - state.received_us >= state.policy.stale_us // REFRESHES_PER_EXPIRY
    if state.policy.is_agent:
        weight = finding.weight if finding is not None else FULL_PERCENT
        return _agent_events(member, name, state, flags, weight, needs_refresh, number)
    down = bool(flags & FLAG_DOWN)
    degraded = bool(flags & FLAG_DEGRADED)
    if down and not state.down:
        # This outcome takes effect at once, without waiting for repeated failures.
        return [CheckCompleted(member, name, number, CheckOutcome.DISMISSED, LEADER_REPORT_REASON)]
    healthy = CheckOutcome.DEGRADED if degraded else CheckOutcome.PASSED
    if not down and state.down:
        return [CheckCompleted(member, name, number, healthy, LEADER_REPORT_REASON)] * state.policy.rise
    if needs_refresh or degraded is not state.degraded:
        return [CheckCompleted(member, name, number, CheckOutcome.FAILED if down else healthy, LEADER_REPORT_REASON)]
    return []


def _agent_events(
    member: int, name: str, state: CheckState, flags: int, weight: int, needs_refresh: bool, number: int
) -> list[HealthEvent]:
    down = bool(flags & FLAG_DOWN)
    admin = "drain" if flags & FLAG_DRAIN else "maint" if flags & FLAG_MAINTENANCE else ""
    if not needs_refresh and (state.down, state.admin, state.weight) == (down, admin, weight):
        return []
    report = AgentReport(up=not down, admin=admin or "ready", weight=weight, reason=LEADER_REPORT_REASON)
    return [AgentReported(member, name, number, report)]
