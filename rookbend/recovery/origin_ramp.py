"""How much all directors together may ask of the origin while it is cold, and this one's part. Pure.

The fleet's rate begins low and grows by `GROW` each `STEP_US` while the origin answers well and as fast as it
has shown it can; where it is slower the rate stands still, and it is halved as the origin refuses or does not
answer. Past `full`, or once the fleet is well, nothing is limited. Every director grows and halves by what it
sees itself, so the rates differ a little; the sum is held by the share: one part of those known to be up, of
all that are configured while that is not known."""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass

GROW, STEP_US = 1.6, 500_000
BACK, BACK_US = 0.5, 1_000_000  # not halved again within
USED = 0.5  # a full step up only where so much of the rate was used
SPAN_US = 1_000_000  # of the outcomes that count
HEARD_US = 1_500_000  # another's word on its outcomes counts so long
LEAST_SEEN, BAD_SHARE = 4, 0.3  # outcomes in it, and the share of bad ones that says the origin is unwell
LEAST = 0.25  # of the first rate: never less
SLOW, SLOW_US = 3.0, 60_000  # over this multiple of its fastest, and so much: calls queue there
SLOW_SHARE = 0.5  # of the outcomes: then the rate stands still
AHEAD = 1.25  # of the median of the others' rates: no further
FREE, FREE_OF = 2 / 3, 3  # so many of those heard, and these so many, are free: the ramp is over


@dataclass(slots=True)
class Outcomes:
    """What a director saw of the origin of late. `rate` is the fleet's as it holds it, 0: it is free."""

    at_us: int
    rate: float
    calls: int
    bad: int
    slow: int
    fastest_us: int


class Share:
    """Rates are calls a second. `rate` is the fleet's, None: no limit."""

    def __init__(self, first: float, full: float, began_us: int):
        self.first, self.full = first, full
        self.rate: float | None = first
        self.stepped_us, self.backed_us = began_us, began_us - BACK_US
        self.calls = 0  # of ours, since the last step
        self.seen: deque[tuple[int, bool, int]] = deque()  # (when, well, microseconds it took)
        self.fastest_us = 0
        self.others: dict[int, Outcomes] = {}  # one row a peer that is believed
        self.halved = 0

    # What is seen

    def asked(self) -> None:
        self.calls += 1

    def ended(self, now: int, well: bool, took_us: int) -> None:
        """A call of ours to the origin, direct or behind a fill, ended."""
        self.seen.append((now, well, took_us))
        if well:
            self.fastest_us = min(self.fastest_us or took_us, took_us)

    def heard(self, number: int, outcomes: Outcomes) -> None:
        self.others[number] = outcomes

    def ours(self, now: int) -> Outcomes:
        """What goes to the others."""
        while self.seen and self.seen[0][0] <= now - SPAN_US:
            self.seen.popleft()
        late = SLOW * self._fastest(now) + SLOW_US
        return Outcomes(
            now,
            self.rate or 0.0,
            len(self.seen),
            sum(not well for _, well, _ in self.seen),
            sum(well and took > late for _, well, took in self.seen),
            self.fastest_us,
        )

    def _fresh(self, now: int) -> list[Outcomes]:
        return [o for o in self.others.values() if now - o.at_us <= HEARD_US]

    def _fastest(self, now: int) -> int:
        """The second least that is known: a single word does not make the origin look slow."""
        known = sorted(f for f in (self.fastest_us, *(o.fastest_us for o in self._fresh(now))) if f)
        return known[min(1, len(known) - 1)] if known else 0

    def together(self, now: int) -> tuple[int, int, int]:
        """Calls of late, bad, slow: ours and the others'."""
        all_of = [self.ours(now), *self._fresh(now)]
        return sum(o.calls for o in all_of), sum(o.bad for o in all_of), sum(o.slow for o in all_of)

    def bad_share(self, now: int) -> float:
        """Of the outcomes of late; 0 where too few are known."""
        calls, bad, _ = self.together(now)
        return bad / calls if calls >= LEAST_SEEN else 0.0

    def unwell(self, now: int) -> bool:
        return self.bad_share(now) >= BAD_SHARE

    # What follows

    def part(self, up: int, count: int, sure: bool) -> float:
        """One part of those that are up; of all while unsure. Never under 1/count."""
        return 1 / max(1, min(up, count) if sure else count)

    def lift(self) -> None:
        self.rate = None

    def tick(self, now: int, part: float) -> bool:
        """Whether the fleet's rate has changed."""
        if self.rate is None:
            return False
        calls, bad, slow = self.together(now)
        if calls >= LEAST_SEEN and bad >= BAD_SHARE * calls:
            if now - self.backed_us < BACK_US:
                return False
            self.backed_us = self.stepped_us = now
            self.rate, self.calls = max(self.first * LEAST, self.rate * BACK), 0
            self.halved += 1
            return True
        if now - self.stepped_us < STEP_US or now - self.backed_us < BACK_US:
            return False
        return self._step_up(now, part, calls, slow)

    def _step_up(self, now: int, part: float, calls: int, slow: int) -> bool:
        fresh = self._fresh(now)
        rates = [o.rate for o in fresh if o.rate]
        if len(fresh) >= FREE_OF and len(fresh) - len(rates) >= FREE * len(fresh):
            self.rate = None
            return True
        used = self.calls >= USED * self.rate * part * (now - self.stepped_us) / 1e6
        if (self.calls and not calls) or (calls and slow >= SLOW_SHARE * calls):
            return False  # nothing is known of what was asked, or it queues: the step is not taken yet
        self.stepped_us, self.calls = now, 0
        # What was not used proves nothing, but holds nobody back either: a quiet director is not to be the
        # last to be free.
        self.rate *= GROW if used else 1 + (GROW - 1) / 2
        if len(rates) >= 2:
            self.rate = min(self.rate, AHEAD * statistics.median(rates))
        if self.rate >= self.full:
            self.rate = None
        return True
