"""The cluster's record: traffic across the relays, starts, ends and faults, on one clock.

The invariant checker receives each event when it is observed; rows hold what measurements and tests need besides.
Nothing that a director reports about itself is recorded. At most `MAX_ROWS` rows are kept; counts are complete.
"""

from __future__ import annotations

import time
from collections import Counter, deque

from rookbend.testing.invariant_checker import InvariantChecker
from rookbend.testing.invariant_events import WireEvent
from rookbend.testing.invariant_rules import InvariantLimits, Violation

MAX_ROWS = 200_000


def now_us() -> int:
    """Returns the test process's Unix time in microseconds; clock faults do not affect it."""
    return time.time_ns() // 1000


class Record:
    def __init__(self, limits: InvariantLimits | None = None):
        self.checker = InvariantChecker(limits)
        # (Unix microseconds, type, subject, detail)
        self.rows: deque[tuple[int, str, str, str]] = deque(maxlen=MAX_ROWS)
        self.counts: Counter[tuple[str, str]] = Counter()  # by (type, subject)
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
        """Returns the highest number of rows of a type within any window of that length."""
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
        """Returns starts, ends and faults in order, in seconds since the record began, for a failed run's report."""
        shown = ("start", "end", "fault", "fall", "admitted", "lost", "asked")
        return "\n".join(
            f"{(at - self.began_us) / 1e6:8.3f} {row_type:9} {subject} {detail}".rstrip()
            for at, row_type, subject, detail in self.rows
            if row_type in shown
        )
