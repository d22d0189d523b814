"""The codecs of the agent check, HTTP checks, the PROXY header and gRPC health checks: valid and malformed bytes."""

import random

import pytest

from rookbend.core.check_result import AgentReport, CheckOutcome
from rookbend.protocol.agent_check import AgentCheckClient, encode_line, parse_line
from rookbend.protocol.grpc_health_client import GrpcHealthClient
from rookbend.protocol.grpc_health_messages import ServingStatus
from rookbend.protocol.grpc_health_server import GrpcHealthServer
from rookbend.protocol.http_check import HttpCheckClient
from rookbend.protocol.proxy import local_header, proxy_header


@pytest.mark.parametrize(
    "line, report",
    [
        ("up", AgentReport(up=True)),
        ("UP", AgentReport(up=True)),
        ("down", AgentReport(up=False)),
        ("fail", AgentReport(up=False)),
        ("failed#x", AgentReport(up=False, reason="x")),
        ("stopped # disk full", AgentReport(up=False, reason="disk full")),
        ("ready", AgentReport(admin="ready")),
        ("drain", AgentReport(admin="drain")),
        ("maint", AgentReport(admin="maint")),
        ("75%", AgentReport(weight=75)),
        ("0%", AgentReport(weight=0)),
        ("250%", AgentReport(weight=100)),
        ("maxconn:30", AgentReport(max_connections=30)),
        ("up,ready\t75% maxconn:9", AgentReport(True, "ready", 75, 9)),
        (" , up ,, ready", AgentReport(True, "ready")),
        ("up down", AgentReport(up=False)),
        ("down up", AgentReport(up=False)),
        ("drain ready", AgentReport(admin="drain")),
        ("maint drain", AgentReport(admin="maint")),
        ("up -5% x%", AgentReport(up=True, unknown=2)),
        ("up #down drain", AgentReport(up=True, reason="down drain")),
        ("#", AgentReport()),
        ("", AgentReport()),
    ],
)
def test_agent_lines_are_parsed(line, report):
    assert parse_line(line) == report


@pytest.mark.parametrize(
    "parts, result",
    [
        ((b"u", b"p 5", b"0%\r\ngarbage"), AgentReport(up=True, weight=50)),
        ((b"up\rdown\n",), AgentReport(up=True)),
        ((b"drain", b""), AgentReport(admin="drain")),
        ((b"up rea", b""), (CheckOutcome.BROKEN, "connection closed in the middle of a line")),
        ((b"",), (CheckOutcome.BROKEN, "connection closed without data")),
        ((b"\n",), (CheckOutcome.BROKEN, "no known word in ''")),
        ((b"\xff\xfe\x00\n",), (CheckOutcome.BROKEN, "no known word in '...'")),
        ((b"x" * 50, b"x" * 51), (CheckOutcome.BROKEN, "no end of line in 100 bytes")),
    ],
)
def test_an_agent_line_is_read_up_to_its_terminator(parts, result):
    check_client = AgentCheckClient("", 100)
    for part in parts:
        assert check_client.result is None
        check_client.feed(part)
    assert check_client.result == result
    check_client.feed(b"down\n")
    assert check_client.result == result and len(check_client._buffer) <= 101


def test_an_encoded_agent_line_is_parsed_to_the_same_values():
    assert parse_line(encode_line("ready", True, 70, 300, "lag").decode().strip()) == AgentReport(
        True, "ready", 70, 300, "lag"
    )
    assert encode_line("drain", True, 70, 300) == b"up drain\n"


def check_http(response, **changes):
    check_client = HttpCheckClient(
        **{**dict(method="GET", path="/health", host="a", statuses=((200, 299),), body="", max_bytes=100), **changes}
    )
    assert check_client.start().startswith(b"GET /health HTTP/1.1\r\nHost: a\r\n")
    for i in range(len(response)):
        check_client.feed(response[i : i + 1])
    if check_client.result is None:
        check_client.feed(b"")
    return check_client.result[0]


