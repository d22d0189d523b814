"""Decides when a held lease is renewed."""

from __future__ import annotations

from rookbend.leases.jitter import Jitter
from rookbend.leases.lease import Lease
from rookbend.leases.lease_table import Candidacy
from rookbend.protocol.lease_messages import LeaseRow

RENEWALS_PER_LEASE = 3
RENEWAL_JITTER_US = 200_000


def renewal_request(now_us: int, lease: Lease, candidacy: Candidacy, jitter: Jitter) -> LeaseRow | None:
    """Returns the request that renews a held lease, or None if it is not due yet.

    The interval is a third of the lease less a random jitter, which spreads the renewals of scopes that were acquired
    together.
    """
    interval_us = lease.terms.lease_us // RENEWALS_PER_LEASE - jitter.up_to(RENEWAL_JITTER_US)
    if now_us - candidacy.renewed_us < interval_us:
        return None
    candidacy.renewed_us = now_us
    return LeaseRow(lease.scope, lease.token, lease.next_round(now_us))
