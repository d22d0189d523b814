"""What a director tells a balancer in front of it."""

import pytest

from rookbend.protocol.http_health import answer
from rookbend.protocol.http_server import HttpServerConnection
from tests.director_scenario import play
from tests.health_scenarios import health


def test_the_state_is_told_while_ready_and_while_draining():
    play("""
        health send agent
        health expect up ready 100% maxconn:341
        health send GET /health
        health expect 200 ready
        client send request 1 video
        cache1 expect do rid=0000000000000001
        director close
        client expect closing
        health send agent
        health expect up drain
        health send GET /health
        health expect 503 draining
        health send HEAD /ready
        health expect 503
        health send GET /other
        health expect 404
        health send POST /health
        health expect 405
    """)


def test_a_reload_is_no_reason_to_leave_the_balancer():
    play("""
        director send reload coordinator2
        health send agent
        health expect up ready
        health send GET /health
        health expect 200 ready
    """)


@pytest.mark.parametrize("data", [b"\x00\x01\r\n\r\n", b"GET /" + b"x" * 9000])
def test_what_is_no_http_is_refused_and_ends(data):
    http = HttpServerConnection()
    assert http.feed(data) is None and b" 4" in http.error_response[:12] and http.ended


def test_one_connection_may_ask_again():
    http, ask = HttpServerConnection(), b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n"
    for taking, status in ((True, b"200"), (False, b"503")):
        assert status in http.respond(*answer(http.feed(ask), taking, "x")) and not http.ended
    assert http.feed(b"") is None and http.ended


def test_with_no_member_in_use_a_balancer_is_sent_elsewhere():
    health(
        """
        director send order drain cache1
        all wait 1
        health send agent
        health expect down #no
        health send GET /health
        health expect 503 no-member
        director send order ready cache1
        all wait 1
        health send GET /health
        health expect 200
    """,
        members=("cache1", "upper", "records"),
    )
