"""The rules of one model of the lease protocol: its bounds, and what the drivers do."""

from __future__ import annotations

from dataclasses import dataclass, field

from rookbend.leases.lease import Holder, Lease, LeaseTerms, Quorums
from rookbend.model_checking.bounds import Bounds, TickTerms
from rookbend.model_checking.lease_state import State

NO_PROMPT_CANDIDATE = 1 << 10


@dataclass
class ModelRules:
    """The flags are what the drivers must do, and do not in a planted fault.

    Candidates from `first_prompt_candidate` on receive a vote as it is given; their requests still wait.
    `quorums_by_candidate`: sets of voters that each goes by; else all voters are the one set of all.
    """

    bounds: Bounds = field(default_factory=Bounds)
    terms: LeaseTerms = field(default_factory=TickTerms)
    persists_grants: bool = True  # before the vote
    persists_tokens: bool = True  # before the act takes effect
    recalls_tokens: bool = True  # a starting voter asks the others for the highest token
    first_prompt_candidate: int = NO_PROMPT_CANDIDATE
    quorums_by_candidate: tuple[Quorums, ...] = ()

    def lease(self, state: State, candidate: int, scope: int) -> Lease:
        """The program's object of a candidate's lease."""
        quorums: Quorums = (frozenset(range(self.bounds.voters)),)
        if self.quorums_by_candidate:
            quorums = self.quorums_by_candidate[candidate]
        row = state.candidates[candidate]
        return row.leases[scope].lease(scope, Holder(candidate, row.incarnation), self.terms, quorums)
