"""The HTTP listeners: a request that is handled is not cut, and a client that does nothing costs a bounded amount."""

import json
from itertools import count
from socket import SO_SNDBUF, SOL_SOCKET

import pytest
import trio
import trio.testing

from rookbend.components.admin import MemberOrders
from rookbend.net.bounded_server import BoundedServer
from rookbend.net.http_server import INACTIVITY_LIMITS
from rookbend.protocol.admin_api import CommandResult
from tests.director_scenario import run_with_director
from tests.endless_writer import seconds_until_closed
from tests.health_scenarios import run_health_scenario
from tests.test_admin import ADMIN, JSON, ask

REQUEST = b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n"
HTTP2_START = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\x40\0\0\0\0\0\0\1"  # of a frame of 16 KiB
IDLE_S, MESSAGE_S = INACTIVITY_LIMITS.idle_us / 1e6, INACTIVITY_LIMITS.message_us / 1e6


def test_an_order_that_takes_longer_than_a_connection_may_be_idle_gets_its_answer(monkeypatch):
    # Guards against the end of a connection 10 s after its accept, whether an order is being carried out or not.
    async def submit(*_):
        await trio.sleep(1.5 * IDLE_S)
        return CommandResult(200, "")

    monkeypatch.setattr(MemberOrders, "submit", submit)

    async def steps(harness):
        order = json.dumps({"member": "cache2", "order": "drain", "by": "kim"})
        assert (await ask(harness, "POST", "/orders", order, JSON))[0] == 200

    run_health_scenario(steps, operators=ADMIN)


def test_a_connection_in_use_is_not_ended():
    # Guards against the end of a connection 10 s after its accept, as the next request is on its way.
    async def check(harness):
        async with await trio.open_tcp_stream(*harness.service.balancer[1].address) as stream:
            for _ in range(6):
                await trio.sleep(0.3 * IDLE_S)
                await stream.send_all(REQUEST)
                assert (await stream.receive_some()).startswith(b"HTTP/1.1 200")

    run_with_director(check)


@pytest.mark.parametrize("server, start", [(1, b"GET /"), (2, HTTP2_START)], ids=["http", "grpc"])
@pytest.mark.parametrize("is_silent, limit_s", [(True, IDLE_S), (False, MESSAGE_S)], ids=["silent", "endless"])
def test_a_client_without_a_request_is_ended_within_its_limit(server, start, is_silent, limit_s):
    pieces = () if is_silent else (start[number : number + 1] or b"x" for number in count())

    async def check(harness):
        used = harness.service.balancer[server]
        async with await trio.open_tcp_stream(*used.address) as stream:
            assert await seconds_until_closed(stream, pieces) == pytest.approx(limit_s, abs=0.1)
        await trio.testing.wait_all_tasks_blocked()  # the director reads the client's close
        assert not used.clients

    run_with_director(check)


def test_a_client_that_reads_no_answers_costs_bounded_memory_and_time(monkeypatch):
    # Guards against answers to a client that only writes, kept in memory without bound.
    channels = []
    run_client = BoundedServer._run_client

    async def record(server, channel):
        channels.append(channel)
        channel.sock.setsockopt(SOL_SOCKET, SO_SNDBUF, 8192)
        await run_client(server, channel)

    monkeypatch.setattr(BoundedServer, "_run_client", record)

    async def check(harness):
        server = harness.service.balancer[1]
        stream = await trio.open_tcp_stream(*server.address)
        with trio.move_on_after(MESSAGE_S + 1), pytest.raises(trio.BrokenResourceError):
            while True:
                await stream.send_all(REQUEST * 100)
                assert not channels or channels[0].backlog_bytes <= 1000  # one answer
        assert not server.clients

    run_with_director(check)
