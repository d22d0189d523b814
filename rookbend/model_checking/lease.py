"""A model of voters, candidates and a receiver for `search`, with the program's `Voter`, `Lease` and `FencingGuard`.

The network loses, delays, duplicates and reorders messages, clocks drift, processes stop, restart and lose disks.

Time is a few ticks: a lease lasts 3 for a voter and 1 for its holder, so that a voter's clock may gain a tick and a
holder's may lose one. A stopped process takes no step while others do, but its clock goes on. An act, which is work
under a lease, has two steps: the check of the lease and the arrival at the receiver. Any steps may happen in between.

The properties that are checked in each state and step (docs/OWNERSHIP.md defines them):

    two holders     a scope never has two holders at once, each by its own clock
    old token       no receiver accepts an older token after a newer one
    token twice     no token of a scope is ever held by two holders
    token back      a holder's token is above that of every holder before it

Reductions that preserve all violations: a refusal reaches its candidate at once or never (it only raises the token of
the next request), and a vote for an incarnation that has ended is dropped.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator

from rookbend.model_checking import candidate_steps, receiver_steps, voter_steps
from rookbend.model_checking.lease_state import (
    BEGAN_TICK,
    HELD_PHASE,
    CandidateState,
    LeaseState,
    ReceiverState,
    State,
    VoterState,
    replaced,
)
from rookbend.model_checking.rules import ModelRules

VIOLATION_NAMES = "", "old token", "token twice", "token back"
TWO_HOLDERS = "two holders"


class LeaseModel(ModelRules):
    """The model of the lease protocol; see `Model` in `search` for its methods."""

    def initial_states(self) -> Iterator[State]:
        """Yields the single initial state."""
        bounds = self.bounds
        idle = (LeaseState(),) * bounds.scopes
        known_tokens = bounds.known_tokens or (0,) * bounds.candidates
        candidates = tuple(CandidateState(1, 0, token, idle) for token in known_tokens)
        receivers = (ReceiverState(),) * bounds.scopes
        yield State(BEGAN_TICK, 0, (VoterState(),) * bounds.voters, candidates, receivers, (), bounds.budget())

    def canonical(self, state: State) -> Hashable:
        """Returns the same value for states that differ only in the numbering of the voters."""
        if self.quorums_by_candidate:
            return state  # the voters are not interchangeable
        rows = []
        for number, voter in enumerate(state.voters):
            granted = tuple(
                next((at for by, at in lease.granted if by == number), 0)
                for candidate in state.candidates
                for lease in candidate.leases
            )
            rows.append((voter, granted))
        rows.sort()
        candidates = tuple(
            (*candidate[:3], tuple(lease[:5] for lease in candidate.leases), candidate.acts)
            for candidate in state.candidates
        )
        return (
            state.now,
            state.violation,
            tuple(rows),
            candidates,
            state.receivers,
            state.acquisitions,
            state.budget,
        )

    def broken_property(self, state: State) -> str:
        """Returns the name of the property that the state breaks, or an empty string."""
        for scope in range(self.bounds.scopes):
            holders = 0
            for number, candidate in enumerate(state.candidates):
                if candidate.leases[scope].phase == HELD_PHASE:
                    holders += self.lease(state, number, scope).is_held(state.now + candidate.drift)
            if holders > 1:
                return TWO_HOLDERS
        return VIOLATION_NAMES[state.violation]

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields all steps from a state, as (name, next state)."""
        for name, after in self._all_steps(state):
            yield name, self._without_lost_votes(after)

    def _all_steps(self, state: State) -> Iterator[tuple[str, State]]:
        yield from self._time_steps(state)
        for candidate in range(self.bounds.candidates):
            yield from candidate_steps.steps(self, state, candidate)
        for voter in range(self.bounds.voters):
            yield from voter_steps.steps(self, state, voter)
        for scope in range(self.bounds.scopes):
            yield from receiver_steps.steps(self, state, scope)

    @staticmethod
    def _time_steps(state: State) -> Iterator[tuple[str, State]]:
        budget = state.budget
        if budget.ticks:
            yield "tick", state.spend(ticks=budget.ticks - 1)._replace(now=state.now + 1)
        if not budget.drifts:
            return
        spent = state.spend(drifts=budget.drifts - 1)
        # Only a fast voter or a slow candidate can break a property.
        for number, voter in enumerate(state.voters):
            if not voter.drift:
                yield f"fast v{number}", spent.with_voter(number, voter._replace(drift=1))
        for number, candidate in enumerate(state.candidates):
            if not candidate.drift:
                yield f"slow c{number}", spent.with_candidate(number, candidate._replace(drift=-1))

    @staticmethod
    def _without_lost_votes(state: State) -> State:
        """Returns the state without votes for incarnations that have ended."""
        for number, voter in enumerate(state.voters):
            if not voter.outbox:
                continue
            outbox = tuple(
                vote for vote in voter.outbox if state.candidates[vote.candidate].incarnation == vote.incarnation
            )
            if len(outbox) < len(voter.outbox):
                voters = replaced(state.voters, number, voter._replace(outbox=outbox))
                state = state._replace(voters=voters)
        return state
