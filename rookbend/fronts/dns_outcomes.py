"""Lookup outcomes that the DNS front builds, and their persisted form."""

from __future__ import annotations

from typing import TYPE_CHECKING

import dns.rcode

from rookbend.fronts.dns_lookups import RoutedLookup
from rookbend.protocol.dns import LookupOutcome

if TYPE_CHECKING:
    from rookbend.recovery.issued_names import IssuedName

US_PER_MS = 1000
FAILED = LookupOutcome(dns.rcode.SERVFAIL, note="failed")


def refused_outcome(retry_after_us: int) -> LookupOutcome:
    """The lookup is not accepted; the note says when to retry."""
    return LookupOutcome(dns.rcode.REFUSED, note=f"retry-after-ms={retry_after_us // US_PER_MS}")


def outcome_without_member(routed: RoutedLookup, reason: str) -> LookupOutcome:
    """The lookup was served, but its member can't be named. A write has run nevertheless; a read may be retried."""
    return LookupOutcome(dns.rcode.NOERROR if routed.write_id else dns.rcode.SERVFAIL, note=reason)


def restored_lookup(issued: IssuedName, write_id: str) -> RoutedLookup:
    """A finished write of an earlier incarnation, as it was persisted."""
    routed = RoutedLookup(issued.lookup, write_id, deadline_us=0, expires_us=0)
    rcode = dns.rcode.Rcode(issued.rcode)
    routed.outcome = LookupOutcome(rcode, issued.member_number, issued.issued_name, issued.address, issued.note)
    return routed


def issued_name(routed: RoutedLookup, outcome: LookupOutcome) -> IssuedName:
    """The outcome of a write in its persisted form."""
    # Imported here, since it is needed only where names are persisted.
    from rookbend.recovery.issued_names import IssuedName

    return IssuedName(routed.name, int(outcome.rcode), outcome.server, outcome.target, outcome.address, outcome.note)
