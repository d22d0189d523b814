"""Codecs raise only their declared errors on mutated bytes. For health protocols, see test_health_protocols.

To run with more inputs: ROOKBEND_FUZZ_INPUTS=100000 pytest tests/test_hostile_bytes.py
"""

import contextlib
import os
import random

import dns.message
import dns.name
import dns.rcode
import dns.rrset
import pytest

from rookbend.protocol import cache_lines, client_frames, dns_tcp, gossip, leases, upgrade
from rookbend.protocol.coordinator_stream import StreamError, Translator, Update
from rookbend.protocol.dns import Lookup, LookupOutcome, build_reply, encode_reply, parse_query
from rookbend.protocol.dns_resolver import ResolverError, address_query, parse_addresses
from rookbend.protocol.errors import ProtocolError
from rookbend.protocol.event_stream import EventStream
from rookbend.protocol.lease_messages import AppendEntry, EntriesFetched, Entry, LeaseRequest, LeaseRow, OrderOrigin
from tests.test_protocol import CACHE_ANSWERS, CLIENT_FRAMES, DNS_TCP_MESSAGES, EVENT_STREAM_RESPONSE

INPUTS = int(os.environ.get("ROOKBEND_FUZZ_INPUTS", "2000"))
SEED = 7
MAX_CHANGES = 4
BOUNDARY_BYTES = 0, 1, 3, 4, 28, 33, 41, 0x7F, 0x80, 0xC0, 0xD0, 0xFE, 0xFF
MEMBERSHIP_EVENT = (
    b'id: 4\ndata: {"index":4,"endpoints":{"complete":true,"version":3,"members":[{"id":"c1","host_port":"127.0.0.1:80",'
    b'"locality":"edge","flavor":"standard","phase":"SERVING","size":50.0,"started_ms":1}]}}\n\n'
)
MEMBERSHIP_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (
    len(MEMBERSHIP_EVENT),
    MEMBERSHIP_EVENT,
)
ZONE = dns.name.from_text("route.example.org.")
READ_NAME = "p3.7f3a9c21e0b4d655.g17.video.route.example.org"
WRITE_NAME = "r9b1f03aa5c7e2d41.p0.7f3a9c21e0b4d655.g17.form.route.example.org"
RESOLVER_QUERY = address_query("c1.example.org.", "A", 7)
ENTRY = Entry(3, 9, "c1", "drain", "kim", OrderOrigin(1, 2, 3))


def resolver_response():
    reply = dns.message.make_response(RESOLVER_QUERY)
    reply.answer.append(dns.rrset.from_text("c1.example.org.", 60, "IN", "CNAME", "d.example.org."))
    reply.answer.append(dns.rrset.from_text("d.example.org.", 60, "IN", "A", "127.0.0.1", "127.0.0.2"))
    reply.answer.append(dns.rrset.from_text("d.example.org.", 60, "IN", "AAAA", "::1"))
    reply.use_edns(0, 0, 1232)
    return reply.to_wire()


def answer_query(wire):
    parsed = parse_query(wire, ZONE)
    if isinstance(parsed, Lookup):
        outcome = LookupOutcome(dns.rcode.NOERROR, 1, "d.example.org.", "127.0.0.1", "note")
        parsed = build_reply(parsed.query, outcome)
    encode_reply(parsed, wire, over_udp=True)


def feed_in_two_parts(make):
    """A function that feeds its bytes to a new codec in two parts."""

    def feed(data):
        codec, middle = make(), len(data) // 2
        for part in (data[:middle], data[middle:]):
            codec.feed(part)

    return feed


def feed_event_stream(data):
    events = EventStream("h", "/", 0)
    events.start()
    translator = Translator(("edge",), ("standard",))
    for part in (data[: len(data) // 2], data[len(data) // 2 :], b""):
        for item in events.feed(part):
            if isinstance(item, Update):
                translator.translate(item)


CODECS = {
    "client_frames": ([CLIENT_FRAMES], feed_in_two_parts(client_frames.FrameParser), ProtocolError),
    "cache_lines": (
        [CACHE_ANSWERS],
        feed_in_two_parts(lambda: cache_lines.AnswerParser(("utilization", "x1"))),
        ProtocolError,
    ),
    "event_stream": ([EVENT_STREAM_RESPONSE, MEMBERSHIP_RESPONSE], feed_event_stream, StreamError),
    "dns_tcp": ([DNS_TCP_MESSAGES], feed_in_two_parts(dns_tcp.MessageReader), ProtocolError),
    "dns_query": (
        [
            dns.message.make_query(name, "A", use_edns=edns).to_wire()
            for name in (READ_NAME, WRITE_NAME)
            for edns in (None, 0)
        ],
        answer_query,
        ProtocolError,
    ),
    "dns_answer": ([resolver_response()], lambda data: parse_addresses(RESOLVER_QUERY, data), ResolverError),
    "gossip": (
        [
            gossip.encode(gossip.RowBatch(5, 1, 2, 0, (("1/c1", b"abc"),), True)),
            gossip.encode(gossip.Hello(5, 1, 2, 3, 4, 1, 2, 9, True, 7, (1, 2, 3), gossip.OriginLoad(1, 2, 0, 0, 5))),
        ],
        gossip.decode,
        gossip.GossipDecodeError,
    ),
    "leases": (
        [
            leases.encode(AppendEntry(5, 1, 2, 9, 2, ENTRY)),
            leases.encode(EntriesFetched(5, 1, 2, 3, 9, 0, 2, 3, (ENTRY, ENTRY))),
            leases.encode(LeaseRequest(5, 1, 2, 77, 9, (LeaseRow(16, 9, 1), LeaseRow(17, 0, 0)))),
        ],
        leases.decode,
        leases.LeaseProtocolError,
    ),
    "upgrade": (
        [upgrade.encode(upgrade.Serving()), upgrade.encode(upgrade.SetExclusion("c1", True))],
        feed_in_two_parts(upgrade.MessageReader),
        upgrade.UpgradeError,
    ),
}


def mutated(generator, sample):
    data = bytearray(sample)
    for _ in range(generator.randint(1, MAX_CHANGES)):
        offset = generator.randrange(len(data) + 1)
        mutation = generator.randrange(4)
        if mutation == 0:
            del data[offset : offset + generator.randint(1, 4)]
        elif mutation == 1:
            data[offset:offset] = generator.randbytes(generator.randint(1, 4))
        elif offset < len(data):
            data[offset] = generator.randrange(256) if mutation == 2 else generator.choice(BOUNDARY_BYTES)
    return bytes(data)


@pytest.mark.parametrize("name", CODECS)
def test_mutated_bytes_raise_declared_errors_only(name):
    # Guards against bytes from a client or a peer that crash the task reading them.
    samples, feed, declared = CODECS[name]
    for sample in samples:
        feed(sample)
    generator = random.Random(f"{SEED} {name}")
    for _ in range(INPUTS):
        data = mutated(generator, generator.choice(samples))
        with contextlib.suppress(declared):
            feed(data)
