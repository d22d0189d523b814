"""The lease of a scope, as its holder tracks it.

A scope is held by the director to which a majority of the voters has granted it. A voter grants a scope to one
holder at a time, for `lease_us` by its own clock from the moment of granting (`voter`). A holder measures its lease
from *before* it sent the request, and for `holder_lease_us` only, which is shorter than `lease_us` by the drift
allowed between two clocks. Any two majorities share a voter, and that voter never has two grants in force at once,
so there is one holder at a time even if messages are lost, late or duplicated.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MAX_COUNTED_ROUNDS = 8  # most recent request rounds whose votes are accepted

Quorums = tuple[frozenset[int], ...]


class Holder(NamedTuple):
    """A director and its incarnation."""

    director: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Durations of a lease in µs, and the clock drift that they allow for.

    `drift_ratio` is the maximum relative error of a clock's rate, in either direction. After a hand-over a scope is
    reserved for its successor for `handover_us`.
    """

    lease_us: int = 3_000_000
    drift_ratio: float = 0.02
    handover_us: int = 500_000

    @property
    def holder_lease_us(self) -> int:
        """Duration of the lease by the holder's clock, measured from before its request.

        It ends before the grant of the voter with the fastest clock does.
        """
        return int(self.lease_us * (1 - self.drift_ratio) / (1 + self.drift_ratio))

    @property
    def quarantine_us(self) -> int:
        """Time after a start during which a voter makes no new grants."""
        return self.lease_us


class Phase(Enum):
    """State of a lease at one director."""

    IDLE = "idle"
    REQUESTING = "requesting"
    HELD = "held"


def majority_granted_since(quorums: Iterable[frozenset[int]], granted_us: Mapping[int, int]) -> int:
    """Returns the latest time since which a majority of every voter set has granted; 0 if a set has no majority.

    `granted_us` maps each voter to the time at which the request that it granted was sent.
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
    """The lease of one scope at one director, which holds the scope or is a candidate for it.

    A majority of each of `quorums` is needed (two sets while the voters change). Times are by the director's clock.
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
        self.granted_us: dict[int, int] = {}  # by voter: send time of the newest round it granted

    def is_held(self, now_us: int) -> bool:
        """Returns whether the lease is held at `now_us`."""
        return self.phase is Phase.HELD and now_us < self.expires_us

    def request(self, now_us: int, token: int) -> int:
        """Starts a new attempt with `token`, which must exceed all known ones; returns the round number."""
        self.phase = Phase.REQUESTING
        self.token = token
        self.expires_us = 0
        self.granted_us = {}
        self.rounds_sent_us = {}
        return self.next_round(now_us)

    def next_round(self, now_us: int) -> int:
        """Starts another round with the same token, to renew the lease or to retry after lost votes."""
        self.round += 1
        self.rounds_sent_us[self.round] = now_us
        while len(self.rounds_sent_us) > MAX_COUNTED_ROUNDS:
            del self.rounds_sent_us[min(self.rounds_sent_us)]
        return self.round

    def record_grant(self, now_us: int, voter: int, round_number: int, token: int) -> bool:
        """Counts a granting vote; returns whether the lease became held."""
        sent_us = self.rounds_sent_us.get(round_number)
        if sent_us is None or token != self.token or self.phase is Phase.IDLE:
            return False  # from a round too old to count, or from an earlier attempt
        self.granted_us[voter] = max(self.granted_us.get(voter, 0), sent_us)
        return self._update_expiry(now_us)

    def _update_expiry(self, now_us: int) -> bool:
        since_us = majority_granted_since(self.quorums, self.granted_us)
        expires_us = since_us + self.terms.holder_lease_us if since_us else 0
        if self.phase is Phase.HELD and now_us >= self.expires_us:
            return False  # expired: a late vote does not renew the lease
        self.expires_us = expires_us
        if self.phase is Phase.REQUESTING and now_us < expires_us:
            self.phase = Phase.HELD
            return True
        return False

    def expire(self, now_us: int) -> bool:
        """Abandons a held lease that has expired, and returns whether it had; it then has to be requested anew."""
        if self.phase is Phase.HELD and now_us >= self.expires_us:
            self.abandon()
            return True
        return False

    def abandon(self) -> None:
        """Stops holding or requesting the scope, and discards the votes received so far."""
        self.phase = Phase.IDLE
        self.expires_us = 0
        self.granted_us = {}
        self.rounds_sent_us = {}

    def change_quorums(self, quorums: Quorums) -> None:
        """Replaces the voter sets; a held lease stays valid only if a majority of each new set has granted it too."""
        self.quorums = quorums
        if self.phase is Phase.HELD:
            since_us = majority_granted_since(quorums, self.granted_us)
            self.expires_us = min(self.expires_us, since_us + self.terms.holder_lease_us) if since_us else 0
