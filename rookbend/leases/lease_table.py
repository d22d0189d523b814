"""The leases of one director, held or not, and its state as a candidate for each scope."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from rookbend.leases.jitter import Jitter
from rookbend.leases.lease import Holder, Lease, LeaseTerms, Quorums
from rookbend.leases.voter import NO_DIRECTOR

STAGGER_US = 300_000  # extra delay of a candidate per place in the ranking


@dataclass(slots=True)
class Candidacy:
    """When this director next requests a scope, and what it knows of the scope's holder.

    `refusals` maps the voters that refused the current attempt to the time in µs until they may grant.
    """

    next_attempt_us: int = 0
    began_us: int = 0
    sent_us: int = 0
    backoff: int = 0
    renewed_us: int = 0
    known_holder: int = NO_DIRECTOR
    leaderless_since_us: int = 0  # 0 while a holder is known
    offered_token: int = 0  # the highest token of an accepted hand-over offer
    offer_accepted_us: int = -1  # -1 if no offer was accepted since the lease was last acquired
    refusals: dict[int, int] = field(default_factory=dict)
    sequence: int = 0  # number of the last request sent under the lease


class LeaseTable:
    """Leases and candidacies by scope number; once `shutting_down` is set, no scope counts as held."""

    def __init__(self, leases: dict[int, Lease], candidacies: dict[int, Candidacy]):
        self.scopes: Sequence[int] = tuple(leases)
        self.leases = leases
        self.candidacies = candidacies
        self.shutting_down = False

    def held_token(self, now_us: int, scope: int) -> int:
        """Returns the token of a scope that is held at `now_us`, else 0.

        Must be checked right before anything is sent under the lease.
        """
        lease = self.leases.get(scope)
        if lease is None or self.shutting_down or not lease.is_held(now_us):
            return 0
        return lease.token

    def held_scopes(self, now_us: int) -> list[int]:
        """Returns the scopes that are held at `now_us`."""
        return [scope for scope in self.scopes if self.held_token(now_us, scope)]

    def next_sequence(self, scope: int) -> int:
        """Returns the sequence number of the next request under the lease."""
        candidacy = self.candidacies[scope]
        candidacy.sequence += 1
        return candidacy.sequence

    def set_holder(self, scope: int, director: int) -> None:
        """Records the holder of a scope."""
        candidacy = self.candidacies[scope]
        candidacy.known_holder = director
        candidacy.leaderless_since_us = 0

    def change_quorums(self, quorums: Quorums) -> None:
        """Passes changed voter sets on to all leases."""
        for lease in self.leases.values():
            lease.change_quorums(quorums)


def new_lease_table(
    scopes: Sequence[int], holder: Holder, terms: LeaseTerms, quorums: Quorums, now_us: int, jitter: Jitter
) -> LeaseTable:
    """Returns a table in which no scope is held.

    Scopes are first requested after the quarantine of voters that started at the same time as this director.
    """
    first_attempt_us = now_us + terms.quarantine_us
    return LeaseTable(
        {scope: Lease(scope, holder, terms, quorums) for scope in scopes},
        {scope: Candidacy(first_attempt_us + jitter.up_to(STAGGER_US), leaderless_since_us=now_us) for scope in scopes},
    )
