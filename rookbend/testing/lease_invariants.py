"""Invariants of leases, checked at points of simulated time, from which the directors' own clocks may differ."""

from __future__ import annotations

from collections.abc import Iterable

from rookbend.leases.actions import LeaseAcquired, WriteReportLine
from rookbend.leases.events import ReportLineWritten
from rookbend.leases.fencing import FencingGuard
from rookbend.leases.leader_tasks import REPORT_SCOPE
from rookbend.leases.lease import Holder


class LeaseInvariants:
    """Checks that a scope has at most one holder, that no two holders acquire the same token, and that tokens never
    decrease. `violations` describes each violation found."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.holder_by_token: dict[tuple[int, int], Holder] = {}  # by (scope, token)
        self._highest_token: dict[int, int] = {}  # by scope

    def lease_acquired(self, action: LeaseAcquired, holder: Holder) -> None:
        """Checks the token of an acquired lease."""
        scope, token = action.scope, action.token
        if self.holder_by_token.setdefault((scope, token), holder) != holder:
            self.violations.append(f"token {token} of scope {scope} acquired by two holders")
        highest = self._highest_token.get(scope, 0)
        if token < highest:
            self.violations.append(f"token {token} of scope {scope} acquired after {highest}")
        self._highest_token[scope] = max(highest, token)

    def check_holders(self, scope: int, holders: Iterable[int], elapsed_us: int) -> None:
        """Checks that at most one director holds the scope at this time."""
        holders = list(holders)
        if len(holders) > 1:
            self.violations.append(f"scope {scope} is held by directors {holders} at {elapsed_us} us")


class SimulatedLedger:
    """A report ledger that rejects lines with a stale fencing token; `lines` has the accepted lines by number."""

    def __init__(self, invariants: LeaseInvariants):
        self._guard = FencingGuard()
        self._invariants = invariants
        self.lines: dict[int, str] = {}

    def append(self, line: WriteReportLine) -> ReportLineWritten:
        """Appends a line; returns the outcome for the director that wrote it."""
        is_stale = line.token < self._guard.highest.get(REPORT_SCOPE, 0)
        accepted = self._guard.accept(REPORT_SCOPE, line.token)
        if accepted and is_stale:
            self._invariants.violations.append(f"the ledger accepted a line with the stale token {line.token}")
        if accepted:
            self.lines.setdefault(line.number, line.line)
        highest_token = self._guard.highest[REPORT_SCOPE]
        return ReportLineWritten(line.number, accepted, 0 if accepted else highest_token)
