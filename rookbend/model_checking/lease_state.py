"""States of the model of the lease protocol as tuples, and their conversion to and from the program's objects.

Each message is stored with the voter that receives or sends it, so that voters differ only in their number.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, TypeVar

from rookbend.leases.lease import Holder, Lease, LeaseTerms, Phase, Quorums
from rookbend.leases.voter import Grant, PersistedGrant, Voter
from rookbend.model_checking.bounds import Budget

BEGAN_TICK = 10  # not 0, because a time of 0 means none
PHASES = tuple(Phase)
HELD_PHASE = PHASES.index(Phase.HELD)
REQUEST, RELEASE, VOTE = 1, 2, 3

Row = TypeVar("Row")
Disk = tuple[tuple[int, PersistedGrant], ...]


class Violation(IntEnum):
    """The property that a step broke."""

    NONE = 0
    STALE_TOKEN = 1
    TOKEN_REUSED = 2
    TOKEN_DECREASED = 3


class Message(NamedTuple):
    """A message between a candidate and the voter with which it is stored."""

    kind: int
    candidate: int
    incarnation: int
    scope: int
    token: int
    round: int


class VoterState(NamedTuple):
    """The state of a voter; `stale_disk` is its disk before the newest grant."""

    grants: tuple[tuple[int, Grant], ...] = ()
    token_floor: int = 0
    quarantine_until: int = BEGAN_TICK
    drift: int = 0
    disk: Disk = ()
    stale_disk: Disk = ()
    inbox: tuple[Message, ...] = ()
    outbox: tuple[Message, ...] = ()

    def voter(self, terms: LeaseTerms) -> Voter:
        """Returns the program's `Voter` in this state."""
        voter = object.__new__(Voter)
        voter.terms = terms
        voter.token_floor = self.token_floor
        voter.quarantine_until_us = self.quarantine_until
        voter.grants = dict(self.grants)
        return voter

    def with_voter(self, voter: Voter) -> VoterState:
        """Returns this state with the values of the program's `Voter`."""
        grants = tuple(sorted(voter.grants.items()))
        return VoterState(grants, voter.token_floor, voter.quarantine_until_us, *self[3:])


class LeaseState(NamedTuple):
    """The lease of one scope at one candidate; `phase` is an index of `PHASES`."""

    phase: int = 0
    token: int = 0
    expires: int = 0
    round: int = 0
    rounds_sent: tuple[tuple[int, int], ...] = ()
    granted: tuple[tuple[int, int], ...] = ()

    def lease(self, scope: int, holder: Holder, terms: LeaseTerms, quorums: Quorums) -> Lease:
        """Returns the program's `Lease` in this state."""
        lease = Lease(scope, holder, terms, quorums)
        lease.phase = PHASES[self.phase]
        lease.token = self.token
        lease.expires_us = self.expires
        lease.round = self.round
        lease.rounds_sent_us = dict(self.rounds_sent)
        lease.granted_us = dict(self.granted)
        return lease


def lease_state(lease: Lease) -> LeaseState:
    """Returns the state of the program's `Lease`."""
    return LeaseState(
        PHASES.index(lease.phase),
        lease.token,
        lease.expires_us,
        lease.round,
        tuple(sorted(lease.rounds_sent_us.items())),
        tuple(sorted(lease.granted_us.items())),
    )


class Act(NamedTuple):
    """Work under a lease that the candidate has checked, in flight to its receiver."""

    scope: int
    token: int


class CandidateState(NamedTuple):
    """The state of a candidate; `known_token` is the highest token that it knows, `leases` is by scope."""

    incarnation: int
    drift: int
    known_token: int
    leases: tuple[LeaseState, ...]
    acts: tuple[Act, ...] = ()

    def with_lease(self, scope: int, lease: LeaseState) -> CandidateState:
        """Returns this state with the lease of a scope replaced."""
        return self._replace(leases=replaced(self.leases, scope, lease))


class ReceiverState(NamedTuple):
    """The state of a receiver; `highest` is the token that it remembers, `accepted` the highest that took effect."""

    highest: int = 0
    disk: int = 0
    accepted: int = 0


class Acquisition(NamedTuple):
    """A lease that is or was held."""

    scope: int
    token: int
    candidate: int
    incarnation: int


class State(NamedTuple):
    """One state of the model."""

    now: int
    violation: int
    voters: tuple[VoterState, ...]
    candidates: tuple[CandidateState, ...]
    receivers: tuple[ReceiverState, ...]
    acquisitions: tuple[Acquisition, ...]
    budget: Budget

    def with_voter(self, number: int, voter: VoterState) -> State:
        """Returns this state with the state of a voter replaced."""
        return self._replace(voters=replaced(self.voters, number, voter))

    def with_candidate(self, number: int, candidate: CandidateState) -> State:
        """Returns this state with the state of a candidate replaced."""
        return self._replace(candidates=replaced(self.candidates, number, candidate))

    def spend(self, **budget: int) -> State:
        """Returns this state with the given values of the budget."""
        return self._replace(budget=self.budget._replace(**budget))


def replaced(rows: tuple[Row, ...], index: int, row: Row) -> tuple[Row, ...]:
    """Returns the rows with one of them replaced."""
    return (*rows[:index], row, *rows[index + 1 :])
