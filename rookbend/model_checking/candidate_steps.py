"""Steps of a candidate in the model of the lease protocol."""

from __future__ import annotations

from collections.abc import Iterator

from rookbend.leases.lease import Phase
from rookbend.model_checking.lease_state import (
    HELD_PHASE,
    RELEASE,
    REQUEST,
    Acquisition,
    Act,
    LeaseState,
    Message,
    State,
    Violation,
    lease_state,
)
from rookbend.model_checking.rules import ModelRules

TOKENS_PER_TICK = 8


def steps(model: ModelRules, state: State, number: int) -> Iterator[tuple[str, State]]:
    """Yields the steps of a candidate: request, check its lease before an act, release, restart."""
    candidate = state.candidates[number]
    budget = state.budget
    for scope, saved in enumerate(candidate.leases):
        if budget.rounds:
            yield f"ask c{number} s{scope}", _request(model, state, number, scope)
        lease = model.lease(state, number, scope)
        if saved.phase != HELD_PHASE or lease.expire(state.now + candidate.drift):
            continue
        if budget.acts:
            acts = tuple(sorted((*candidate.acts, Act(scope, saved.token))))
            spent = state.spend(acts=budget.acts - 1)
            yield f"check c{number} s{scope}", spent.with_candidate(number, candidate._replace(acts=acts))
        if budget.releases:
            yield f"release c{number} s{scope}", _release(model, state, number, scope)
    if budget.candidate_restarts:
        # Messages and acts of the candidate are still in flight; its memory is lost.
        idle = (LeaseState(),) * len(candidate.leases)
        restarted = candidate._replace(incarnation=candidate.incarnation + 1, known_token=0, leases=idle)
        spent = state.spend(candidate_restarts=budget.candidate_restarts - 1)
        yield f"restart c{number}", spent.with_candidate(number, restarted)


def _request(model: ModelRules, state: State, number: int, scope: int) -> State:
    """Sends a round of requests: a renewal, a further round or a new attempt."""
    candidate = state.candidates[number]
    local = state.now + candidate.drift
    lease = model.lease(state, number, scope)
    lease.expire(local)
    if lease.phase is Phase.IDLE:
        clock_token = state.now * TOKENS_PER_TICK if model.bounds.clock_tokens else 0
        round_number = lease.request(local, max(candidate.known_token, clock_token) + 1)
    else:
        round_number = lease.next_round(local)
    message = Message(REQUEST, number, candidate.incarnation, scope, lease.token, round_number)
    known_token = max(candidate.known_token, lease.token)
    candidate = candidate.with_lease(scope, lease_state(lease))._replace(known_token=known_token)
    sent = _to_voters(state, message).spend(rounds=state.budget.rounds - 1)
    return sent.with_candidate(number, candidate)


def _release(model: ModelRules, state: State, number: int, scope: int) -> State:
    candidate = state.candidates[number]
    lease = model.lease(state, number, scope)
    token = lease.token
    lease.abandon()
    message = Message(RELEASE, number, candidate.incarnation, scope, token, 0)
    sent = _to_voters(state, message).spend(releases=state.budget.releases - 1)
    return sent.with_candidate(number, candidate.with_lease(scope, lease_state(lease)))


def _to_voters(state: State, message: Message) -> State:
    voters = tuple(voter._replace(inbox=tuple(sorted((*voter.inbox, message)))) for voter in state.voters)
    return state._replace(voters=voters)


def vote_received(model: ModelRules, state: State, voter: int, vote: Message) -> State:
    """Counts a vote at its candidate; a vote for an earlier incarnation has no effect."""
    candidate = state.candidates[vote.candidate]
    if candidate.incarnation != vote.incarnation:
        return state
    local = state.now + candidate.drift
    lease = model.lease(state, vote.candidate, vote.scope)
    lease.expire(local)
    if lease.record_grant(local, voter, vote.round, vote.token):
        acquisition = Acquisition(vote.scope, vote.token, vote.candidate, vote.incarnation)
        state = state._replace(
            violation=state.violation or _violation(state, acquisition),
            acquisitions=tuple(sorted((*state.acquisitions, acquisition))),
        )
    return state.with_candidate(vote.candidate, candidate.with_lease(vote.scope, lease_state(lease)))


def _violation(state: State, new: Acquisition) -> int:
    holder = (new.candidate, new.incarnation)
    for old in state.acquisitions:
        if old.scope != new.scope:
            continue
        if old.token == new.token and (old.candidate, old.incarnation) != holder:
            return Violation.TOKEN_REUSED
        if old.token > new.token:
            return Violation.TOKEN_DECREASED
    return Violation.NONE


def refused(model: ModelRules, state: State, request: Message, highest_token: int) -> State:
    """Tells the candidate the highest token of a voter that has refused its request."""
    candidate = state.candidates[request.candidate]
    if candidate.incarnation != request.incarnation:
        return state
    lease = model.lease(state, request.candidate, request.scope)
    if lease.phase is Phase.REQUESTING and highest_token >= lease.token:
        lease.abandon()  # the scope can no longer be acquired with this token
        candidate = candidate.with_lease(request.scope, lease_state(lease))
    known_token = max(candidate.known_token, highest_token)
    return state.with_candidate(request.candidate, candidate._replace(known_token=known_token))
