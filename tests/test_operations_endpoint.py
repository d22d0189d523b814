"""The operators' HTTP endpoint: answers, limits and the close of connections."""

import struct
from contextlib import suppress
from itertools import repeat

import pytest
import trio
import trio.testing

from rookbend.net.operator_endpoint import INACTIVITY_LIMITS, MAX_CONNECTIONS
from rookbend.protocol.http_server import HttpServerConnection
from rookbend.protocol.operator_api import OperatorApi
from tests.director_scenario import director_harness
from tests.endless_writer import seconds_until_closed

REQUEST = b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n"


def send_request(api, method, target):
    http = HttpServerConnection()
    request = http.feed(f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    status, body, _ = api.answer(request)
    return status, body.decode().strip()


@pytest.mark.parametrize(
    "method, target, status, expected_text",
    [
        ("GET", "/status", 200, "ready"),
        ("POST", "/status", 405, "called with GET"),
        ("GET", "/status/metrics", 200, "figures"),
        ("GET", "/", 404, "no such call"),
        ("PUT", "/maintenance/enter?member=c-1", 200, "c-1 out"),
        ("PUT", "/maintenance/exit?member=c-1", 200, "c-1 in use"),
        ("GET", "/maintenance/enter?member=c-1", 405, "called with PUT"),
        ("PUT", "/maintenance/enter?member=c-9", 404, "no member c-9"),
        ("PUT", "/maintenance/enter?member=", 400, "member=ID"),
        ("PUT", "/maintenance/enter", 400, "member=ID"),
        ("PUT", "/maintenance/enter?member=a&member=b", 400, "exactly one"),
    ],
)
def test_each_request_is_answered_and_an_error_names_its_cause(method, target, status, expected_text):
    api = OperatorApi(
        lambda: "ready", lambda: b"figures\n", lambda member, out: "" if member == "c-1" else f"no member {member}"
    )
    found, text = send_request(api, method, target)
    assert found == status and expected_text in text


def test_a_process_that_accepts_no_clients_answers_503():
    for state in ("starting", "draining", "stopped"):
        assert send_request(OperatorApi(lambda state=state: state, bytes, lambda *a: ""), "GET", "/status")[0] == 503


def run_with_endpoint(steps):
    async def main():
        async with director_harness(operator="127.0.0.1:0") as harness:
            await steps(harness, harness.service.operations.endpoint)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def call(endpoint, raw=REQUEST, pieces=1):
    async with await trio.open_tcp_stream(*endpoint.address) as stream:
        size = -(-len(raw) // pieces)
        for at in range(0, len(raw), size):
            await stream.send_all(raw[at : at + size])
            await trio.testing.wait_all_tasks_blocked()
        data = b""
        async for more in stream:
            data += more
        return int(data.split(b" ")[1]) if data else 0


def test_a_request_is_answered_also_if_it_arrives_in_pieces_and_its_connection_is_closed():
    async def steps(harness, endpoint):
        assert await call(endpoint) == 200
        assert await call(endpoint, pieces=7) == 200
        assert await call(endpoint, b"GET /status HTTP/1.1\r\nHost: x\r\n\r\nand more") == 200
        assert await call(endpoint, b"nonsense\r\n\r\n") == 400
        assert await call(endpoint, b"GET /" + b"x" * 9000 + b" HTTP/1.1\r\nHost: x\r\n\r\n") >= 400
        await trio.sleep(1.5)
        assert not endpoint.connections

    run_with_endpoint(steps)


def test_hundreds_of_silent_or_incomplete_connections_do_not_block_others_and_are_closed():
    async def steps(harness, endpoint):
        silent = []
        for i in range(8 * MAX_CONNECTIONS):
            stream = await trio.open_tcp_stream(*endpoint.address)
            if i % 2:
                await stream.send_all(b"GET /status HT")
            silent.append(stream)
            await trio.testing.wait_all_tasks_blocked()
        assert len(endpoint.connections) <= MAX_CONNECTIONS
        assert await call(endpoint) == 200
        await trio.sleep(1.5)
        assert not endpoint.connections, "each is closed after a second"
        for stream in silent:
            await stream.aclose()

    run_with_endpoint(steps)


async def call_slowly(endpoint):
    """Writes a request in pieces within 2 s; returns the status of its answer, 0 if there is none."""
    async with await trio.open_tcp_stream(*endpoint.address) as stream:
        with suppress(trio.BrokenResourceError):
            for number in range(len(REQUEST)):
                await stream.send_all(REQUEST[number : number + 1])
                await trio.sleep(2 / len(REQUEST))
            return int((await stream.receive_some() or b"- 0").split(b" ")[1])
        return 0


def test_a_request_that_is_written_slowly_is_answered_also_while_others_take_all_places():
    # Guards against a limit from the accept on, and against a new connection in place of the oldest one in use.
    async def steps(harness, endpoint):
        statuses = []

        async def slow_call():
            statuses.append(await call_slowly(endpoint))

        harness.nursery.start_soon(slow_call)
        silent = []
        for _ in range(4 * MAX_CONNECTIONS):
            silent.append(await trio.open_tcp_stream(*endpoint.address))
            await trio.sleep(0.02)
        await trio.sleep(1.5)
        assert statuses == [200]
        for stream in silent:
            await stream.aclose()

    run_with_endpoint(steps)


def test_a_connection_that_writes_for_ever_is_closed():
    async def steps(harness, endpoint):
        limit_s = INACTIVITY_LIMITS.message_us / 1e6
        async with await trio.open_tcp_stream(*endpoint.address) as stream:
            assert await seconds_until_closed(stream, repeat(b"x"), 0.5) == pytest.approx(limit_s, abs=0.1)
        await trio.testing.wait_all_tasks_blocked()
        assert not endpoint.connections

    run_with_endpoint(steps)


def test_a_connection_reset_within_a_request_is_removed():
    async def steps(harness, endpoint):
        stream = await trio.open_tcp_stream(*endpoint.address)
        await stream.send_all(b"PUT /maint")
        await trio.testing.wait_all_tasks_blocked()
        stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, struct.pack("ii", 1, 0))
        await stream.aclose()
        await trio.sleep(1.5)
        assert not endpoint.connections
        assert await call(endpoint) == 200

    run_with_endpoint(steps)


def test_the_endpoint_reports_ready_until_the_director_is_told_to_stop():
    async def steps(harness, endpoint):
        assert await call(endpoint) == 200
        harness.service.stop()
        await trio.testing.wait_all_tasks_blocked()
        assert await call(endpoint) == 503

    run_with_endpoint(steps)
