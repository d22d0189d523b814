"""States of the model of the lease protocol: tuples, and the program's objects made from them and back.

Messages lie with the voter that they go to or come from, so voters are alike but for their number.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, TypeVar

from rookbend.leases.lease import Holder, Lease, LeaseTerms, Phase, Quorums
from rookbend.leases.voter import Grant, PersistedGrant, Voter
from rookbend.model_checking.bounds import Budget

BEGAN_TICK = 10  # no time is 0
PHASES = tuple(Phase)
HELD_PHASE = PHASES.index(Phase.HELD)
REQUEST, RELEASE, VOTE = 1, 2, 3

Row = TypeVar("Row")
Disk = tuple[tuple[int, PersistedGrant], ...]


class Violation(IntEnum):
    """What a step broke."""

    NONE = 0
    STALE_TOKEN = 1
    TOKEN_REUSED = 2
    TOKEN_DECREASED = 3


class Message(NamedTuple):
    """A message between a candidate and the voter that it lies with."""

    kind: int
    candidate: int
    incarnation: int
    scope: int
    token: int
    round: int


class VoterState(NamedTuple):
    """`stale_disk` is the disk before the newest grant."""

    grants: tuple[tuple[int, Grant], ...] = ()
    token_floor: int = 0
    quarantine_until: int = BEGAN_TICK
    drift: int = 0
    disk: Disk = ()
    stale_disk: Disk = ()
    inbox: tuple[Message, ...] = ()
    outbox: tuple[Message, ...] = ()

    def voter(self, terms: LeaseTerms) -> Voter:
        """The program's object."""
        voter = object.__new__(Voter)
        voter.terms = terms
        voter.token_floor = self.token_floor
        voter.quarantine_until_us = self.quarantine_until
        voter.grants = dict(self.grants)
        return voter

    def with_voter(self, voter: Voter) -> VoterState:
        """This state after the program's object has changed."""
        grants = tuple(sorted(voter.grants.items()))
        return VoterState(grants, voter.token_floor, voter.quarantine_until_us, *self[3:])


class LeaseState(NamedTuple):
    """One scope at one candidate; `phase` is an index of `PHASES`."""

    phase: int = 0
    token: int = 0
    expires: int = 0
    round: int = 0
    rounds_sent: tuple[tuple[int, int], ...] = ()
    granted: tuple[tuple[int, int], ...] = ()

    def lease(self, scope: int, holder: Holder, terms: LeaseTerms, quorums: Quorums) -> Lease:
        """The program's object."""
        lease = Lease(scope, holder, terms, quorums)
        lease.phase = PHASES[self.phase]
        lease.token = self.token
        lease.expires_us = self.expires
        lease.round = self.round
        lease.rounds_sent_us = dict(self.rounds_sent)
        lease.granted_us = dict(self.granted)
        return lease


def lease_state(lease: Lease) -> LeaseState:
    """The state of the program's object."""
    return LeaseState(
        PHASES.index(lease.phase),
        lease.token,
        lease.expires_us,
        lease.round,
        tuple(sorted(lease.rounds_sent_us.items())),
        tuple(sorted(lease.granted_us.items())),
    )


class Act(NamedTuple):
    """Work under a lease that was checked and has not arrived at its receiver."""

    scope: int
    token: int


class CandidateState(NamedTuple):
    """`known_token` is the highest that it knows; `leases` by scope."""

    incarnation: int
    drift: int
    known_token: int
    leases: tuple[LeaseState, ...]
    acts: tuple[Act, ...] = ()

    def with_lease(self, scope: int, lease: LeaseState) -> CandidateState:
        """This state with another lease of that scope."""
        return self._replace(leases=replaced(self.leases, scope, lease))


class ReceiverState(NamedTuple):
    """`highest` is what it has seen, `accepted` the highest that truly took effect."""

    highest: int = 0
    disk: int = 0
    accepted: int = 0


class Acquisition(NamedTuple):
    """A lease that was once held."""

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
        """This state with another state of that voter."""
        return self._replace(voters=replaced(self.voters, number, voter))

    def with_candidate(self, number: int, candidate: CandidateState) -> State:
        """This state with another state of that candidate."""
        return self._replace(candidates=replaced(self.candidates, number, candidate))

    def spend(self, **budget: int) -> State:
        """This state with these figures of the budget."""
        return self._replace(budget=self.budget._replace(**budget))


def replaced(rows: tuple[Row, ...], index: int, row: Row) -> tuple[Row, ...]:
    """The rows with one of them replaced."""
    return (*rows[:index], row, *rows[index + 1 :])
