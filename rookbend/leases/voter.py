"""A voter: grants each scope to one holder at a time, for a bounded time by its own clock.

A holder is a director and an incarnation of it: a director that restarts is another holder, and its own earlier
lease must expire like anybody's. Tokens only grow: a scope is granted anew only with a token above all that were
granted for it; the same holder renews with the same token while its grant lasts, and not later. A grant is durable
before the vote for it is sent.

After every start a voter is in quarantine for the length of a lease: whatever an earlier incarnation granted that
durable storage may not show (lost, or an older copy restored) has expired by then. Meanwhile it renews only what
its storage shows, and learns the highest token of the other voters: up to that it grants nothing. Clocks are
monotonic.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from rookbend.leases.lease import Holder, LeaseTerms

NO_DIRECTOR = -1
NO_HOLDER = Holder(NO_DIRECTOR, 0)


class Grant(NamedTuple):
    """Times by the voter's clock; before `reserved_until_us` only `successor` is granted the scope."""

    holder: Holder
    token: int
    expires_us: int
    successor: int = NO_DIRECTOR
    reserved_until_us: int = 0


class PersistedGrant(NamedTuple):
    """What durable storage holds of a grant."""

    holder: Holder
    token: int


class Vote(NamedTuple):
    """The answer to a request.

    `token` is the highest granted for the scope, `director` its holder, `remaining_us` how long it can't be granted;
    `must_persist`: the grant has to be durable before the vote is sent.
    """

    granted: bool
    token: int
    director: int
    remaining_us: int
    must_persist: bool = False


NO_GRANT = Grant(NO_HOLDER, 0, 0)


class Voter:
    """The grants of one director by scope; `persisted` is what its durable storage shows."""

    __slots__ = ("grants", "quarantine_until_us", "terms", "token_floor")

    def __init__(self, terms: LeaseTerms, now_us: int, persisted: Mapping[int, PersistedGrant]):
        self.terms = terms
        self.quarantine_until_us = now_us + terms.quarantine_us
        self.token_floor = 0  # no token up to it is granted anew
        # How long these last is unknown: a whole lease at most.
        self.grants = {
            scope: Grant(holder, token, now_us + terms.lease_us) for scope, (holder, token) in persisted.items()
        }

    def quarantine(self, now_us: int) -> None:
        """Storage turned out to be older than it should be: as after a start without any."""
        self.quarantine_until_us = max(self.quarantine_until_us, now_us + self.terms.quarantine_us)

    def raise_token_floor(self, token: int) -> None:
        """Grants no token up to this one anew."""
        self.token_floor = max(self.token_floor, token)

    @property
    def highest_token(self) -> int:
        """The highest token granted, or the floor where nothing was granted."""
        return max((grant.token for grant in self.grants.values()), default=self.token_floor)

    def request(self, now_us: int, scope: int, holder: Holder, token: int) -> Vote:
        """Grants the scope, renews its grant or refuses."""
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
        """How long until the scope can be granted to that holder anew.

        The holder's own earlier grant does not block it: it has begun anew, and counts no vote of an earlier try.
        """
        expires_us = grant.expires_us if grant.holder != holder else 0
        reserved_until_us = grant.reserved_until_us if grant.successor not in (NO_DIRECTOR, holder[0]) else 0
        return max(0, self.quarantine_until_us - now_us, expires_us - now_us, reserved_until_us - now_us)

    def release(self, now_us: int, scope: int, holder: Holder, token: int, successor: int = NO_DIRECTOR) -> None:
        """The holder has stopped; late or duplicate releases change nothing."""
        grant = self.grants.get(scope, NO_GRANT)
        if grant.holder == holder and grant.token == token and now_us < grant.expires_us:
            reserved_until_us = now_us + self.terms.handover_us if successor >= 0 else 0
            self.grants[scope] = Grant(holder, token, now_us, successor, reserved_until_us)

    def persisted_grant(self, scope: int) -> PersistedGrant:
        """What of a scope goes to durable storage."""
        grant = self.grants[scope]
        return PersistedGrant(grant.holder, grant.token)
