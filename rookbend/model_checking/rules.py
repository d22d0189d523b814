"""The parameters of a model of the lease protocol: its bounds, and the behaviour of the drivers."""

from __future__ import annotations

from dataclasses import dataclass, field

from rookbend.leases.lease import Holder, Lease, LeaseTerms, Quorums
from rookbend.model_checking.bounds import Bounds, TickTerms
from rookbend.model_checking.lease_state import State

NO_PROMPT_CANDIDATE = 1 << 10


@dataclass
class ModelRules:
    """The parameters; each flag is something that the drivers must do, and that a planted fault turns off.

    Candidates from number `first_prompt_candidate` on receive votes without delay; their requests are still delayed.
    `quorums_by_candidate` has the sets of voters that each candidate uses; without it, all candidates use one set of
    all voters.
    """

    bounds: Bounds = field(default_factory=Bounds)
    terms: LeaseTerms = field(default_factory=TickTerms)
    persists_grants: bool = True  # before the vote
    persists_tokens: bool = True  # before the act takes effect
    recalls_tokens: bool = True  # a starting voter asks the others for the highest token
    first_prompt_candidate: int = NO_PROMPT_CANDIDATE
    quorums_by_candidate: tuple[Quorums, ...] = ()

    def lease(self, state: State, candidate: int, scope: int) -> Lease:
        """Returns the program's `Lease` of a candidate."""
        quorums: Quorums = (frozenset(range(self.bounds.voters)),)
        if self.quorums_by_candidate:
            quorums = self.quorums_by_candidate[candidate]
        row = state.candidates[candidate]
        return row.leases[scope].lease(scope, Holder(candidate, row.incarnation), self.terms, quorums)
