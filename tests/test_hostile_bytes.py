"""Every codec under changed bytes, cut anywhere: declared errors only. Those of health protocols: test_health_protocols.

By hand, with more inputs: ROOKBEND_FUZZ_INPUTS=100000 pytest tests/test_hostile_bytes.py
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
from tests.test_protocol import CACHE, CLIENT, EVENTS, TCP

INPUTS = int(os.environ.get("ROOKBEND_FUZZ_INPUTS", "2000"))
SEED = 7
MOST_CHANGES = 4
BORDERS = 0, 1, 3, 4, 28, 33, 41, 0x7F, 0x80, 0xC0, 0xD0, 0xFE, 0xFF
MEMBERSHIP = (
    b'id: 4\ndata: {"index":4,"endpoints":{"complete":true,"version":3,"members":[{"id":"c1","host_port":"127.0.0.1:80",'
    b'"locality":"edge","flavor":"standard","phase":"SERVING","size":50.0,"started_ms":1}]}}\n\n'
)
MEMBERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(MEMBERSHIP), MEMBERSHIP)
ZONE = dns.name.from_text("route.example.org.")
READ = "p3.7f3a9c21e0b4d655.g17.video.route.example.org"
WRITE = "r9b1f03aa5c7e2d41.p0.7f3a9c21e0b4d655.g17.form.route.example.org"
QUESTION = address_query("c1.example.org.", "A", 7)
ENTRY = Entry(3, 9, "c1", "drain", "kim", OrderOrigin(1, 2, 3))


def resolver_answer():
    reply = dns.message.make_response(QUESTION)
    reply.answer.append(dns.rrset.from_text("c1.example.org.", 60, "IN", "CNAME", "d.example.org."))
    reply.answer.append(dns.rrset.from_text("d.example.org.", 60, "IN", "A", "127.0.0.1", "127.0.0.2"))
    reply.answer.append(dns.rrset.from_text("d.example.org.", 60, "IN", "AAAA", "::1"))
    reply.use_edns(0, 0, 1232)
    return reply.to_wire()


def answer_query(wire):
    found = parse_query(wire, ZONE)
    if isinstance(found, Lookup):
        outcome = LookupOutcome(dns.rcode.NOERROR, 1, "d.example.org.", "127.0.0.1", "note")
        found = build_reply(found.query, outcome)
    encode_reply(found, wire, over_udp=True)


def in_parts(make):
    """Fed in two parts and, where the codec takes it, an end."""

    def feed(data):
        codec, middle = make(), len(data) // 2
        for part in (data[:middle], data[middle:]):
            codec.feed(part)

    return feed


def stream(data):
    events = EventStream("h", "/", 0)
    events.start()
    translator = Translator(("edge",), ("standard",))
    for part in (data[: len(data) // 2], data[len(data) // 2 :], b""):
        for item in events.feed(part):
            if isinstance(item, Update):
                translator.translate(item)


CODECS = {
    "client_frames": ([CLIENT], in_parts(client_frames.FrameParser), ProtocolError),
    "cache_lines": ([CACHE], in_parts(lambda: cache_lines.AnswerParser(("utilization", "x1"))), ProtocolError),
    "event_stream": ([EVENTS, MEMBERS], stream, StreamError),
    "dns_tcp": ([TCP], in_parts(dns_tcp.MessageReader), ProtocolError),
    "dns_query": (
        [dns.message.make_query(name, "A", use_edns=edns).to_wire() for name in (READ, WRITE) for edns in (None, 0)],
        answer_query,
        ProtocolError,
    ),
    "dns_answer": ([resolver_answer()], lambda data: parse_addresses(QUESTION, data), ResolverError),
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
        in_parts(upgrade.MessageReader),
        upgrade.UpgradeError,
    ),
}


def changed(generator, sample):
    data = bytearray(sample)
    for _ in range(generator.randint(1, MOST_CHANGES)):
        at = generator.randrange(len(data) + 1)
        way = generator.randrange(4)
        if way == 0:
            del data[at : at + generator.randint(1, 4)]
        elif way == 1:
            data[at:at] = generator.randbytes(generator.randint(1, 4))
        elif at < len(data):
            data[at] = generator.randrange(256) if way == 2 else generator.choice(BORDERS)
    return bytes(data)


@pytest.mark.parametrize("name", CODECS)
def test_changed_bytes_raise_declared_errors_only(name):
    # Guards against bytes of a caller or a peer that end the task which reads them.
    samples, feed, declared = CODECS[name]
    for sample in samples:
        feed(sample)
    generator = random.Random(f"{SEED} {name}")
    for _ in range(INPUTS):
        data = changed(generator, generator.choice(samples))
        with contextlib.suppress(declared):
            feed(data)
