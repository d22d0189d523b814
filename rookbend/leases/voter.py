"""A voter: grants each scope to one holder at a time, for a bounded time by its own clock.

A holder is one incarnation of a director: a director that restarts is another holder, and its own earlier lease must
expire like any other. Tokens only grow: a new grant of a scope needs a token above all that were granted for it. While
a grant is in force, its holder renews it with the same token; after that, the holder needs a new token. A grant is
durable before the vote for it is sent.

After every start a voter is in quarantine for the length of a lease. Durable storage may lack grants of an earlier
incarnation (storage lost, or an older copy restored); all of these have expired when the quarantine ends. During the
quarantine the voter only renews the grants that its storage holds, and asks the other voters for their highest tokens.
Every later new grant needs a token above the highest one reported. All clocks are monotonic.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from rookbend.leases.lease import Holder, LeaseTerms

NO_DIRECTOR = -1
NO_HOLDER = Holder(NO_DIRECTOR, 0)


class Grant(NamedTuple):
    """A grant of a scope, with times by the voter's clock.

    Before `reserved_until_us` the scope is granted only to `successor`.
    """

    holder: Holder
    token: int
    expires_us: int
    successor: int = NO_DIRECTOR
    reserved_until_us: int = 0


class PersistedGrant(NamedTuple):
    """The part of a grant that is kept in durable storage."""

    holder: Holder
    token: int


class Vote(NamedTuple):
    """A voter's answer to a holder's request.

    If the request is granted, `token` is the granted token, otherwise the highest token granted for the scope or the
    token floor, whichever is higher. `director` is the holder of the scope's latest grant, and `remaining_us` the time
    until the scope can be granted anew. With `must_persist` the grant must be durable before the vote is sent.
    """

    granted: bool
    token: int
    director: int
    remaining_us: int
    must_persist: bool = False


NO_GRANT = Grant(NO_HOLDER, 0, 0)


class Voter:
    """The grants that one director has made, by scope; `persisted` are those restored from durable storage."""

    __slots__ = ("grants", "quarantine_until_us", "terms", "token_floor")

    def __init__(self, terms: LeaseTerms, now_us: int, persisted: Mapping[int, PersistedGrant]):
        self.terms = terms
        self.quarantine_until_us = now_us + terms.quarantine_us
        self.token_floor = 0  # new grants need a higher token
        # The remaining time of a restored grant is unknown, but is at most a whole lease.
        self.grants = {
            scope: Grant(holder, token, now_us + terms.lease_us) for scope, (holder, token) in persisted.items()
        }

    def quarantine(self, now_us: int) -> None:
        """Starts the quarantine again, as after a start without storage; called when storage turns out to be stale."""
        self.quarantine_until_us = max(self.quarantine_until_us, now_us + self.terms.quarantine_us)

    def raise_token_floor(self, token: int) -> None:
        """From now on, a new grant of any scope needs a token above this one."""
        self.token_floor = max(self.token_floor, token)

    @property
    def highest_token(self) -> int:
        """The highest token granted, or the token floor if nothing was granted."""
        return max((grant.token for grant in self.grants.values()), default=self.token_floor)

    def request(self, now_us: int, scope: int, holder: Holder, token: int) -> Vote:
        """Answers a holder's request: grants the scope, renews its grant or refuses."""
        grant = self.grants.get(scope, NO_GRANT)
        if grant.holder == holder and grant.token == token and now_us < grant.expires_us:
            self.grants[scope] = Grant(holder, token, now_us + self.terms.lease_us)
            return Vote(True, token, holder[0], self.terms.lease_us)
        wait_us = self._wait_us(now_us, grant, holder)
        if wait_us or token <= max(grant.token, self.token_floor):
            return Vote(False, max(grant.token, self.token_floor), grant.holder[0], wait_us)
        self.grants[scope] = Grant(holder, token, now_us + self.terms.lease_us)
        return Vote(True, token, holder[0], self.terms.lease_us, True)

    def _wait_us(self, now_us: int, grant: Grant, holder: Holder) -> int:
        """Returns the time until a new grant to that holder is possible.

        The holder's own earlier grant does not block it: a holder that requests the scope with a new token no longer
        counts votes for its earlier one.
        """
        expires_us = grant.expires_us if grant.holder != holder else 0
        reserved_until_us = grant.reserved_until_us if grant.successor not in (NO_DIRECTOR, holder[0]) else 0
        return max(0, self.quarantine_until_us - now_us, expires_us - now_us, reserved_until_us - now_us)

    def release(self, now_us: int, scope: int, holder: Holder, token: int, successor: int = NO_DIRECTOR) -> None:
        """Ends the grant of a holder that has stopped; late or duplicate releases have no effect."""
        grant = self.grants.get(scope, NO_GRANT)
        if grant.holder == holder and grant.token == token and now_us < grant.expires_us:
            reserved_until_us = now_us + self.terms.handover_us if successor >= 0 else 0
            self.grants[scope] = Grant(holder, token, now_us, successor, reserved_until_us)

    def persisted_grant(self, scope: int) -> PersistedGrant:
        """Returns the part of a scope's grant that is kept in durable storage."""
        grant = self.grants[scope]
        return PersistedGrant(grant.holder, grant.token)
