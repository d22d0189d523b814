"""The conductor of a recovery: one director hands out the parts of the fleet's ramp, so that their sum holds.
Pure.

Who is not heard is taken to keep to one part of all that are configured, as every director does by itself
while nobody conducts; the rest is dealt to those that are heard, by what they have asked the origin of late,
and nobody gets under a fourth of an even part. A part runs out by itself."""

from __future__ import annotations

from collections.abc import Mapping

LEAST = 0.25  # of an even part
VALID_US = 3_000_000  # a part counts so long
BEAT_US = 1_000_000
MILLION = 1_000_000


def parts(count: int, asked: Mapping[int, int]) -> dict[int, int]:
    """Millionths of the fleet's rate by place; `asked` are the calls of late of each that is heard, the
    conductor among them. With the even parts of those that are not heard they never add up to over one."""
    heard = len(asked)
    if not heard:
        return {}
    whole = MILLION * heard // count
    least = int(LEAST * MILLION / count)
    free, calls = whole - least * heard, sum(asked.values())
    return {place: least + (free * n // calls if calls else free // heard) for place, n in asked.items()}


class Conducted:
    """The part that a director was given. `part(now)` is None once it has run out."""

    def __init__(self):
        self.token = self.sequence = self.millionths = self.until_us = 0

    def take(self, now: int, token: int, sequence: int, millionths: int, valid_us: int) -> bool:
        """Its token was accepted already; a late or doubled one changes nothing."""
        if (token, sequence) <= (self.token, self.sequence) or not 0 < millionths <= MILLION:
            return False
        self.token, self.sequence, self.millionths = token, sequence, millionths
        self.until_us = now + min(valid_us, VALID_US)
        return True

    def part(self, now: int) -> float | None:
        return self.millionths / MILLION if now < self.until_us else None
