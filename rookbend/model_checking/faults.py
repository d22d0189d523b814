"""Faults planted into the lease, each a change of a few words that looks harmless; the search must find what
each breaks within its bounds. `python -m benchmarks.leases_model_checking` prints the table."""

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

Patch = tuple[object, str, object]  # where, what, with what


@dataclass(frozen=True)
class Fault:
    """`breaks` is the property that must be found broken."""

    name: str
    words: str
    breaks: str
    bounds: Bounds
    patches: tuple[Patch, ...] = ()
    model: Callable[[Bounds], LeaseModel] = field(default=LeaseModel)


@contextmanager
def planted(fault: Fault) -> Iterator[LeaseModel]:
    """The model with the fault in the program's own classes, while it lasts."""
    before = [(where, what, getattr(where, what)) for where, what, _ in fault.patches]
    for where, what, new in fault.patches:
        setattr(where, what, new)
    try:
        yield fault.model(fault.bounds)
    finally:
        for where, what, old in before:
            setattr(where, what, old)


def _prompt(first: int = 0, **more: Any) -> Callable[[Bounds], LeaseModel]:
    return lambda bounds: LeaseModel(bounds, first_prompt_candidate=first, **more)


def _no_margin(bounds: Bounds) -> LeaseModel:
    @dataclass(frozen=True)
    class Whole(TickTerms):
        @property
        def holder_lease_us(self) -> int:
            return self.lease_us

    return LeaseModel(bounds, Whole(), first_prompt_candidate=0)


def _new_at_once(bounds: Bounds) -> LeaseModel:
    old, new = frozenset({0, 1, 2}), frozenset({0, 1, 3})
    return LeaseModel(bounds, first_prompt_candidate=0, quorums_by_candidate=((old,), (new,)))


TWO, TWICE, OLD = "two holders", "token twice", "old token"
FAULTS = (
    Fault(
        "no-quiet-time",
        "a voter whose disk is gone votes at once after a start",
        TWO,
        Bounds(rounds=2, ticks=0, without_disk=1),
        ((Voter, "__init__", faulty_behaviour.not_quiet),),
        _prompt(recalls_tokens=False),
    ),
    Fault(
        "kept-grant-is-over",
        "a grant found on disk counts as run out",
        TWO,
        Bounds(rounds=3, ticks=0, with_disk=1),
        ((Voter, "__init__", faulty_behaviour.kept_is_over),),
        _prompt(),
    ),
    Fault(
        "grants-while-granted",
        "a voter does not look whether its grant to another lasts",
        TWO,
        Bounds(rounds=3, ticks=0),
        ((Voter, "_wait_us", lambda self, now, grant, holder: 0),),
        _prompt(),
    ),
    Fault(
        "token-at-least",
        "`<` for `<=`: a token is granted a second time",
        TWICE,
        Bounds(rounds=2, ticks=3),
        ((Voter, "request", faulty_behaviour.ask_at_least),),
        _prompt(),
    ),
    Fault(
        "half-is-enough",
        "half of the voters, not more than half",
        TWO,
        Bounds(rounds=2, ticks=0),
        ((lease, "majority_granted_since", faulty_behaviour.majority(0)),),
        _prompt(),
    ),
    Fault(
        "no-drift-margin",
        "the holder counts all of the lease",
        TWO,
        Bounds(rounds=2, ticks=2, drifts=1, known_tokens=(0, 1)),
        model=_no_margin,
    ),
    Fault(
        "counted-from-the-answer",
        "the lease is counted from the vote, not from the ask",
        TWO,
        Bounds(rounds=2, ticks=3, known_tokens=(0, 1)),
        ((Lease, "record_grant", faulty_behaviour.granted_now),),
        _prompt(1),
    ),
    Fault(
        "one-vote-counts-twice",
        "a voter that answers two rounds counts as two",
        TWO,
        Bounds(rounds=3, ticks=0),
        ((Lease, "record_grant", faulty_behaviour.granted_twice),),
        _prompt(),
    ),
    Fault(
        "owner-without-clock",
        "the owner does not look at its clock",
        TWO,
        Bounds(rounds=2, ticks=3, known_tokens=(0, 1)),
        ((Lease, "is_held", lambda self, now: self.phase is Phase.HELD),),
        _prompt(),
    ),
    Fault(
        "votes-of-an-earlier-try",
        "votes outlast giving up",
        TWO,
        Bounds(rounds=3, ticks=0, releases=1, known_tokens=(0, 5)),
        ((Lease, "abandon", faulty_behaviour.keeps_votes), (Lease, "request", faulty_behaviour.begin_keeps)),
        _prompt(),
    ),
    Fault(
        "late-release",
        "a doubled release of an earlier token frees the newer grant",
        TWO,
        Bounds(rounds=3, ticks=0, releases=1, duplicates=1, known_tokens=(0, 5)),
        ((Voter, "release", faulty_behaviour.release_any_token),),
        _prompt(),
    ),
    Fault(
        "grant-not-on-disk",
        "a vote goes out before its grant is on disk",
        TWICE,
        Bounds(rounds=2, ticks=3, with_disk=1),
        model=_prompt(persists_grants=False, recalls_tokens=False),
    ),
    Fault(
        "no-floor",
        "a voter without a disk does not ask for the highest token",
        TWICE,
        Bounds(rounds=2, ticks=3, without_disk=1),
        model=_prompt(recalls_tokens=False),
    ),
    Fault(
        "receiver-takes-all",
        "a receiver does not compare tokens",
        OLD,
        Bounds(rounds=2, ticks=3, acts=2, known_tokens=(0, 1)),
        ((FencingGuard, "accept", faulty_behaviour.accept_all),),
        _prompt(),
    ),
    Fault(
        "receiver-off-by-one",
        "a receiver takes the token before the highest",
        OLD,
        Bounds(rounds=2, ticks=3, acts=2, known_tokens=(0, 1)),
        ((FencingGuard, "accept", faulty_behaviour.accept_equal_or_one_less),),
        _prompt(),
    ),
    Fault(
        "receiver-forgets",
        "a receiver's highest token is not on disk",
        OLD,
        Bounds(rounds=2, ticks=3, acts=2, receiver_restarts=1, known_tokens=(0, 1)),
        model=_prompt(persists_tokens=False),
    ),
    Fault(
        "new-voters-at-once",
        "half of the fleet goes by other voters, without both majorities",
        TWO,
        Bounds(voters=4, rounds=2, ticks=0),
        model=_new_at_once,
    ),
)
