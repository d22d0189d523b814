"""The fleet's report: one director asks all for their counters, adds them up and has a line written. Pure.

A line's number is its minute (or whatever the period is) of Unix time, so the next owner goes on with the
next number and a ledger knows a line that it has. What a director tells is counted since its start; the
report forms differences, and one that was started again counts from nought."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

GATHER_US = 1_000_000  # answers are waited for so long
FIGURES = "requests", "served", "refused", "failed"


@dataclass(slots=True)
class Round:
    number: int
    sequence: int
    began_us: int
    heard: dict[int, tuple[int, tuple[int, ...]]] = field(default_factory=dict)  # place: (life, figures)


class Report:
    """While the scope is owned. `period_us` between two lines."""

    def __init__(self, period_us: int):
        self.period_us, self.sequence = period_us, 0
        self.round: Round | None = None
        self.before: dict[int, tuple[int, tuple[int, ...]]] = {}
        self.written = 0  # the newest number that the ledger has, as far as we know

    def due(self, now: int) -> bool:
        """Whether a round begins now."""
        return self.round is None and now // self.period_us > self.written

    def begin(self, now: int) -> int:
        """The sequence number by which the others answer."""
        self.sequence += 1
        self.round = Round(now // self.period_us, self.sequence, now)
        return self.sequence

    def hear(self, place: int, life: int, sequence: int, figures: tuple[int, ...]) -> None:
        r = self.round
        if r is not None and r.sequence == sequence and len(figures) == len(FIGURES):
            r.heard[place] = life, figures

    def line(self, now: int, token: int, count: int) -> tuple[int, str] | None:
        """(number, line) once all have answered or their time is over."""
        r = self.round
        if r is None or (len(r.heard) < count and now - r.began_us < GATHER_US):
            return None
        self.round = None
        totals = [0] * len(FIGURES)
        for place, (life, figures) in r.heard.items():
            old_life, old = self.before.get(place, (0, ()))
            base = old if old_life == life else (0,) * len(FIGURES) if old_life else figures
            totals = [t + f - b for t, f, b in zip(totals, figures, base, strict=True)]
        self.before.update(r.heard)
        told = {
            "number": r.number,
            "token": token,
            "directors": len(r.heard),
            "of": count,
            **dict(zip(FIGURES, totals, strict=True)),
        }
        return r.number, msgspec.json.encode(told).decode()

    def ended(self, number: int, ok: bool) -> None:
        if ok:
            self.written = max(self.written, number)
