"""A model of voters, candidates and a receiver for `search`: the real `Voter`, `Lease` and `FencingGuard`, and
around them a network that loses, delays, doubles and reorders, clocks that drift and step, processes that
stop, restart and lose their disks.

Time is a few ticks: a lease of 3, of which a holder counts 1, so that a voter's clock may gain a tick and a
holder's lose one. A process that is stopped is one that takes no step while the others do; its clock goes on.
An act is two steps, the check before it and its arrival at the receiver: whatever happens between them may.

What is looked at in each state and step (docs/OWNERSHIP.md has the words):

    two holders     never two in effect of one scope, each by its own clock
    old token       no receiver takes an older token after a newer one
    token twice     no token of a scope is ever two owners'
    token back      an owner's token is above that of every owner before it

Reductions that lose nothing: a refusal reaches its candidate at once or never (it only raises the token that
is asked with next), and a vote for a life that has ended is dropped.

State: (now, bad, voters, candidates, receivers, owners, left). Messages lie with the voter that they go to or
come from, so voters are alike but for their number, and are sorted (`canonical`).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from rookbend.leases.fencing import FencingGuard
from rookbend.leases.lease import Holder, Lease, LeaseTerms, Phase
from rookbend.leases.voter import Grant, Voter
from rookbend.model_checking.bounds import (
    ACTS,
    DOUBLES,
    DRIFTS,
    LEFT,
    LIVES,
    OLD_DISK,
    RECEIVER_RESTARTS,
    RELEASES,
    ROUNDS,
    TICKS,
    WITH_DISK,
    WITHOUT_DISK,
    Bounds,
    Ticks,
)

BEGAN = 10  # ticks: no time is nought
BAD = "", "old token", "token twice", "token back"
PHASES = tuple(Phase)
ASK, RELEASE, VOTE = 1, 2, 3
CLOCK_TOKENS = 8  # tokens that a tick of a clock is worth


@dataclass
class LeaseModel:
    bounds: Bounds = field(default_factory=Bounds)
    terms: LeaseTerms = field(default_factory=Ticks)
    # What the driver must do, and does not in a planted fault.
    voter_disk: bool = True  # a grant is on disk before the vote
    receiver_disk: bool = True  # a token before its act takes effect
    floors: bool = True  # a starting voter asks the others for the highest token
    prompt: int = 1 << 10  # candidates from this on get a vote as it is given; asks still wait
    sets: tuple[tuple[frozenset[int], ...], ...] = ()  # by candidate; else all voters are the one set of all

    # From tuples to the program's objects, and back

    def _voter(self, now: int, v: tuple) -> Voter:
        voter = object.__new__(Voter)
        voter.terms, voter.token_floor, voter.quarantine_until_us = self.terms, v[1], v[2]
        voter.grants = {s: Grant(*g) for s, g in v[0]}
        return voter

    @staticmethod
    def _save_voter(voter: Voter, v: tuple) -> tuple:
        grants = tuple(sorted((s, tuple(g)) for s, g in voter.grants.items()))
        return (grants, voter.token_floor, voter.quarantine_until_us, *v[3:])

    def _tenure(self, c: int, life: int, scope: int, t: tuple) -> Lease:
        sets = self.sets[c] if self.sets else (frozenset(range(self.bounds.voters)),)
        tenure = Lease(scope, Holder(c, life), self.terms, sets)
        tenure.phase, tenure.token, tenure.expires_us, tenure.round = PHASES[t[0]], t[1], t[2], t[3]
        tenure.rounds_sent_us, tenure.granted_us = dict(t[4]), dict(t[5])
        return tenure

    @staticmethod
    def _save_tenure(t: Lease) -> tuple:
        return (
            PHASES.index(t.phase),
            t.token,
            t.expires_us,
            t.round,
            tuple(sorted(t.rounds_sent_us.items())),
            tuple(sorted(t.granted_us.items())),
        )

    # The model

    def first(self) -> Iterator[tuple]:
        b = self.bounds
        # grants, floor, quiet until, drift, disk, disk of last week, messages in, messages out
        voter = ((), 0, BEGAN, 0, (), (), (), ())
        # life, drift, highest token known, tenures, acts checked and not arrived
        idle = tuple((0, 0, 0, 0, (), ()) for _ in range(b.scopes))
        candidates = tuple((1, 0, top, idle, ()) for top in b.tops or (0,) * b.candidates)
        # highest, its disk, the highest that truly took effect
        receivers = tuple((0, 0, 0) for _ in range(b.scopes))
        yield (BEGAN, 0, (voter,) * b.voters, candidates, receivers, (), tuple(getattr(b, name) for name in LEFT))

    def canonical(self, state: tuple) -> tuple:
        now, bad, voters, candidates, receivers, owners, left = state
        if self.sets:
            return state  # voters are not alike
        rows = []
        for v, voter in enumerate(voters):
            yes = tuple(next((at for number, at in t[5] if number == v), 0) for c in candidates for t in c[3])
            rows.append((voter, yes))
        rows.sort()
        stripped = tuple((c[0], c[1], c[2], tuple(t[:5] for t in c[3]), c[4]) for c in candidates)
        return now, bad, tuple(rows), stripped, receivers, owners, left

    def wrong(self, state: tuple) -> str:
        now, bad, _, candidates, _, _, _ = state
        for scope in range(self.bounds.scopes):
            holders = 0
            for c, (life, drift, _, tenures, _) in enumerate(candidates):
                t = tenures[scope]
                if t[0] == 2:
                    holders += self._tenure(c, life, scope, t).is_held(now + drift)
            if holders > 1:
                return "two holders"
        return BAD[bad]

    def steps(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        for name, after in self._all_steps(state):
            yield name, self._tidy(after)

    def _all_steps(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        yield from self._time(state)
        for c in range(self.bounds.candidates):
            yield from self._candidate(state, c)
        for v in range(self.bounds.voters):
            yield from self._voter_steps(state, v)
        for scope in range(self.bounds.scopes):
            yield from self._receiver_steps(state, scope)

    @staticmethod
    def _spent(left: tuple, what: int) -> tuple:
        return (*left[:what], left[what] - 1, *left[what + 1 :])

    @staticmethod
    def _put(rows: tuple, at: int, row: tuple) -> tuple:
        return (*rows[:at], row, *rows[at + 1 :])

    def _time(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        now, bad, voters, candidates, receivers, owners, left = state
        if left[TICKS]:
            yield "tick", (now + 1, bad, voters, candidates, receivers, owners, self._spent(left, TICKS))
        if not left[DRIFTS]:
            return
        spent = self._spent(left, DRIFTS)
        for v, row in enumerate(voters):
            if not row[3]:  # only a fast voter does harm, only a slow candidate
                fast = (*row[:3], 1, *row[4:])
                yield f"fast v{v}", (now, bad, self._put(voters, v, fast), candidates, receivers, owners, spent)
        for c, row in enumerate(candidates):
            if not row[1]:
                slow = (row[0], -1, *row[2:])
                yield f"slow c{c}", (now, bad, voters, self._put(candidates, c, slow), receivers, owners, spent)

    # Candidates

    def _candidate(self, state: tuple, c: int) -> Iterator[tuple[str, tuple]]:
        now, bad, voters, candidates, receivers, owners, left = state
        life, drift, top, tenures, acts = candidates[c]
        local = now + drift
        for scope, saved in enumerate(tenures):
            tenure = self._tenure(c, life, scope, saved)
            lapsed = tenure.expire(local)
            if left[ROUNDS]:
                if tenure.phase is Phase.IDLE:
                    token = max(top, now * CLOCK_TOKENS if self.bounds.clock else 0) + 1
                    round_ = tenure.request(local, token)
                else:
                    round_ = tenure.next_round(local)
                message = (ASK, c, life, scope, tenure.token, round_)
                asked = tuple((*v[:6], tuple(sorted((*v[6], message))), v[7]) for v in voters)
                row = (life, drift, max(top, tenure.token), self._put(tenures, scope, self._save_tenure(tenure)), acts)
                yield (
                    f"ask c{c} s{scope}",
                    (now, bad, asked, self._put(candidates, c, row), receivers, owners, self._spent(left, ROUNDS)),
                )
            if lapsed or saved[0] != 2:
                continue
            if left[ACTS] and tenure.is_held(local):
                row = (life, drift, top, tenures, tuple(sorted((*acts, (scope, saved[1])))))
                yield (
                    f"check c{c} s{scope}",
                    (now, bad, voters, self._put(candidates, c, row), receivers, owners, self._spent(left, ACTS)),
                )
            if left[RELEASES]:
                given_up = self._tenure(c, life, scope, saved)
                given_up.abandon()
                message = (RELEASE, c, life, scope, saved[1], 0)
                told = tuple((*v[:6], tuple(sorted((*v[6], message))), v[7]) for v in voters)
                row = (life, drift, top, self._put(tenures, scope, self._save_tenure(given_up)), acts)
                yield (
                    f"release c{c} s{scope}",
                    (now, bad, told, self._put(candidates, c, row), receivers, owners, self._spent(left, RELEASES)),
                )
        if left[LIVES]:
            # What it had sent and checked is on its way still; what it knew is gone.
            idle = tuple((0, 0, 0, 0, (), ()) for _ in tenures)
            row = (life + 1, drift, 0, idle, acts)
            yield (
                f"restart c{c}",
                (now, bad, voters, self._put(candidates, c, row), receivers, owners, self._spent(left, LIVES)),
            )

    # Voters

    def _voter_steps(self, state: tuple, v: int) -> Iterator[tuple[str, tuple]]:
        now, bad, voters, candidates, receivers, owners, left = state
        row = voters[v]
        for at, message in enumerate(row[6]):
            if at and row[6][at - 1] == message:
                continue
            rest = row[6][:at] + row[6][at + 1 :]
            yield f"to v{v} {message}", self._hear_ask(state, v, message, rest, left)
            if left[DOUBLES]:
                yield f"again v{v} {message}", self._hear_ask(state, v, message, row[6], self._spent(left, DOUBLES))
        for at, message in enumerate(row[7]):
            if at and row[7][at - 1] == message:
                continue
            rest = row[7][:at] + row[7][at + 1 :]
            yield f"from v{v} {message}", self._hear_vote(state, v, message, rest)
        local = now + row[3]
        for what, name in ((WITH_DISK, "disk"), (WITHOUT_DISK, "none"), (OLD_DISK, "old")):
            if not left[what]:
                continue
            disk = row[4] if what == WITH_DISK else () if what == WITHOUT_DISK else row[5]
            voter = Voter(self.terms, local, dict(disk))
            if self.floors and what != WITH_DISK:
                # It asks while it is quiet; that the others answer is what `without_disk` at most once means.
                voter.raise_token_floor(
                    max((self._voter(now, o).highest_token for n, o in enumerate(voters) if n != v), default=0)
                )
            new = (*self._save_voter(voter, row)[:4], disk, row[5], row[6], row[7])
            yield (
                f"restart v{v} {name}",
                (now, bad, self._put(voters, v, new), candidates, receivers, owners, self._spent(left, what)),
            )

    def _hear_ask(self, state: tuple, v: int, message: tuple, rest: tuple, left: tuple) -> tuple:
        now, bad, voters, candidates, receivers, owners, _ = state
        kind, c, life, scope, token, round_ = message
        row = voters[v]
        voter = self._voter(now, row)
        local, out, disk, old = now + row[3], row[7], row[4], row[5]
        if kind == RELEASE:
            voter.release(local, scope, Holder(c, life), token)
        else:
            vote = voter.request(local, scope, Holder(c, life), token)
            if not vote.granted:
                candidates = self._refused(candidates, c, life, scope, vote.token)
            if vote.must_persist and self.voter_disk:
                # The disk of last week is as it was before the newest grant.
                old = disk
                disk = tuple(sorted((*(d for d in disk if d[0] != scope), (scope, voter.persisted_grant(scope)))))
            if vote.granted and c >= self.prompt:
                new = (*self._save_voter(voter, row)[:4], disk, old, rest, out)
                return self._hear_vote(
                    (now, bad, self._put(voters, v, new), candidates, receivers, owners, left),
                    v,
                    (VOTE, c, life, scope, token, round_),
                    out,
                )
            if vote.granted:
                out = tuple(sorted((*out, (VOTE, c, life, scope, token, round_))))
        saved = self._save_voter(voter, row)
        new = (*saved[:4], disk, old, rest, out)
        return now, bad, self._put(voters, v, new), candidates, receivers, owners, left

    def _hear_vote(self, state: tuple, v: int, message: tuple, rest: tuple) -> tuple:
        now, bad, voters, candidates, receivers, owners, left = state
        _, c, life, scope, token, round_ = message
        row = voters[v]
        voters = self._put(voters, v, (*row[:7], rest))
        ours, drift, top, tenures, acts = candidates[c]
        if ours != life:
            return now, bad, voters, candidates, receivers, owners, left
        tenure = self._tenure(c, life, scope, tenures[scope])
        tenure.expire(now + drift)
        if tenure.record_grant(now + drift, v, round_, token):
            bad = bad or self._owned(owners, scope, token, c, life)
            owners = tuple(sorted((*owners, (scope, token, c, life))))
        saved = (life, drift, top, self._put(tenures, scope, self._save_tenure(tenure)), acts)
        return now, bad, voters, self._put(candidates, c, saved), receivers, owners, left

    def _refused(self, candidates: tuple, c: int, life: int, scope: int, highest: int) -> tuple:
        ours, drift, top, tenures, acts = candidates[c]
        if ours != life:
            return candidates
        tenure = self._tenure(c, life, scope, tenures[scope])
        if tenure.phase is Phase.REQUESTING and highest >= tenure.token:
            tenure.abandon()  # with that token it can't be had any more
            tenures = self._put(tenures, scope, self._save_tenure(tenure))
        return self._put(candidates, c, (ours, drift, max(top, highest), tenures, acts))

    @staticmethod
    def _tidy(state: tuple) -> tuple:
        """Without the votes for lives that have ended."""
        now, bad, voters, candidates, receivers, owners, left = state
        if not any(v[7] for v in voters):
            return state
        tidied = tuple((*v[:7], tuple(m for m in v[7] if candidates[m[1]][0] == m[2])) for v in voters)
        return now, bad, tidied, candidates, receivers, owners, left

    @staticmethod
    def _owned(owners: tuple, scope: int, token: int, c: int, life: int) -> int:
        for s, t, by, in_life in owners:
            if s == scope and t == token and (by, in_life) != (c, life):
                return 2
            if s == scope and t > token:
                return 3
        return 0

    # Receivers

    def _receiver_steps(self, state: tuple, scope: int) -> Iterator[tuple[str, tuple]]:
        now, bad, voters, candidates, receivers, owners, left = state
        highest, disk, truth = receivers[scope]
        for c, row in enumerate(candidates):
            for token in sorted({t for s, t in row[4] if s == scope}):
                receiver = FencingGuard({scope: highest})
                accepted = receiver.accept(scope, token)
                new = receiver.highest[scope]
                rest = list(row[4])
                rest.remove((scope, token))
                worse = 1 if accepted and token < truth else bad
                saved = (new, new if self.receiver_disk else disk, max(truth, token) if accepted else truth)
                yield (
                    f"act c{c} s{scope} {token}",
                    (
                        now,
                        worse,
                        voters,
                        self._put(candidates, c, (*row[:4], tuple(rest))),
                        self._put(receivers, scope, saved),
                        owners,
                        left,
                    ),
                )
        if left[RECEIVER_RESTARTS]:
            yield (
                f"restart r{scope}",
                (
                    now,
                    bad,
                    voters,
                    candidates,
                    self._put(receivers, scope, (disk, disk, truth)),
                    owners,
                    self._spent(left, RECEIVER_RESTARTS),
                ),
            )
