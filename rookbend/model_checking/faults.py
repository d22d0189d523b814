"""Faults planted into the lease protocol, each a small change that looks harmless.

The search must find the property that each fault breaks within its bounds. `python -m benchmarks.leases_model_checking`
prints a table of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from rookbend.leases import lease
from rookbend.leases.fencing import FencingGuard
from rookbend.leases.lease import Lease, Phase
from rookbend.leases.voter import Voter
from rookbend.model_checking import faulty_behaviour
from rookbend.model_checking.bounds import Bounds, TickTerms
from rookbend.model_checking.lease import LeaseModel

Patch = tuple[object, str, object]  # owner, attribute, replacement


@dataclass(frozen=True)
class Fault:
    """A planted fault; the search must find that `broken_property` does not hold."""

    name: str
    description: str
    broken_property: str
    bounds: Bounds
    patches: tuple[Patch, ...] = ()
    model: Callable[[Bounds], LeaseModel] = field(default=LeaseModel)


@contextmanager
def planted(fault: Fault) -> Iterator[LeaseModel]:
    """Patches the fault into the program's own classes for the duration of the block; gives the model."""
    originals = [(owner, attribute, getattr(owner, attribute)) for owner, attribute, _ in fault.patches]
    for owner, attribute, replacement in fault.patches:
        setattr(owner, attribute, replacement)
    try:
        yield fault.model(fault.bounds)
    finally:
        for owner, attribute, original in originals:
            setattr(owner, attribute, original)


def _with_prompt_candidates(first: int = 0, **rules: Any) -> Callable[[Bounds], LeaseModel]:
    return lambda bounds: LeaseModel(bounds, first_prompt_candidate=first, **rules)


def _without_drift_margin(bounds: Bounds) -> LeaseModel:
    @dataclass(frozen=True)
    class FullLeaseTerms(TickTerms):
        @property
        def holder_lease_us(self) -> int:
            return self.lease_us

    return LeaseModel(bounds, FullLeaseTerms(), first_prompt_candidate=0)


def _new_voters_at_once(bounds: Bounds) -> LeaseModel:
    old_voters, new_voters = frozenset({0, 1, 2}), frozenset({0, 1, 3})
    return LeaseModel(bounds, first_prompt_candidate=0, quorums_by_candidate=((old_voters,), (new_voters,)))


