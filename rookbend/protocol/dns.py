"""DNS messages (by dnspython) as lookups and replies, and the framing over TCP. No socket here.

A query name under the zone carries what a request needs, the most specific label first:

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

UDP_LEAST = 512  # what every client takes
UDP_MOST = 1232  # what passes every network whole
LONGEST_MESSAGE = 65_535
ADDRESSES = (dns.rdatatype.A, dns.rdatatype.AAAA)

_PART = re.compile(r"p([0-9]{1,7})")
_OBJECT = re.compile(r"[0-9a-f]{16}")
_GROUP = re.compile(r"g([0-9]{1,3})")
_RID = re.compile(r"r([0-9a-f]{16})")


class NoAnswerError(ProtocolError):
    """Bytes to which no reply may be sent: too short for an id, or themselves a reply."""


@dataclass(slots=True)
class Lookup:
    """A well-formed query under the zone."""

    query: dns.message.Message
    class_name: str
    key: str
    part: int
    group: int
    rid: str  # empty where the name carries none

    @property
    def name(self) -> str:
        return self.query.question[0].name.to_text().lower()


@dataclass(slots=True)
class Outcome:
    """What a lookup came to; the same for every repeat of it. `server` is the member to be named."""

    rcode: dns.rcode.Rcode
    server: int = 0
    box: str = ""
    address: str = ""
    note: str = ""


def read_query(wire: bytes, zone: dns.name.Name) -> Lookup | dns.message.Message:
    """The lookup in a message, or the reply that it gets at once."""
    if len(wire) < 12 or wire[2] & 0x80:
        raise NoAnswerError
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
        return reply_to(query, Outcome(dns.rcode.REFUSED, note="not of this zone"))
    labels = [label.decode("ascii", "replace").lower() for label in question.name.relativize(zone).labels]
    if not labels:
        return reply_to(query, Outcome(dns.rcode.NOERROR))  # the zone itself: nothing to route
    return _read_labels(query, labels) or reply_to(query, Outcome(dns.rcode.FORMERR, note="labels"))


def _read_labels(query: dns.message.Message, labels: list[str]) -> Lookup | None:
    rid = ""
    if len(labels) == 5:
        if not (match := _RID.fullmatch(labels[0])):
            return None
        rid, labels = match[1], labels[1:]
    if len(labels) != 4:
        return None
    part, group = _PART.fullmatch(labels[0]), _GROUP.fullmatch(labels[2])
    if not part or not group or int(group[1]) > 255 or not _OBJECT.fullmatch(labels[1]):
        return None
    return Lookup(query, labels[3], labels[1], int(part[1]), int(group[1]), rid)


def _bare_reply(wire: bytes, rcode: int) -> dns.message.Message:
    """A reply to what could not be read: its id and opcode, and no question."""
    reply = dns.message.Message(id=int.from_bytes(wire[:2], "big"))
    reply.flags = dns.flags.QR | (wire[2] & 0x79) << 8
    reply.set_rcode(rcode)
    return reply


def reply_to(query: dns.message.Message, outcome: Outcome) -> dns.message.Message:
    """The reply. Every record has TTL 0: nobody may go on naming a box that drains a moment later."""
    reply = dns.message.make_response(query, our_payload=UDP_MOST)
    reply.flags |= dns.flags.AA
    reply.set_rcode(outcome.rcode)
    if outcome.note and query.edns >= 0:
        note = dns.edns.EDEOption(dns.edns.EDECode.OTHER, outcome.note)
        reply.use_edns(0, 0, UDP_MOST, options=[note])
    if outcome.box:
        name, box = query.question[0].name, dns.name.from_text(outcome.box)
        reply.answer.append(dns.rrset.from_text(name, 0, "IN", "CNAME", box.to_text()))
        kind = "AAAA" if ":" in outcome.address else "A"
        if outcome.address and query.question[0].rdtype == dns.rdatatype.from_text(kind):
            reply.answer.append(dns.rrset.from_text(box, 0, "IN", kind, outcome.address))
    return reply


def to_wire(reply: dns.message.Message, query_wire: bytes, over_udp: bool) -> bytes:
    """The reply's bytes; over UDP cut to what the client takes, with the truncation flag set."""
    most = LONGEST_MESSAGE
    if over_udp:
        most = UDP_LEAST
        try:
            asked = dns.message.from_wire(query_wire)
            most = min(max(UDP_LEAST, asked.payload), UDP_MOST) if asked.edns >= 0 else UDP_LEAST
        except dns.exception.DNSException:
            pass
    try:
        return reply.to_wire(max_size=most)
    except dns.exception.TooBig:
        reply.answer.clear()
        reply.flags |= dns.flags.TC
        return reply.to_wire()


class TcpMessages:
    """Messages with their length before them, as DNS is framed over TCP."""

    def __init__(self):
        self._held = b""

    def feed(self, data: bytes) -> list[bytes]:
        held, out = self._held + data, []
        while len(held) >= 2 and len(held) >= 2 + (size := held[0] << 8 | held[1]):
            out.append(held[2 : 2 + size])
            held = held[2 + size :]
        self._held = held
        return out


def frame_tcp(message: bytes) -> bytes:
    return len(message).to_bytes(2, "big") + message


# The resolver's side


def ask_address(box: str, kind: str, ident: int) -> dns.message.Message:
    return dns.message.make_query(box, kind, id=ident)


def read_addresses(question: dns.message.Message, wire: bytes) -> list[str] | None:
    """The addresses that a resolver's reply holds; None where the reply is cut off.

    A DNSException says that it is no answer: garbage, another question's, or an error.
    """
    reply = dns.message.from_wire(wire, ignore_trailing=True, raise_on_truncation=False)
    if not question.is_response(reply):
        raise dns.exception.FormError("the answer to another question")
    if reply.flags & dns.flags.TC:
        return None
    if reply.rcode() != dns.rcode.NOERROR:
        raise dns.exception.DNSException(dns.rcode.to_text(reply.rcode()))
    return [record.address for rrset in reply.answer if rrset.rdtype in ADDRESSES for record in rrset]
