"""Malformed bytes of a peer end only its connection or lookup: the codec does not raise, and the director goes on."""

import dns.message
import dns.rdataclass
import dns.rrset
import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from rookbend.protocol.dns_resolver import ResolverError, address_query, parse_addresses
from rookbend.protocol.http_server import HttpServerConnection
from tests.director_scenario import run_with_director


@pytest.mark.parametrize(
    "rest", [b"\x00\x01\r\n\r\n", b"GET /\r\n\r\n", b"NONSENSE\r\n\r\n"], ids=["bytes", "no-version", "no-request"]
)
def test_malformed_http_after_a_head_request_ends_the_connection(rest):
    http = HttpServerConnection()
    assert http.feed(b"HEAD /health HTTP/1.1\r\nHost: a\r\n\r\n") is not None
    http.respond(200, b"ready\n", "text/plain")
    assert http.feed(rest) is None and http.ended


HTTP_PIECES = (
    b"HEAD /health HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /health HTTP/1.0\r\n\r\n",
    b"GET /health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    b"GET /health HTTP/1.1\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /health HTTP/1.1\r\nHost: a\r\nUpgrade: b\r\nConnection: upgrade\r\n\r\n",
    b"POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n",
    b"POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n",
    b"HEAD /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n" + b"x" * 70_000,
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"abc",
    b"\r\n",
    b"zz\r\n\r\n",
    b"HEAD /",
    b"\x00",
    b"",
)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(
    st.lists(st.one_of(st.sampled_from(HTTP_PIECES), st.binary(max_size=8)), max_size=8),
    st.sampled_from((200, 404, 503)),
    st.booleans(),
)
def test_no_order_of_requests_and_other_bytes_raises_out_of_an_http_connection(pieces, status, close):
    # Guards against h11's LocalProtocolError, which ended the director.
    http = HttpServerConnection()
    for piece in pieces:
        request = None if http.ended else http.feed(piece)
        while request is not None:
            http.respond(status, b"body\n", close=close)
            request = None if http.ended else http.next_request()


def test_a_director_goes_on_serving_after_malformed_http_behind_a_head_request():
    # Guards against a director that is ended by one connection to its health listener.
    async def steps(harness):
        _, server, _ = harness.service.balancer  # agent check, HTTP, gRPC
        for _ in range(2):
            async with await trio.open_tcp_stream(*server.address) as stream:
                await stream.send_all(b"HEAD /health HTTP/1.1\r\nHost: a\r\n\r\nzz\r\n\r\n")
                while await stream.receive_some():
                    pass
        await trio.testing.wait_all_tasks_blocked()  # the director reads the client's close
        assert not server.clients and not harness.done.is_set()

    run_with_director(steps)


def test_an_address_record_of_another_class_than_in_is_not_an_address():
    query = address_query("c1.example.org.", "A", 7)
    response = dns.message.make_response(query)
    response.answer.append(dns.rrset.from_text("c1.example.org.", 60, dns.rdataclass.HS, "A", r"\# 4 7f000001"))
    try:
        addresses = parse_addresses(query, response.to_wire())
    except ResolverError:
        return
    assert addresses == []
