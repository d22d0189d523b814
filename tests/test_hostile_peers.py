"""Bytes of a peer that must never raise out of the codec: the connection or the lookup ends, the director goes on."""

import dns.message
import dns.rdataclass
import dns.rrset
import pytest

from rookbend.protocol.dns_resolver import ResolverError, address_query, parse_addresses
from rookbend.protocol.http_server import HttpServerConnection


@pytest.mark.parametrize(
    "rest", [b"\x00\x01\r\n\r\n", b"GET /\r\n\r\n", b"NONSENSE\r\n\r\n"], ids=["bytes", "no-version", "no-request"]
)
def test_a_head_request_and_then_what_is_no_http_ends_the_connection(rest):
    http = HttpServerConnection()
    assert http.feed(b"HEAD /health HTTP/1.1\r\nHost: a\r\n\r\n") is not None
    http.respond(200, b"ready\n", "text/plain")
    assert http.feed(rest) is None and http.ended


def test_an_address_of_another_class_than_internet_is_no_address():
    query = address_query("c1.example.org.", "A", 7)
    response = dns.message.make_response(query)
    response.answer.append(dns.rrset.from_text("c1.example.org.", 60, dns.rdataclass.HS, "A", r"\# 4 7f000001"))
    try:
        addresses = parse_addresses(query, response.to_wire())
    except ResolverError:
        return
    assert addresses == []
