"""The status that a director reports to a load balancer in front of it."""

import pytest

from rookbend.protocol.http_health import answer
from rookbend.protocol.http_server import HttpServerConnection
from tests.director_scenario import play
from tests.health_scenarios import play_health


def test_the_status_is_reported_while_ready_and_while_draining():
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


def test_the_status_stays_ready_during_a_reload():
    play("""
        director send reload coordinator2
        health send agent
        health expect up ready
        health send GET /health
        health expect 200 ready
    """)


@pytest.mark.parametrize("data", [b"\x00\x01\r\n\r\n", b"GET /" + b"x" * 9000])
def test_malformed_http_is_rejected_and_the_connection_closed(data):
    http = HttpServerConnection()
    assert http.feed(data) is None and b" 4" in http.error_response[:12] and http.ended


def test_a_connection_can_send_several_requests():
    http, request = HttpServerConnection(), b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n"
    for accepting, status in ((True, b"200"), (False, b"503")):
        assert status in http.respond(*answer(http.feed(request), accepting, "x")) and not http.ended
    assert http.feed(b"") is None and http.ended


def test_a_director_without_a_member_in_use_reports_down():
    play_health(
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
