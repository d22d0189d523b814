"""Steps of the receivers in the model of the lease protocol."""

from __future__ import annotations

from collections.abc import Iterator

from rookbend.leases.fencing import FencingGuard
from rookbend.model_checking.lease_state import Act, ReceiverState, State, Violation, replaced
from rookbend.model_checking.rules import ModelRules


def steps(model: ModelRules, state: State, scope: int) -> Iterator[tuple[str, State]]:
    """Yields the steps of the receiver of a scope: an act arrives, the receiver restarts."""
    for number, candidate in enumerate(state.candidates):
        for token in sorted({act.token for act in candidate.acts if act.scope == scope}):
            yield f"act c{number} s{scope} {token}", _act_arrived(model, state, number, Act(scope, token))
    if state.budget.receiver_restarts:
        receiver = state.receivers[scope]
        restarted = receiver._replace(highest=receiver.disk)
        spent = state.spend(receiver_restarts=state.budget.receiver_restarts - 1)
        yield f"restart r{scope}", spent._replace(receivers=replaced(state.receivers, scope, restarted))


def _act_arrived(model: ModelRules, state: State, number: int, act: Act) -> State:
    receiver = state.receivers[act.scope]
    guard = FencingGuard({act.scope: receiver.highest})
    accepted = guard.accept(act.scope, act.token)
    highest = guard.highest[act.scope]
    violation = Violation.STALE_TOKEN if accepted and act.token < receiver.accepted else state.violation
    after = ReceiverState(
        highest,
        highest if model.persists_tokens else receiver.disk,
        max(receiver.accepted, act.token) if accepted else receiver.accepted,
    )
    acts = list(state.candidates[number].acts)
    acts.remove(act)
    state = state._replace(violation=violation, receivers=replaced(state.receivers, act.scope, after))
    return state.with_candidate(number, state.candidates[number]._replace(acts=tuple(acts)))
