"""Steps of a voter in the model of the lease protocol."""

from __future__ import annotations

from collections.abc import Iterator

from rookbend.leases.lease import Holder
from rookbend.leases.voter import Voter
from rookbend.model_checking import candidate_steps
from rookbend.model_checking.lease_state import RELEASE, VOTE, Disk, Message, State
from rookbend.model_checking.rules import ModelRules


def steps(model: ModelRules, state: State, number: int) -> Iterator[tuple[str, State]]:
    """Yields the steps of a voter: a message arrives, one of its votes arrives at the candidate, the voter restarts."""
    voter = state.voters[number]
    for index, message in enumerate(voter.inbox):
        if index and voter.inbox[index - 1] == message:
            continue
        yield (
            f"to v{number} {tuple(message)}",
            _received(model, _without_message(state, number, index), number, message),
        )
        if state.budget.duplicates:
            spent = state.spend(duplicates=state.budget.duplicates - 1)
            yield f"again v{number} {tuple(message)}", _received(model, spent, number, message)
    for index, vote in enumerate(voter.outbox):
        if index and voter.outbox[index - 1] == vote:
            continue
        outbox = voter.outbox[:index] + voter.outbox[index + 1 :]
        sent = state.with_voter(number, voter._replace(outbox=outbox))
        yield f"from v{number} {tuple(vote)}", candidate_steps.vote_received(model, sent, number, vote)
    yield from _restarts(model, state, number)


def _without_message(state: State, number: int, index: int) -> State:
    voter = state.voters[number]
    inbox = voter.inbox[:index] + voter.inbox[index + 1 :]
    return state.with_voter(number, voter._replace(inbox=inbox))


def _restarts(model: ModelRules, state: State, number: int) -> Iterator[tuple[str, State]]:
    voter = state.voters[number]
    budget = state.budget
    if budget.with_disk:
        spent = state.spend(with_disk=budget.with_disk - 1)
        yield f"restart v{number} disk", _restarted(model, spent, number, voter.disk, recalls_tokens=False)
    if budget.without_disk:
        spent = state.spend(without_disk=budget.without_disk - 1)
        yield f"restart v{number} none", _restarted(model, spent, number, (), model.recalls_tokens)
    if budget.stale_disk:
        spent = state.spend(stale_disk=budget.stale_disk - 1)
        yield f"restart v{number} old", _restarted(model, spent, number, voter.stale_disk, model.recalls_tokens)


def _restarted(model: ModelRules, state: State, number: int, disk: Disk, recalls_tokens: bool) -> State:
    row = state.voters[number]
    voter = Voter(model.terms, state.now + row.drift, dict(disk))
    if recalls_tokens:
        # The voter asks the others during its quarantine. They all answer, because the model assumes that a voter
        # without a disk restarts only while the others are available.
        others = (other.voter(model.terms) for peer, other in enumerate(state.voters) if peer != number)
        voter.raise_token_floor(max((other.highest_token for other in others), default=0))
    return state.with_voter(number, row.with_voter(voter)._replace(disk=disk))


def _received(model: ModelRules, state: State, number: int, message: Message) -> State:
    row = state.voters[number]
    local = state.now + row.drift
    voter = row.voter(model.terms)
    holder = Holder(message.candidate, message.incarnation)
    if message.kind == RELEASE:
        voter.release(local, message.scope, holder, message.token)
        return state.with_voter(number, row.with_voter(voter))
    vote = voter.request(local, message.scope, holder, message.token)
    if not vote.granted:
        state = candidate_steps.refused(model, state, message, vote.token)
    row = row.with_voter(voter)
    if vote.must_persist and model.persists_grants:
        other_grants = (grant for grant in row.disk if grant[0] != message.scope)
        disk = tuple(sorted((*other_grants, (message.scope, voter.persisted_grant(message.scope)))))
        row = row._replace(disk=disk, stale_disk=row.disk)
    answer = message._replace(kind=VOTE)
    if vote.granted and message.candidate >= model.first_prompt_candidate:
        return candidate_steps.vote_received(model, state.with_voter(number, row), number, answer)
    if vote.granted:
        row = row._replace(outbox=tuple(sorted((*row.outbox, answer))))
    return state.with_voter(number, row)
