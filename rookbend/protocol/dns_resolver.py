"""The messages of a stub resolver (RFC 1034, 5.3.1), with dnspython: a query for addresses, and its response."""

from __future__ import annotations

import dns.exception
import dns.flags
import dns.message
import dns.rcode
import dns.rdataclass

from rookbend.protocol.dns import ADDRESS_TYPES
from rookbend.protocol.errors import ProtocolError


class ResolverError(ProtocolError):
    """The resolver's response can't be used; the message says why."""


class UnmatchedResponseError(ResolverError):
    """The bytes are malformed or respond to another query; the expected response may still arrive."""


def address_query(name: str, record_type: str, query_id: int) -> dns.message.Message:
    """A query for the A or AAAA records of a name."""
    return dns.message.make_query(name, record_type, id=query_id)


def parse_addresses(query: dns.message.Message, wire: bytes) -> list[str] | None:
    """The addresses in the response to `query`; None if it is truncated and TCP must be used.

    Raises:
        UnmatchedResponseError: the bytes are malformed or respond to another query.
        ResolverError: the response is an error or can't be parsed.
    """
    try:
        response = dns.message.from_wire(wire, ignore_trailing=True, raise_on_truncation=False)
    except dns.exception.FormError as error:
        raise UnmatchedResponseError(str(error)) from error
    except dns.exception.DNSException as error:
        raise ResolverError(str(error)) from error
    if not query.is_response(response):
        raise UnmatchedResponseError("response to another query")
    if response.flags & dns.flags.TC:
        return None
    if response.rcode() != dns.rcode.NOERROR:
        raise ResolverError(dns.rcode.to_text(response.rcode()))
    return [
        record.address
        for rrset in response.answer
        if rrset.rdclass == dns.rdataclass.IN and rrset.rdtype in ADDRESS_TYPES
        for record in rrset
    ]
