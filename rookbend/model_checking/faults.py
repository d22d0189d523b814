"""Faults planted into the lease, each a change of a few words that looks harmless; the search must find what
each breaks within its bounds. `python -m benchmarks.leases_model_checking` prints the table."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from rookbend.leases import lease
from rookbend.leases.fencing import Receiver
from rookbend.leases.lease import NONE, Grant, Phase, Tenure, Terms, Vote, Voter
from rookbend.model_checking.lease import Bounds, LeaseModel, Ticks

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


def _not_quiet(self: Voter, terms: Terms, now: int, kept) -> None:
    self.terms, self.quiet_until, self.floor = terms, now, 0
    self.grants = {s: Grant(holder, token, now + terms.lease_us) for s, (holder, token) in kept.items()}


def _kept_is_over(self: Voter, terms: Terms, now: int, kept) -> None:
    self.terms, self.quiet_until, self.floor = terms, now, 0
    self.grants = {s: Grant(holder, token, now) for s, (holder, token) in kept.items()}


def _ask_at_least(self: Voter, now: int, scope: int, holder, token: int) -> Vote:
    grant = self.grants.get(scope, NONE)
    if grant.holder == holder and grant.token == token and now < grant.until:
        self.grants[scope] = Grant(holder, token, now + self.terms.lease_us)
        return Vote(True, token, holder[0], self.terms.lease_us)
    free_us = self._free_us(now, grant, holder)
    if free_us or token < max(grant.token, self.floor):
        return Vote(False, max(grant.token, self.floor), grant.holder[0], free_us)
    self.grants[scope] = Grant(holder, token, now + self.terms.lease_us)
    return Vote(True, token, holder[0], self.terms.lease_us, True)


def _majority(extra: int):
    def agreed(sets, yes):
        least = 0
        for number, voters in enumerate(sets):
            asked = sorted((yes[v] for v in voters if v in yes), reverse=True)
            needed = len(voters) // 2 + extra
            if len(asked) < needed:
                return 0
            least = asked[needed - 1] if not number else min(least, asked[needed - 1])
        return least

    return agreed


def _granted_now(self: Tenure, now: int, voter: int, round_: int, token: int) -> bool:
    if round_ not in self.asked or token != self.token or self.phase is Phase.IDLE:
        return False
    self.yes[voter] = now
    return self._settle(now)


def _granted_twice(self: Tenure, now: int, voter: int, round_: int, token: int) -> bool:
    at = self.asked.get(round_)
    if at is None or token != self.token or self.phase is Phase.IDLE:
        return False
    other = (
        voter if self.yes.get(voter) is None else next((v for v in min(self.sets, key=len) if v not in self.yes), voter)
    )
    self.yes[other] = at
    return self._settle(now)


def _keeps_votes(self: Tenure) -> None:
    self.phase, self.until, self.asked = Phase.IDLE, 0, {}


def _begin_keeps(self: Tenure, now: int, token: int) -> int:
    self.phase, self.token, self.until, self.asked = Phase.ASKING, token, 0, {}
    return self.again(now)


def _release_any_token(self: Voter, now: int, scope: int, holder, token: int, successor: int = -1) -> None:
    grant = self.grants.get(scope, NONE)
    if grant.holder == holder and now < grant.until:
        self.grants[scope] = Grant(holder, grant.token, now)


def _accept_all(self: Receiver, scope: int, token: int) -> bool:
    self.highest[scope] = token
    return True


def _accept_equal_or_one_less(self: Receiver, scope: int, token: int) -> bool:
    if token < self.highest.get(scope, 0) - 1:
        return False
    self.highest[scope] = max(token, self.highest.get(scope, 0))
    return True


def _prompt(first: int = 0, **more) -> Callable[[Bounds], LeaseModel]:
    return lambda bounds: LeaseModel(bounds, prompt=first, **more)


def _no_margin(bounds: Bounds) -> LeaseModel:
    @dataclass(frozen=True)
    class Whole(Ticks):
        @property
        def held_us(self) -> int:
            return self.lease_us

    return LeaseModel(bounds, Whole(), prompt=0)


def _new_at_once(bounds: Bounds) -> LeaseModel:
    old, new = frozenset({0, 1, 2}), frozenset({0, 1, 3})
    return LeaseModel(bounds, prompt=0, sets=((old,), (new,)))


TWO, TWICE, OLD = "two holders", "token twice", "old token"
FAULTS = (
    Fault(
        "no-quiet-time",
        "a voter whose disk is gone votes at once after a start",
        TWO,
        Bounds(rounds=2, ticks=0, without_disk=1),
        ((Voter, "__init__", _not_quiet),),
        _prompt(floors=False),
    ),
    Fault(
        "kept-grant-is-over",
        "a grant found on disk counts as run out",
        TWO,
        Bounds(rounds=3, ticks=0, with_disk=1),
        ((Voter, "__init__", _kept_is_over),),
        _prompt(),
    ),
    Fault(
        "grants-while-granted",
        "a voter does not look whether its grant to another lasts",
        TWO,
        Bounds(rounds=3, ticks=0),
        ((Voter, "_free_us", lambda self, now, grant, holder: 0),),
        _prompt(),
    ),
    Fault(
        "token-at-least",
        "`<` for `<=`: a token is granted a second time",
        TWICE,
        Bounds(rounds=2, ticks=3),
        ((Voter, "ask", _ask_at_least),),
        _prompt(),
    ),
    Fault(
        "half-is-enough",
        "half of the voters, not more than half",
        TWO,
        Bounds(rounds=2, ticks=0),
        ((lease, "agreed", _majority(0)),),
        _prompt(),
    ),
    Fault(
        "no-drift-margin",
        "the holder counts all of the lease",
        TWO,
        Bounds(rounds=2, ticks=2, drifts=1, tops=(0, 1)),
        model=_no_margin,
    ),
    Fault(
        "counted-from-the-answer",
        "the lease is counted from the vote, not from the ask",
        TWO,
        Bounds(rounds=2, ticks=3, tops=(0, 1)),
        ((Tenure, "granted", _granted_now),),
        _prompt(1),
    ),
    Fault(
        "one-vote-counts-twice",
        "a voter that answers two rounds counts as two",
        TWO,
        Bounds(rounds=3, ticks=0),
        ((Tenure, "granted", _granted_twice),),
        _prompt(),
    ),
    Fault(
        "owner-without-clock",
        "the owner does not look at its clock",
        TWO,
        Bounds(rounds=2, ticks=3, tops=(0, 1)),
        ((Tenure, "owns", lambda self, now: self.phase is Phase.OWNED),),
        _prompt(),
    ),
    Fault(
        "votes-of-an-earlier-try",
        "votes outlast giving up",
        TWO,
        Bounds(rounds=3, ticks=0, releases=1, tops=(0, 5)),
        ((Tenure, "give_up", _keeps_votes), (Tenure, "begin", _begin_keeps)),
        _prompt(),
    ),
    Fault(
        "late-release",
        "a doubled release of an earlier token frees the newer grant",
        TWO,
        Bounds(rounds=3, ticks=0, releases=1, doubles=1, tops=(0, 5)),
        ((Voter, "release", _release_any_token),),
        _prompt(),
    ),
    Fault(
        "grant-not-on-disk",
        "a vote goes out before its grant is on disk",
        TWICE,
        Bounds(rounds=2, ticks=3, with_disk=1),
        model=_prompt(voter_disk=False, floors=False),
    ),
    Fault(
        "no-floor",
        "a voter without a disk does not ask for the highest token",
        TWICE,
        Bounds(rounds=2, ticks=3, without_disk=1),
        model=_prompt(floors=False),
    ),
    Fault(
        "receiver-takes-all",
        "a receiver does not compare tokens",
        OLD,
        Bounds(rounds=2, ticks=3, acts=2, tops=(0, 1)),
        ((Receiver, "accept", _accept_all),),
        _prompt(),
    ),
    Fault(
        "receiver-off-by-one",
        "a receiver takes the token before the highest",
        OLD,
        Bounds(rounds=2, ticks=3, acts=2, tops=(0, 1)),
        ((Receiver, "accept", _accept_equal_or_one_less),),
        _prompt(),
    ),
    Fault(
        "receiver-forgets",
        "a receiver's highest token is not on disk",
        OLD,
        Bounds(rounds=2, ticks=3, acts=2, receiver_restarts=1, tops=(0, 1)),
        model=_prompt(receiver_disk=False),
    ),
    Fault(
        "new-voters-at-once",
        "half of the fleet goes by other voters, without both majorities",
        TWO,
        Bounds(voters=4, rounds=2, ticks=0),
        model=_new_at_once,
    ),
)
