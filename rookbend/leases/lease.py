"""The lease of a scope: what a voter grants, and what a holder may rest on. Pure.

A scope is owned by the director to which a majority of the voters has granted it. A voter grants a scope to
one holder at a time, for `lease_us` by its own clock from the moment of granting. A holder counts from
*before* it asked, and `held_us` only: less by what two clocks may drift apart. So of any two majorities the
voter they share is never within two grants at once, whatever is lost, late or doubled on the way.

A holder is a place in `peers` and a life of it: a director that was started again is another holder, and its
own earlier lease must run out like anybody's. Tokens only grow: a voter grants a scope anew only with a token
above all it has granted for it; the same holder renews with the same token while its grant lasts, and not
later. A grant is on disk before the vote for it goes out.

After every start a voter is quiet for a lease: what an earlier life of it granted, and its disk may not
show (lost, an older copy put back), has run out by then. Meanwhile it renews only what its disk does show,
and asks the other voters for the highest token they know: up to that it grants nothing. Clocks are monotonic.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

ROUNDS = 8  # of asking, whose votes still count

Holder = tuple[int, int]  # place, life
NOBODY: Holder = (-1, 0)


@dataclass(frozen=True, slots=True)
class Terms:
    """`drift` is the most by which a clock may run fast or slow, of 1."""

    lease_us: int = 3_000_000
    drift: float = 0.02
    hand_over_us: int = 500_000  # for so long a scope that was handed over is kept for its successor

    @property
    def held_us(self) -> int:
        """By the holder's clock, from before it asked: over while the fastest voter still holds to it."""
        return int(self.lease_us * (1 - self.drift) / (1 + self.drift))

    @property
    def quiet_us(self) -> int:
        return self.lease_us


class Grant(NamedTuple):
    """`until` by the voter's clock; `successor` may take it before anybody else, until `kept_us`."""

    holder: Holder
    token: int
    until: int
    successor: int = -1
    kept_us: int = 0


class Vote(NamedTuple):
    """`token` is the highest granted for the scope, `place` whom it was granted to, `left_us` for how long
    yet; `is_new`: to be on disk before it is told."""

    granted: bool
    token: int
    place: int
    left_us: int
    is_new: bool = False


NONE = Grant(NOBODY, 0, 0)


class Voter:
    """The grants of one director, by scope. `kept`: what its disk shows, as (holder, token)."""

    __slots__ = ("floor", "grants", "quiet_until", "terms")

    def __init__(self, terms: Terms, now: int, kept: Mapping[int, tuple[Holder, int]]):
        self.terms = terms
        self.quiet_until = now + terms.quiet_us
        self.floor = 0  # no token up to it is granted anew
        # For how long yet is not known: for all of a lease.
        self.grants = {s: Grant(holder, token, now + terms.lease_us) for s, (holder, token) in kept.items()}

    def be_quiet(self, now: int) -> None:
        """An older disk is under us, as others say: as after a start without one."""
        self.quiet_until = max(self.quiet_until, now + self.terms.quiet_us)

    def raise_floor(self, token: int) -> None:
        self.floor = max(self.floor, token)

    @property
    def top(self) -> int:
        """The highest token known."""
        return max((g.token for g in self.grants.values()), default=self.floor)

    def ask(self, now: int, scope: int, holder: Holder, token: int) -> Vote:
        grant = self.grants.get(scope, NONE)
        if grant.holder == holder and grant.token == token and now < grant.until:
            self.grants[scope] = Grant(holder, token, now + self.terms.lease_us)
            return Vote(True, token, holder[0], self.terms.lease_us)
        free_us = self._free_us(now, grant, holder)
        if free_us or token <= max(grant.token, self.floor):
            return Vote(False, max(grant.token, self.floor), grant.holder[0], free_us)
        self.grants[scope] = Grant(holder, token, now + self.terms.lease_us)
        return Vote(True, token, holder[0], self.terms.lease_us, True)

    def _free_us(self, now: int, grant: Grant, holder: Holder) -> int:
        """How long until the scope can be granted to that holder anew. What the holder itself was granted
        before is no hindrance: it has begun anew, and counts no vote of an earlier try."""
        until = grant.until if grant.holder != holder else 0
        kept = grant.kept_us if grant.successor not in (-1, holder[0]) else 0
        return max(0, self.quiet_until - now, until - now, kept - now)

    def release(self, now: int, scope: int, holder: Holder, token: int, successor: int = -1) -> None:
        """The holder has stopped; late or doubled words of it change nothing."""
        grant = self.grants.get(scope, NONE)
        if grant.holder == holder and grant.token == token and now < grant.until:
            kept = now + self.terms.hand_over_us if successor >= 0 else 0
            self.grants[scope] = Grant(holder, token, now, successor, kept)

    def kept(self, scope: int) -> tuple[Holder, int]:
        """What of a scope goes on disk."""
        grant = self.grants[scope]
        return grant.holder, grant.token


