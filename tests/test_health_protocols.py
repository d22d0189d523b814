"""Agent-check, HTTP and gRPC health as state machines: every word, and what is none."""

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
    "line, words",
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
def test_every_word_of_an_agent(line, words):
    assert parse_line(line) == words


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
def test_an_agents_line_is_read_to_its_end(parts, result):
    ask = AgentCheckClient("", 100)
    for part in parts:
        assert ask.result is None
        ask.feed(part)
    assert ask.result == result
    ask.feed(b"down\n")
    assert ask.result == result and len(ask._buffer) <= 101


def test_what_we_say_is_what_we_would_read():
    assert parse_line(encode_line("ready", True, 70, 300, "lag").decode().strip()) == AgentReport(
        True, "ready", 70, 300, "lag"
    )
    assert encode_line("drain", True, 70, 300) == b"up drain\n"


def http(answer, **changes):
    ask = HttpCheckClient(
        **{**dict(method="GET", path="/health", host="a", statuses=((200, 299),), body="", max_bytes=100), **changes}
    )
    assert ask.start().startswith(b"GET /health HTTP/1.1\r\nHost: a\r\n")
    for i in range(len(answer)):
        ask.feed(answer[i : i + 1])
    if ask.result is None:
        ask.feed(b"")
    return ask.result[0]


def test_http_goes_by_status_then_body():
    ok = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
    assert http(ok) is CheckOutcome.PASSED and http(ok, body="ell") is CheckOutcome.PASSED
    assert http(ok, body="bye") is CheckOutcome.FAILED and http(ok, statuses=((204, 204),)) is CheckOutcome.FAILED
    assert http(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe", body="bye") is CheckOutcome.BROKEN
    assert http(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 200, body="bye") is CheckOutcome.FAILED
    assert http(b"HTTP/1.1 100 Continue\r\n\r\n" + ok) is CheckOutcome.PASSED
    assert http(b"SSH-2.0-x\r\n") is CheckOutcome.BROKEN and http(b"") is CheckOutcome.BROKEN


def test_the_proxy_header_is_as_specified():
    assert local_header() == b"\r\n\r\n\0\r\nQUIT\n\x20\x00\x00\x00"
    assert proxy_header(("127.0.0.1", 258), ("127.0.0.2", 80)) == (
        b"\r\n\r\n\0\r\nQUIT\n\x21\x11\x00\x0c\x7f\0\0\x01\x7f\0\0\x02\x01\x02\0\x50"
    )
    assert proxy_header(("::1", 1), ("::1", 2))[12:16] == b"\x21\x21\x00\x24"
    with pytest.raises(ValueError):
        proxy_header(("::1", 1), ("127.0.0.1", 2))


class Grpc:
    """Both sides, with bytes carried between them."""

    def __init__(self, service="", watch=False, status=ServingStatus.SERVING):
        self.status = status
        self.server, self.client = GrpcHealthServer(lambda: self.status), GrpcHealthClient("a", service, watch)
        self.carry(self.client.start(), self.server.start())

    def carry(self, up=b"", down=b""):
        while up or down:
            up, down = self.client.feed(down) if down else b"", self.server.feed(up) if up else b""

    @property
    def result(self):
        return self.client.result


def test_grpc_check_tells_serving_not_serving_and_what_is_unknown():
    assert Grpc().result[0] is CheckOutcome.PASSED
    assert Grpc(status=ServingStatus.NOT_SERVING).result == (CheckOutcome.FAILED, "NOT_SERVING")
    assert Grpc(service="other").result == (CheckOutcome.FAILED, "grpc-status 5")


def test_grpc_watch_tells_each_change_and_its_end():
    g = Grpc(watch=True)
    assert g.result[0] is CheckOutcome.PASSED and not g.client.ended
    g.status = ServingStatus.NOT_SERVING
    g.carry(down=g.server.changed())
    assert g.result == (CheckOutcome.FAILED, "NOT_SERVING") and g.server.changed() == b""
    g.carry(up=g.client.ping())
    assert g.client.pong_received
    g.client.feed(b"")
    assert g.client.ended and g.result[0] is CheckOutcome.BROKEN
    assert Grpc(service="other", watch=True).result == (CheckOutcome.FAILED, "SERVICE_UNKNOWN")


def test_a_server_without_watch_is_told_apart():
    g = Grpc.__new__(Grpc)
    g.server, g.client = GrpcHealthServer(lambda: ServingStatus.SERVING), GrpcHealthClient("a", "", True)
    g.server._dispatch = lambda stream_id, call: g.server._send_error(stream_id, 12, "no")
    g.carry(g.client.start(), g.server.start())
    assert g.client.watch_unimplemented and g.result == (CheckOutcome.FAILED, "grpc-status 12")


@pytest.mark.parametrize("data", [b"HTTP/1.1 400 x\r\n\r\n", b"\0" * 50, b"\xff" * 5000])
def test_what_is_no_grpc_ends_either_side(data):
    client, server = GrpcHealthClient("a", ""), GrpcHealthServer(lambda: ServingStatus.SERVING)
    client.start(), server.start()
    client.feed(data), server.feed(data)
    client.feed(b""), server.feed(b"")
    assert client.result[0] is CheckOutcome.BROKEN and client.ended and server.ended


def test_no_bytes_raise_in_any_of_them():
    """A check that raised would end the director. Noise, and good answers with a few bytes changed."""
    rng = random.Random(11)
    server = GrpcHealthServer(lambda: ServingStatus.SERVING)
    asked = GrpcHealthClient("a", "").start()
    grpc = server.start() + server.feed(asked)
    samples = [b"up 50% #x\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", grpc, asked]
    for turn in range(3000):
        data = bytearray(rng.choice(samples) if turn % 4 else rng.randbytes(40))
        for _ in range(rng.randrange(4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        ask = GrpcHealthClient("a", "", bool(turn % 2))
        ask.start()
        for machine in (
            AgentCheckClient("", 64),
            ask,
            GrpcHealthServer(lambda: ServingStatus.SERVING),
            HttpCheckClient("GET", "/", "a", ((200, 299),), "x", 64),
        ):
            if isinstance(machine, GrpcHealthServer | HttpCheckClient):
                machine.start()
            for part in (bytes(data[:9]), bytes(data[9:]), b""):
                machine.feed(part)
            assert getattr(machine, "result", None) is not None or isinstance(machine, GrpcHealthServer)
