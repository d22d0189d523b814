"""The outcomes of lookups that the DNS front gives by itself, and their form on disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

import dns.rcode

from rookbend.fronts.dns_lookups import RoutedLookup
from rookbend.protocol.dns import LookupOutcome

if TYPE_CHECKING:
    from rookbend.recovery.issued_names import IssuedName

US_PER_MS = 1000


def refused(retry_after_us: int) -> LookupOutcome:
    """Not taken; the note says when to retry."""
    return LookupOutcome(dns.rcode.REFUSED, note=f"retry-after-ms={retry_after_us // US_PER_MS}")


def unnamed(routed: RoutedLookup, reason: str) -> LookupOutcome:
    """Served, but no member can be named: a write has run all the same, and a read may be retried."""
    return LookupOutcome(dns.rcode.NOERROR if routed.write_id else dns.rcode.SERVFAIL, note=reason)


def restored_lookup(issued: IssuedName, write_id: str) -> RoutedLookup:
    """A finished write of an earlier incarnation, as it was persisted."""
    routed = RoutedLookup(issued.lookup, write_id, deadline_us=0, expires_us=0)
    rcode = dns.rcode.Rcode(issued.rcode)
    routed.outcome = LookupOutcome(rcode, issued.member_number, issued.issued_name, issued.address, issued.note)
    return routed


def issued_name(routed: RoutedLookup, outcome: LookupOutcome) -> IssuedName:
    """The outcome of a write as it is persisted."""
    # Imported here, since it is needed only where names are persisted.
    from rookbend.recovery.issued_names import IssuedName

    return IssuedName(routed.name, int(outcome.rcode), outcome.server, outcome.target, outcome.address, outcome.note)
