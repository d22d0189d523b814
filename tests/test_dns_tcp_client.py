"""DNS over TCP: a connection is idle only once all its queries have replies, and costs a bounded amount otherwise."""

import copy
from itertools import repeat
from socket import SO_SNDBUF, SOL_SOCKET

import dns.message
import pytest
import trio
import trio.testing

from rookbend.net.buffered_socket import RECEIVE_BYTES
from rookbend.net.dns_server import DnsServer
from rookbend.net.dns_tcp_client import INACTIVITY_LIMITS, MAX_UNSENT_BYTES
from rookbend.protocol import dns_tcp
from tests.director_scenario import OBJ, SETTINGS, run_with_director
from tests.endless_writer import seconds_until_closed

READ = f"p0.{OBJ}.g0.video.route.example.org"
UNKNOWN = f"p0.{OBJ}.g0.nothing.route.example.org"
LOOKUP_S = 15  # longer than a connection may be idle
REPLY_AFTER_IT = f"""
    cache1 send ok note=mem body=hello
    resolver expect cache1.example.org
    director wait {LOOKUP_S}
    resolver send 127.0.0.11
    dns expect tcp id=6 NOERROR cache1.example.org
"""


def slow_lookups():
    """Settings whose lookups may take longer than a connection may be idle."""
    settings = copy.deepcopy(SETTINGS)
    for traffic_class in settings["lanes"]:
        traffic_class["hardLimitUs"] = 2 * LOOKUP_S * 1_000_000
    return {"settings": settings, "dns": f"budget {2 * LOOKUP_S}s"}


def limit_s(name):
    return getattr(INACTIVITY_LIMITS, name) / 1e6


@pytest.mark.parametrize("half_closed", [False, True])
def test_a_lookup_that_takes_longer_than_the_idle_limit_gets_its_reply(half_closed):
    # Guards against the end of a TCP connection 10 s after its last query, whether that has its reply or not.
    async def check(harness):
        await harness.play(f"dns send tcp {READ} id=6\ncache1 expect do k={OBJ}")
        if half_closed:
            await harness.actors["dns"].streams[0].send_eof()
        await harness.play(REPLY_AFTER_IT)

    run_with_director(check, **slow_lookups())


def test_a_query_repeated_before_its_reply_does_not_keep_the_connection():
    # Guards against a count of open queries that a repeat, which shares its reply, keeps above zero.
    async def check(harness):
        await harness.play(f"dns send tcp {READ} id=6\ncache1 expect do k={OBJ}")
        stream, query = harness.actors["dns"].streams[0], dns.message.make_query(READ, "A", id=6).to_wire()
        await stream.send_all(dns_tcp.frame(query))
        await stream.send_eof()
        await harness.play(REPLY_AFTER_IT.replace(str(LOOKUP_S), "1") + "director wait 0.1")
        assert not harness.service.dns.clients

    run_with_director(check)


@pytest.mark.parametrize("pieces, limit", [((), "idle_us"), (repeat(b"\xff"), "message_us")], ids=["silent", "endless"])
def test_a_client_without_an_open_query_is_ended_within_its_limit(pieces, limit):
    async def check(harness):
        async with await trio.open_tcp_stream(*harness.service.dns.address) as stream:
            assert await seconds_until_closed(stream, pieces) == pytest.approx(limit_s(limit), abs=0.1)
        await trio.testing.wait_all_tasks_blocked()  # the director reads the client's close
        assert not harness.service.dns.clients

    run_with_director(check)


def test_a_client_that_reads_no_replies_costs_bounded_memory_and_time(monkeypatch):
    # Guards against replies to a client that only writes, kept in memory without bound.
    channels = []
    serve = DnsServer._serve_client

    async def record(server, client):
        channels.append(client.channel)
        await serve(server, client)

    monkeypatch.setattr(DnsServer, "_serve_client", record)

    async def check(harness):
        stream = await trio.open_tcp_stream(*harness.service.dns.address)
        queries = dns_tcp.frame(dns.message.make_query(UNKNOWN, "A", id=6).to_wire()) * 1000
        with trio.move_on_after(limit_s("idle_us") + 1), pytest.raises(trio.BrokenResourceError):
            await stream.send_all(queries[:100])
            channels[0].sock.setsockopt(SOL_SOCKET, SO_SNDBUF, 8192)
            while True:
                await stream.send_all(queries)
                assert channels[0].backlog_bytes <= MAX_UNSENT_BYTES + 4 * RECEIVE_BYTES  # the replies to one read
        assert not harness.service.dns.clients

    run_with_director(check)


def test_a_flood_of_queries_leaves_turns_of_the_event_loop_to_others(monkeypatch):
    flood, most_in_a_turn = 3000, 64

    async def check(harness):
        front = harness.service.dns.front
        in_this_turn, most, total = 0, 0, 0
        answer = front.query

        def count_query(*arguments):
            nonlocal in_this_turn, total
            in_this_turn += 1
            total += 1
            return answer(*arguments)

        async def watch_turns():
            nonlocal in_this_turn, most
            while True:
                most, in_this_turn = max(most, in_this_turn), 0
                await trio.lowlevel.checkpoint()

        monkeypatch.setattr(front, "query", count_query)
        harness.nursery.start_soon(watch_turns)
        stream = await trio.open_tcp_stream(*harness.service.dns.address)
        queries = (dns.message.make_query(UNKNOWN, "A", id=number) for number in range(flood))
        await stream.send_all(b"".join(dns_tcp.frame(query.to_wire()) for query in queries))
        while total < flood:
            await stream.receive_some()
        assert 0 < most <= most_in_a_turn

    run_with_director(check)