class Phase(Enum):
    IDLE = "idle"
    ASKING = "asking"
    OWNED = "owned"


def agreed(sets: Iterable[frozenset[int]], yes: Mapping[int, int]) -> int:
    """From when a majority of every set has granted: the latest time that is so early that it counts, 0 where
    one set has none. `yes`: when each voter was asked that has granted."""
    least = 0
    for number, voters in enumerate(sets):
        asked = sorted((yes[v] for v in voters if v in yes), reverse=True)
        needed = len(voters) // 2 + 1
        if len(asked) < needed:
            return 0
        at = asked[needed - 1]
        least = at if not number else min(least, at)
    return least


class Tenure:
    """One scope at one director that owns it, or would. `sets`: of each of them a majority is needed (two
    while the voters change)."""

    __slots__ = ("asked", "me", "phase", "round", "scope", "sets", "terms", "token", "until", "yes")

    def __init__(self, scope: int, me: Holder, terms: Terms, sets: tuple[frozenset[int], ...]):
        self.scope, self.me, self.terms, self.sets = scope, me, terms, sets
        self.phase, self.token, self.until, self.round = Phase.IDLE, 0, 0, 0
        self.asked: dict[int, int] = {}  # round: when it began
        self.yes: dict[int, int] = {}  # voter: the newest round it has granted began then

    def owns(self, now: int) -> bool:
        return self.phase is Phase.OWNED and now < self.until

    def begin(self, now: int, token: int) -> int:
        """Asks anew, with a token above all that are known; the round's number."""
        self.phase, self.token, self.until = Phase.ASKING, token, 0
        self.yes = {}
        self.asked = {}
        return self.again(now)

    def again(self, now: int) -> int:
        """Another round with the same token: a renewal, or for votes that were lost."""
        self.round += 1
        self.asked[self.round] = now
        while len(self.asked) > ROUNDS:
            del self.asked[min(self.asked)]
        return self.round

    def granted(self, now: int, voter: int, round_: int, token: int) -> bool:
        """A vote in favour; whether the scope is owned by it that was not before."""
        at = self.asked.get(round_)
        if at is None or token != self.token or self.phase is Phase.IDLE:
            return False  # of a round too old to count, or of an earlier try
        self.yes[voter] = max(self.yes.get(voter, 0), at)
        return self._settle(now)

    def _settle(self, now: int) -> bool:
        since = agreed(self.sets, self.yes)
        until = since + self.terms.held_us if since else 0
        if self.phase is Phase.OWNED and now >= self.until:
            return False  # it has run out: what comes now is too late to revive it
        self.until = until
        if self.phase is Phase.ASKING and now < until:
            self.phase = Phase.OWNED
            return True
        return False

    def lapsed(self, now: int) -> bool:
        """Whether what was owned has run out; from then on it has to be asked for anew."""
        if self.phase is Phase.OWNED and now >= self.until:
            self.give_up()
            return True
        return False

    def give_up(self) -> None:
        self.phase, self.until, self.yes, self.asked = Phase.IDLE, 0, {}, {}

    def change_sets(self, now: int, sets: tuple[frozenset[int], ...]) -> None:
        """Other voters: what is owned stays so only while they agree to it too."""
        self.sets = sets
        if self.phase is Phase.OWNED:
            since = agreed(sets, self.yes)
            self.until = min(self.until, since + self.terms.held_us) if since else 0


class Sets:
    """Whose majorities are needed. A change of voters takes both the old and the new ones' until every
    director of the fleet has said that it knows of the new; a second change waits for that."""

    def __init__(self, voters: frozenset[int], count: int, me: int):
        self.new, self.old, self.count, self.me = voters, None, count, me
        self.heard: dict[int, int] = {}  # place: the digest of the newest voters it names

    @property
    def needed(self) -> tuple[frozenset[int], ...]:
        return (self.new,) if self.old is None else (self.old, self.new)

    @property
    def all(self) -> frozenset[int]:
        return self.new | (self.old or frozenset())

    @property
    def digest(self) -> int:
        return sum(1 << v for v in self.new) % 0xFFFB

    def change(self, voters: frozenset[int]) -> bool:
        """Whether it could be begun."""
        if voters == self.new:
            return True
        if self.old is not None:
            return False
        self.old, self.new = self.new, voters
        self.heard = {}
        return True

    def hear(self, place: int, digest: int) -> bool:
        """What a peer names as its newest voters; whether the change is over with it."""
        self.heard[place] = digest
        if (
            self.old is None
            or len(self.heard) < self.count - 1
            or any(d != self.digest for p, d in self.heard.items() if p != self.me)
        ):
            return False
        self.old = None
        return True

    def unheard(self) -> list[int]:
        """Peers that have not said that they know of the new voters."""
        return [p for p in range(self.count) if p != self.me and self.heard.get(p) != self.digest]

    def differ(self) -> list[int]:
        """Peers that name other voters than ours."""
        return sorted(p for p, d in self.heard.items() if d != self.digest)
