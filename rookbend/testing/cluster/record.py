"""What crossed the relays, every start and end, on one clock: the stage's record.

The rules' checker is fed as things are seen; what measurements and tests ask besides is kept as rows. No
director's word goes in here. Rows are bounded (`KEPT`); counts are not rows and lose nothing.
"""

from __future__ import annotations

import time
from collections import Counter, deque

from rookbend.testing.invariant_checker import InvariantChecker, InvariantLimits, Violation
from rookbend.testing.invariant_events import WireEvent

MAX_ROWS = 200_000


def now_us() -> int:
    """Unix microseconds of the stage, whose clock no fault touches."""
    return time.time_ns() // 1000


class Record:
    def __init__(self, limits: InvariantLimits | None = None):
        self.checker = InvariantChecker(limits)
        self.rows: deque[tuple[int, str, str, str]] = deque(maxlen=MAX_ROWS)  # (at, what, who, more)
        self.counts: Counter[tuple[str, str]] = Counter()  # (what, who)
        self.began_us = now_us()

    def feed(self, event: WireEvent) -> None:
        self.checker.observe(event)

    def note(self, row_type: str, subject: str, detail: str = "") -> None:
        self.rows.append((now_us(), row_type, subject, detail))
        self.counts[row_type, subject] += 1

    def count(self, row_type: str) -> int:
        return sum(n for (kind, _), n in self.counts.items() if kind == row_type)

    def times(self, row_type: str, subject: str | None = None) -> list[int]:
        return [at for at, kind, name, _ in self.rows if kind == row_type and subject in (None, name)]

    def peak(self, row_type: str, window_us: int) -> int:
        """The most rows of a kind within any window of that length."""
        times, most, low = self.times(row_type), 0, 0
        for high, at in enumerate(times):
            while times[low] <= at - window_us:
                low += 1
            most = max(most, high - low + 1)
        return most

    def find_violations(self) -> list[Violation]:
        self.checker.close_expired(now_us())
        return self.checker.violations

    def timeline(self) -> str:
        """Starts, ends and faults in order, for a failed run: seconds since the stage began."""
        shown = ("start", "end", "fault", "fall", "admitted", "lost", "asked")
        return "\n".join(
            f"{(at - self.began_us) / 1e6:8.3f} {row_type:9} {subject} {detail}".rstrip()
            for at, row_type, subject, detail in self.rows
            if row_type in shown
        )
