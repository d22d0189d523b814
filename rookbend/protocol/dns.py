"""DNS messages of the server (RFC 1035, RFC 6891, RFC 8914), with dnspython: parses queries and builds replies.

A query name under the zone holds the parameters of a request, the most specific label first:

    p3.7f3a9c21e0b4d655.g17.video.ZONE                         part, object, group, class
    r9b1f03aa5c7e2d41.p0.7f3a9c21e0b4d655.g17.form.ZONE       the same with the request's id: a write
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from rookbend.protocol.errors import ProtocolError

MIN_UDP_BYTES = 512  # accepted by every client (RFC 1035, 2.3.4)
MAX_UDP_BYTES = 1232  # passes every network without fragmentation
MAX_MESSAGE_BYTES = 65_535
HEADER_BYTES = 12
RESPONSE_BIT = 0x80  # in the header's third byte
OPCODE_AND_RD_BITS = 0x79
MAX_GROUP = 255
RECORD_TTL_S = 0  # no resolver may cache the name of a member that may drain a moment later
ADDRESS_TYPES = (dns.rdatatype.A, dns.rdatatype.AAAA)

_PART = re.compile(r"p([0-9]{1,7})")
_OBJECT = re.compile(r"[0-9a-f]{16}")
_GROUP = re.compile(r"g([0-9]{1,3})")
_REQUEST_ID = re.compile(r"r([0-9a-f]{16})")
_READ_LABELS = 4
_WRITE_LABELS = 5


class NoReplyError(ProtocolError):
    """A message to which no reply may be sent: too short for a header, or itself a response."""


@dataclass(slots=True)
class Lookup:
    """A well-formed query under the zone; `request_id` is empty if the name carries none."""

    query: dns.message.Message
    class_name: str
    key: str
    part: int
    group: int
    request_id: str

    @property
    def name(self) -> str:
        """The name in the question, in lower case."""
        return self.query.question[0].name.to_text().lower()


@dataclass(slots=True)
class LookupOutcome:
    """The data that a reply is built from, the same for every retry of the lookup.

    `server` is the number of the member that `target`, the CNAME's target, names; `note` is the text of an
    extended DNS error.
    """

    rcode: dns.rcode.Rcode
    server: int = 0
    target: str = ""
    address: str = ""
    note: str = ""


def parse_query(wire: bytes, zone: dns.name.Name) -> Lookup | dns.message.Message:
    """Returns the lookup in a message, or the immediate reply to it.

    Raises:
        NoReplyError: the message must not be replied to.
    """
    if len(wire) < HEADER_BYTES or wire[2] & RESPONSE_BIT:
        raise NoReplyError
    try:
        query = dns.message.from_wire(wire)
    except dns.exception.DNSException:
        return _bare_reply(wire, dns.rcode.FORMERR)
    if query.opcode() != dns.opcode.QUERY:
        return _bare_reply(wire, dns.rcode.NOTIMP)
    if len(query.question) != 1:
        return _bare_reply(wire, dns.rcode.FORMERR)
    question = query.question[0]
    if question.rdclass != dns.rdataclass.IN or not question.name.is_subdomain(zone):
        return build_reply(query, LookupOutcome(dns.rcode.REFUSED, note="not of this zone"))
    labels = [label.decode("ascii", "replace").lower() for label in question.name.relativize(zone).labels]
    if not labels:
        return build_reply(query, LookupOutcome(dns.rcode.NOERROR))  # the zone itself: nothing to route
    lookup = _parse_labels(query, labels)
    if lookup is None:
        return build_reply(query, LookupOutcome(dns.rcode.FORMERR, note="labels"))
    return lookup


def _parse_labels(query: dns.message.Message, labels: list[str]) -> Lookup | None:
    request_id = ""
    if len(labels) == _WRITE_LABELS:
        request_id_match = _REQUEST_ID.fullmatch(labels[0])
        if request_id_match is None:
            return None
        request_id = request_id_match[1]
        labels = labels[1:]
    if len(labels) != _READ_LABELS:
        return None
    part_label, key, group_label, class_name = labels
    part = _PART.fullmatch(part_label)
    group = _GROUP.fullmatch(group_label)
    if part is None or group is None or int(group[1]) > MAX_GROUP or not _OBJECT.fullmatch(key):
        return None
    return Lookup(query, class_name, key, int(part[1]), int(group[1]), request_id)


def _bare_reply(wire: bytes, rcode: dns.rcode.Rcode) -> dns.message.Message:
    """A reply without a question, with the id and opcode of a message that can't be handled."""
    reply = dns.message.Message(id=int.from_bytes(wire[:2], "big"))
    reply.flags = dns.flags.Flag(dns.flags.QR | (wire[2] & OPCODE_AND_RD_BITS) << 8)
    reply.set_rcode(rcode)
    return reply


def build_reply(query: dns.message.Message, outcome: LookupOutcome) -> dns.message.Message:
    """The authoritative reply to a query."""
    reply = dns.message.make_response(query, our_payload=MAX_UDP_BYTES)
    reply.flags |= dns.flags.AA
    reply.set_rcode(outcome.rcode)
    if outcome.note and query.edns >= 0:
        note = dns.edns.EDEOption(dns.edns.EDECode.OTHER, outcome.note)
        reply.use_edns(0, 0, MAX_UDP_BYTES, options=[note])
    if outcome.target:
        _add_records(reply, query, outcome)
    return reply


def _add_records(reply: dns.message.Message, query: dns.message.Message, outcome: LookupOutcome) -> None:
    """Adds the CNAME, and its target's address if the query asks for that type."""
    question = query.question[0]
    target = dns.name.from_text(outcome.target)
    reply.answer.append(dns.rrset.from_text(question.name, RECORD_TTL_S, "IN", "CNAME", target.to_text()))
    if not outcome.address:
        return
    record_type = address_type(outcome.address)
    if question.rdtype == dns.rdatatype.from_text(record_type):
        reply.answer.append(dns.rrset.from_text(target, RECORD_TTL_S, "IN", record_type, outcome.address))


def address_type(address: str) -> str:
    """The record type, A or AAAA, that holds an address."""
    return "AAAA" if ":" in address else "A"


def encode_reply(reply: dns.message.Message, query_wire: bytes, over_udp: bool) -> bytes:
    """The reply's bytes; one longer than the client accepts over UDP is truncated, with the TC flag set."""
    try:
        return reply.to_wire(max_size=_max_udp_bytes(query_wire) if over_udp else MAX_MESSAGE_BYTES)
    except dns.exception.TooBig:
        reply.answer.clear()
        reply.flags |= dns.flags.TC
        return reply.to_wire()


def _max_udp_bytes(query_wire: bytes) -> int:
    try:
        query = dns.message.from_wire(query_wire)
    except dns.exception.DNSException:
        return MIN_UDP_BYTES
    if query.edns < 0:
        return MIN_UDP_BYTES
    return min(max(MIN_UDP_BYTES, query.payload), MAX_UDP_BYTES)
