"""The lease of a scope, on its holder's side.

A scope is held by the director to which a majority of the voters has granted it. A voter grants a scope to one
holder at a time, for `lease_us` by its own clock from the moment of granting (`voter`). A holder counts from
*before* it sent its request, and `holder_lease_us` only: less by what two clocks may drift apart. So of any two
majorities the voter they share is never within two grants at once, whatever is lost, late or duplicated.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MAX_COUNTED_ROUNDS = 8  # of requests, whose votes still count

Quorums = tuple[frozenset[int], ...]


class Holder(NamedTuple):
    """A director and its incarnation."""

    director: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """`drift_ratio` is the most by which a clock may run fast or slow.

    A scope that was handed over is reserved for its successor for `handover_us`.
    """

    lease_us: int = 3_000_000
    drift_ratio: float = 0.02
    handover_us: int = 500_000

    @property
    def holder_lease_us(self) -> int:
        """The holder's time by its own clock, from before its request: over while the fastest voter still grants."""
        return int(self.lease_us * (1 - self.drift_ratio) / (1 + self.drift_ratio))

    @property
    def quarantine_us(self) -> int:
        """For so long a voter grants nothing new after a start."""
        return self.lease_us


class Phase(Enum):
    """The state of a lease at one director."""

    IDLE = "idle"
    REQUESTING = "requesting"
    HELD = "held"


def majority_granted_since(quorums: Iterable[frozenset[int]], granted_us: Mapping[int, int]) -> int:
    """The latest time since which a majority of every set of voters has granted; 0 where one set has none.

    `granted_us`: by voter, when the request was sent that it granted.
    """
    earliest_us = 0
    for number, voters in enumerate(quorums):
        requested_us = sorted((granted_us[voter] for voter in voters if voter in granted_us), reverse=True)
        needed = len(voters) // 2 + 1
        if len(requested_us) < needed:
            return 0
        since_us = requested_us[needed - 1]
        earliest_us = since_us if not number else min(earliest_us, since_us)
    return earliest_us


class Lease:
    """One scope at one director that holds it, or would.

    A majority of each of `quorums` is needed (two sets while the voters change). Times by the director's clock.
    """

    __slots__ = (
        "expires_us",
        "granted_us",
        "holder",
        "phase",
        "quorums",
        "round",
        "rounds_sent_us",
        "scope",
        "terms",
        "token",
    )

    def __init__(self, scope: int, holder: Holder, terms: LeaseTerms, quorums: Quorums):
        self.scope = scope
        self.holder = holder
        self.terms = terms
        self.quorums = quorums
        self.phase = Phase.IDLE
        self.token = 0
        self.expires_us = 0
        self.round = 0
        self.rounds_sent_us: dict[int, int] = {}
        self.granted_us: dict[int, int] = {}  # by voter: when the newest round was sent that it granted

    def is_held(self, now_us: int) -> bool:
        """Whether the holder may act right now."""
        return self.phase is Phase.HELD and now_us < self.expires_us

    def request(self, now_us: int, token: int) -> int:
        """Begins anew with a token above all known ones; the number of the round."""
        self.phase = Phase.REQUESTING
        self.token = token
        self.expires_us = 0
        self.granted_us = {}
        self.rounds_sent_us = {}
        return self.next_round(now_us)

    def next_round(self, now_us: int) -> int:
        """Another round with the same token: a renewal, or for votes that were lost."""
        self.round += 1
        self.rounds_sent_us[self.round] = now_us
        while len(self.rounds_sent_us) > MAX_COUNTED_ROUNDS:
            del self.rounds_sent_us[min(self.rounds_sent_us)]
        return self.round

    def record_grant(self, now_us: int, voter: int, round_number: int, token: int) -> bool:
        """Counts a vote in favour; whether the lease is held by it that was not before."""
        sent_us = self.rounds_sent_us.get(round_number)
        if sent_us is None or token != self.token or self.phase is Phase.IDLE:
            return False  # of a round too old to count, or of an earlier try
        self.granted_us[voter] = max(self.granted_us.get(voter, 0), sent_us)
        return self._update_expiry(now_us)

    def _update_expiry(self, now_us: int) -> bool:
        since_us = majority_granted_since(self.quorums, self.granted_us)
        expires_us = since_us + self.terms.holder_lease_us if since_us else 0
        if self.phase is Phase.HELD and now_us >= self.expires_us:
            return False  # expired: a late vote does not revive it
        self.expires_us = expires_us
        if self.phase is Phase.REQUESTING and now_us < expires_us:
            self.phase = Phase.HELD
            return True
        return False

    def expire(self, now_us: int) -> bool:
        """Whether a held lease has run out; from then on it has to be requested anew."""
        if self.phase is Phase.HELD and now_us >= self.expires_us:
            self.abandon()
            return True
        return False

    def abandon(self) -> None:
        """Neither holds nor requests the scope any more; its votes count no longer."""
        self.phase = Phase.IDLE
        self.expires_us = 0
        self.granted_us = {}
        self.rounds_sent_us = {}

    def change_quorums(self, quorums: Quorums) -> None:
        """The voters change: a held lease lasts only while the new ones have granted it too."""
        self.quorums = quorums
        if self.phase is Phase.HELD:
            since_us = majority_granted_since(quorums, self.granted_us)
            self.expires_us = min(self.expires_us, since_us + self.terms.holder_lease_us) if since_us else 0