TWO_HOLDERS, TOKEN_REUSED, STALE_TOKEN = "two holders", "token twice", "old token"
FAULTS = (
    Fault(
        "no-quiet-time",
        "a voter that has lost its disk votes immediately after a restart",
        TWO_HOLDERS,
        Bounds(rounds=2, ticks=0, without_disk=1),
        ((Voter, "__init__", faulty_behaviour.start_without_quarantine),),
        _with_prompt_candidates(recalls_tokens=False),
    ),
    Fault(
        "kept-grant-is-over",
        "a grant found on disk counts as expired",
        TWO_HOLDERS,
        Bounds(rounds=3, ticks=0, with_disk=1),
        ((Voter, "__init__", faulty_behaviour.start_with_expired_grants),),
        _with_prompt_candidates(),
    ),
    Fault(
        "grants-while-granted",
        "a voter does not check whether its grant to another holder is still valid",
        TWO_HOLDERS,
        Bounds(rounds=3, ticks=0),
        ((Voter, "_wait_us", lambda self, now, grant, holder: 0),),
        _with_prompt_candidates(),
    ),
    Fault(
        "token-at-least",
        "`<` instead of `<=`: a token is granted a second time",
        TOKEN_REUSED,
        Bounds(rounds=2, ticks=3),
        ((Voter, "request", faulty_behaviour.request_granting_equal_token),),
        _with_prompt_candidates(),
    ),
    Fault(
        "half-is-enough",
        "half of the voters are enough, instead of more than half",
        TWO_HOLDERS,
        Bounds(rounds=2, ticks=0),
        ((lease, "majority_granted_since", faulty_behaviour.majority_of_half_plus(0)),),
        _with_prompt_candidates(),
    ),
    Fault(
        "no-drift-margin",
        "the holder uses the whole lease, without the margin for clock drift",
        TWO_HOLDERS,
        Bounds(rounds=2, ticks=2, drifts=1, known_tokens=(0, 1)),
        model=_without_drift_margin,
    ),
    Fault(
        "counted-from-the-answer",
        "the lease is counted from the vote, not from the request",
        TWO_HOLDERS,
        Bounds(rounds=2, ticks=3, known_tokens=(0, 1)),
        ((Lease, "record_grant", faulty_behaviour.record_grant_from_vote),),
        _with_prompt_candidates(1),
    ),
    Fault(
        "one-vote-counts-twice",
        "a voter that votes in two rounds counts as two voters",
        TWO_HOLDERS,
        Bounds(rounds=3, ticks=0),
        ((Lease, "record_grant", faulty_behaviour.record_grant_for_other_voter),),
        _with_prompt_candidates(),
    ),
    Fault(
        "owner-without-clock",
        "the holder does not check the expiry of its lease",
        TWO_HOLDERS,
        Bounds(rounds=2, ticks=3, known_tokens=(0, 1)),
        ((Lease, "is_held", lambda self, now: self.phase is Phase.HELD),),
        _with_prompt_candidates(),
    ),
    Fault(
        "votes-of-an-earlier-try",
        "votes are kept after the candidate abandons its attempt",
        TWO_HOLDERS,
        Bounds(rounds=3, ticks=0, releases=1, known_tokens=(0, 5)),
        (
            (Lease, "abandon", faulty_behaviour.abandon_keeping_votes),
            (Lease, "request", faulty_behaviour.request_keeping_votes),
        ),
        _with_prompt_candidates(),
    ),
    Fault(
        "late-release",
        "a duplicated release of an earlier token releases the newer grant",
        TWO_HOLDERS,
        Bounds(rounds=3, ticks=0, releases=1, duplicates=1, known_tokens=(0, 5)),
        ((Voter, "release", faulty_behaviour.release_any_token),),
        _with_prompt_candidates(),
    ),
    Fault(
        "grant-not-on-disk",
        "a vote is sent before its grant is on disk",
        TOKEN_REUSED,
        Bounds(rounds=2, ticks=3, with_disk=1),
        model=_with_prompt_candidates(persists_grants=False, recalls_tokens=False),
    ),
    Fault(
        "no-floor",
        "a voter without a disk does not ask for the highest token",
        TOKEN_REUSED,
        Bounds(rounds=2, ticks=3, without_disk=1),
        model=_with_prompt_candidates(recalls_tokens=False),
    ),
    Fault(
        "receiver-takes-all",
        "a receiver does not compare tokens",
        STALE_TOKEN,
        Bounds(rounds=2, ticks=3, acts=2, known_tokens=(0, 1)),
        ((FencingGuard, "accept", faulty_behaviour.accept_all),),
        _with_prompt_candidates(),
    ),
    Fault(
        "receiver-off-by-one",
        "a receiver accepts the token one below the highest",
        STALE_TOKEN,
        Bounds(rounds=2, ticks=3, acts=2, known_tokens=(0, 1)),
        ((FencingGuard, "accept", faulty_behaviour.accept_equal_or_one_less),),
        _with_prompt_candidates(),
    ),
    Fault(
        "receiver-forgets",
        "a receiver does not persist its highest token",
        STALE_TOKEN,
        Bounds(rounds=2, ticks=3, acts=2, receiver_restarts=1, known_tokens=(0, 1)),
        model=_with_prompt_candidates(persists_tokens=False),
    ),
    Fault(
        "new-voters-at-once",
        "half of the fleet uses a new set of voters, without a majority of both sets",
        TWO_HOLDERS,
        Bounds(voters=4, rounds=2, ticks=0),
        model=_new_voters_at_once,
    ),
)