def test_an_http_check_evaluates_the_status_and_then_the_body():
    ok = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
    assert check_http(ok) is CheckOutcome.PASSED and check_http(ok, body="ell") is CheckOutcome.PASSED
    assert (
        check_http(ok, body="bye") is CheckOutcome.FAILED
        and check_http(ok, statuses=((204, 204),)) is CheckOutcome.FAILED
    )
    assert check_http(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe", body="bye") is CheckOutcome.BROKEN
    assert check_http(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 200, body="bye") is CheckOutcome.FAILED
    assert check_http(b"HTTP/1.1 100 Continue\r\n\r\n" + ok) is CheckOutcome.PASSED
    assert check_http(b"SSH-2.0-x\r\n") is CheckOutcome.BROKEN and check_http(b"") is CheckOutcome.BROKEN


def test_the_proxy_header_is_as_specified():
    assert local_header() == b"\r\n\r\n\0\r\nQUIT\n\x20\x00\x00\x00"
    assert proxy_header(("127.0.0.1", 258), ("127.0.0.2", 80)) == (
        b"\r\n\r\n\0\r\nQUIT\n\x21\x11\x00\x0c\x7f\0\0\x01\x7f\0\0\x02\x01\x02\0\x50"
    )
    assert proxy_header(("::1", 1), ("::1", 2))[12:16] == b"\x21\x21\x00\x24"
    with pytest.raises(ValueError):
        proxy_header(("::1", 1), ("127.0.0.1", 2))


class GrpcPair:
    """A client and a server, with bytes passed between them."""

    def __init__(self, service="", watch=False, status=ServingStatus.SERVING):
        self.status = status
        self.server, self.client = GrpcHealthServer(lambda: self.status), GrpcHealthClient("a", service, watch)
        self.exchange(self.client.start(), self.server.start())

    def exchange(self, to_server=b"", to_client=b""):
        while to_server or to_client:
            to_server, to_client = (
                self.client.feed(to_client) if to_client else b"",
                self.server.feed(to_server) if to_server else b"",
            )

    @property
    def result(self):
        return self.client.result


def test_grpc_check_reports_serving_not_serving_and_unknown_services():
    assert GrpcPair().result[0] is CheckOutcome.PASSED
    assert GrpcPair(status=ServingStatus.NOT_SERVING).result == (CheckOutcome.FAILED, "NOT_SERVING")
    assert GrpcPair(service="other").result == (CheckOutcome.FAILED, "grpc-status 5")


def test_grpc_watch_reports_each_change_and_its_end():
    pair = GrpcPair(watch=True)
    assert pair.result[0] is CheckOutcome.PASSED and not pair.client.ended
    pair.status = ServingStatus.NOT_SERVING
    pair.exchange(to_client=pair.server.changed())
    assert pair.result == (CheckOutcome.FAILED, "NOT_SERVING") and pair.server.changed() == b""
    pair.exchange(to_server=pair.client.ping())
    assert pair.client.pong_received
    pair.client.feed(b"")
    assert pair.client.ended and pair.result[0] is CheckOutcome.BROKEN
    assert GrpcPair(service="other", watch=True).result == (CheckOutcome.FAILED, "SERVICE_UNKNOWN")


def test_a_server_without_watch_is_detected():
    pair = GrpcPair.__new__(GrpcPair)
    pair.server, pair.client = GrpcHealthServer(lambda: ServingStatus.SERVING), GrpcHealthClient("a", "", True)
    pair.server._dispatch = lambda stream_id, call: pair.server._send_error(stream_id, 12, "no")
    pair.exchange(pair.client.start(), pair.server.start())
    assert pair.client.watch_unimplemented and pair.result == (CheckOutcome.FAILED, "grpc-status 12")


@pytest.mark.parametrize("data", [b"HTTP/1.1 400 x\r\n\r\n", b"\0" * 50, b"\xff" * 5000])
def test_malformed_grpc_ends_both_sides(data):
    client, server = GrpcHealthClient("a", ""), GrpcHealthServer(lambda: ServingStatus.SERVING)
    client.start(), server.start()
    client.feed(data), server.feed(data)
    client.feed(b""), server.feed(b"")
    assert client.result[0] is CheckOutcome.BROKEN and client.ended and server.ended


def test_no_bytes_make_a_health_codec_raise():
    """Random bytes, and valid ones with a few bytes changed. A check that raised would end the director."""
    rng = random.Random(11)
    server = GrpcHealthServer(lambda: ServingStatus.SERVING)
    request = GrpcHealthClient("a", "").start()
    grpc = server.start() + server.feed(request)
    samples = [b"up 50% #x\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", grpc, request]
    for turn in range(3000):
        data = bytearray(rng.choice(samples) if turn % 4 else rng.randbytes(40))
        for _ in range(rng.randrange(4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        check_client = GrpcHealthClient("a", "", bool(turn % 2))
        check_client.start()
        for codec in (
            AgentCheckClient("", 64),
            check_client,
            GrpcHealthServer(lambda: ServingStatus.SERVING),
            HttpCheckClient("GET", "/", "a", ((200, 299),), "x", 64),
        ):
            if isinstance(codec, GrpcHealthServer | HttpCheckClient):
                codec.start()
            for part in (bytes(data[:9]), bytes(data[9:]), b""):
                codec.feed(part)
            assert getattr(codec, "result", None) is not None or isinstance(codec, GrpcHealthServer)
