"""Faulty replacements for methods of the lease protocol; `faults` names the property that each breaks."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from rookbend.leases.fencing import FencingGuard
from rookbend.leases.lease import Holder, Lease, LeaseTerms, Phase, Quorums
from rookbend.leases.voter import NO_GRANT, Grant, PersistedGrant, Vote, Voter


def start_without_quarantine(self: Voter, terms: LeaseTerms, now: int, persisted: Mapping[int, PersistedGrant]) -> None:
    """`Voter.__init__`: starts without a quarantine."""
    self.terms, self.quarantine_until_us, self.token_floor = terms, now, 0
    self.grants = {s: Grant(holder, token, now + terms.lease_us) for s, (holder, token) in persisted.items()}


def start_with_expired_grants(
    self: Voter, terms: LeaseTerms, now: int, persisted: Mapping[int, PersistedGrant]
) -> None:
    """`Voter.__init__`: starts without a quarantine, and with persisted grants as expired."""
    self.terms, self.quarantine_until_us, self.token_floor = terms, now, 0
    self.grants = {s: Grant(holder, token, now) for s, (holder, token) in persisted.items()}


def request_granting_equal_token(self: Voter, now: int, scope: int, holder: Holder, token: int) -> Vote:
    """`Voter.request`: also grants a token that equals the highest one."""
    grant = self.grants.get(scope, NO_GRANT)
    if grant.holder == holder and grant.token == token and now < grant.expires_us:
        self.grants[scope] = Grant(holder, token, now + self.terms.lease_us)
        return Vote(True, token, holder[0], self.terms.lease_us)
    wait_us = self._wait_us(now, grant, holder)
    if wait_us or token < max(grant.token, self.token_floor):
        return Vote(False, max(grant.token, self.token_floor), grant.holder[0], wait_us)
    self.grants[scope] = Grant(holder, token, now + self.terms.lease_us)
    return Vote(True, token, holder[0], self.terms.lease_us, True)


def majority_of_half_plus(extra: int) -> Callable[[Quorums, Mapping[int, int]], int]:
    """Returns a `majority_granted_since` whose majority is half of the voters plus `extra`."""

    def majority_granted_since(sets: Quorums, granted_us: Mapping[int, int]) -> int:
        earliest_us = 0
        for number, voters in enumerate(sets):
            sent_us = sorted((granted_us[v] for v in voters if v in granted_us), reverse=True)
            needed = len(voters) // 2 + extra
            if len(sent_us) < needed:
                return 0
            earliest_us = sent_us[needed - 1] if not number else min(earliest_us, sent_us[needed - 1])
        return earliest_us

    return majority_granted_since


def record_grant_from_vote(self: Lease, now: int, voter: int, round_: int, token: int) -> bool:
    """`Lease.record_grant`: counts the lease from the arrival of the vote."""
    if round_ not in self.rounds_sent_us or token != self.token or self.phase is Phase.IDLE:
        return False
    self.granted_us[voter] = now
    return self._update_expiry(now)


def record_grant_for_other_voter(self: Lease, now: int, voter: int, round_: int, token: int) -> bool:
    """`Lease.record_grant`: counts a second vote of a voter as that of another voter."""
    sent_us = self.rounds_sent_us.get(round_)
    if sent_us is None or token != self.token or self.phase is Phase.IDLE:
        return False
    counted_voter = (
        voter
        if self.granted_us.get(voter) is None
        else next((v for v in min(self.quorums, key=len) if v not in self.granted_us), voter)
    )
    self.granted_us[counted_voter] = sent_us
    return self._update_expiry(now)


def abandon_keeping_votes(self: Lease) -> None:
    """`Lease.abandon`: keeps the votes."""
    self.phase, self.expires_us, self.rounds_sent_us = Phase.IDLE, 0, {}


def request_keeping_votes(self: Lease, now: int, token: int) -> int:
    """`Lease.request`: keeps the votes of the previous attempt."""
    self.phase, self.token, self.expires_us, self.rounds_sent_us = Phase.REQUESTING, token, 0, {}
    return self.next_round(now)


def release_any_token(self: Voter, now: int, scope: int, holder: Holder, token: int, successor: int = -1) -> None:
    """`Voter.release`: does not compare tokens."""
    grant = self.grants.get(scope, NO_GRANT)
    if grant.holder == holder and now < grant.expires_us:
        self.grants[scope] = Grant(holder, grant.token, now)


def accept_all(self: FencingGuard, scope: int, token: int) -> bool:
    """`FencingGuard.accept`: does not compare tokens."""
    self.highest[scope] = token
    return True


def accept_equal_or_one_less(self: FencingGuard, scope: int, token: int) -> bool:
    """`FencingGuard.accept`: also accepts the token one below the highest."""
    if token < self.highest.get(scope, 0) - 1:
        return False
    self.highest[scope] = max(token, self.highest.get(scope, 0))
    return True
