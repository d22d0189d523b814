"""The leases of one director, held or not, and what it knows of each scope."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from rookbend.leases.jitter import Jitter
from rookbend.leases.lease import Holder, Lease, LeaseTerms, Quorums
from rookbend.leases.voter import NO_DIRECTOR

STAGGER_US = 300_000  # by so much each further candidate waits longer


@dataclass(slots=True)
class Candidacy:
    """When this director next requests a scope, and what it knows of its holder.

    `refusals` are the voters that refused this try, with the time in µs until they may grant.
    """

    next_attempt_us: int = 0
    began_us: int = 0
    sent_us: int = 0
    backoff: int = 0
    renewed_us: int = 0
    known_holder: int = NO_DIRECTOR
    leaderless_since_us: int = 0  # 0 while a holder is known
    offered_token: int = 0  # the newest token above which the scope was offered
    offer_accepted_us: int = -1  # until it is held
    refusals: dict[int, int] = field(default_factory=dict)
    sequence: int = 0  # of the requests sent under the lease


class LeaseTable:
    """All scopes by number; once `shutting_down` none counts as held."""

    def __init__(self, leases: dict[int, Lease], candidacies: dict[int, Candidacy]):
        self.scopes: Sequence[int] = tuple(leases)
        self.leases = leases
        self.candidacies = candidacies
        self.shutting_down = False

    def held_token(self, now_us: int, scope: int) -> int:
        """The token of a scope that is held right now, else 0: checked last before anything is sent under it."""
        lease = self.leases.get(scope)
        if lease is None or self.shutting_down or not lease.is_held(now_us):
            return 0
        return lease.token

    def held_scopes(self, now_us: int) -> list[int]:
        """The scopes that are held right now."""
        return [scope for scope in self.scopes if self.held_token(now_us, scope)]

    def next_sequence(self, scope: int) -> int:
        """The number of the next request under the lease."""
        candidacy = self.candidacies[scope]
        candidacy.sequence += 1
        return candidacy.sequence

    def set_holder(self, scope: int, director: int) -> None:
        """A holder of the scope is known."""
        candidacy = self.candidacies[scope]
        candidacy.known_holder = director
        candidacy.leaderless_since_us = 0

    def change_quorums(self, quorums: Quorums) -> None:
        """The voters change."""
        for lease in self.leases.values():
            lease.change_quorums(quorums)


def new_lease_table(
    scopes: Sequence[int], holder: Holder, terms: LeaseTerms, quorums: Quorums, now_us: int, jitter: Jitter
) -> LeaseTable:
    """No scope is held; each is requested after the quarantine of the voters that started together with this one."""
    first_attempt_us = now_us + terms.quarantine_us
    return LeaseTable(
        {scope: Lease(scope, holder, terms, quorums) for scope in scopes},
        {scope: Candidacy(first_attempt_us + jitter.up_to(STAGGER_US), leaderless_since_us=now_us) for scope in scopes},
    )
