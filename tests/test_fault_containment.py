"""An unexpected exception in the task of one client, check, lookup or datagram ends only that task."""

import socket
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from rookbend.net.peers import PeerSocket
from tests.director_scenario import director_harness, run_with_director
from tests.test_dns_front import READ, RESOLVED_READ

GET = b"GET /health HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"
ADMIN = "[admin]\n listen 127.0.0.1:0\n"
CHECK = "[health]\n[check web]\n type http\n port AGENTS\n interval 1s\n"


class PlantedError(Exception):
    """Raised by the tests only, never by the director's code."""


def fail(*args, **more):
    raise PlantedError


async def exchange(address, request):
    async with await trio.open_tcp_stream(*address) as stream:
        await stream.send_all(request)
        await stream.send_eof()
        return b"".join([data async for data in stream])


def contained_components(capsys):
    lines = [line for line in capsys.readouterr().err.splitlines() if "event=component_fault" in line]
    assert all("PlantedError" in line and "Traceback" in line for line in lines)
    return [line.partition("component=")[2].split()[0] for line in lines]


def test_an_exception_while_serving_a_client_ends_only_its_connection(monkeypatch, capsys):
    async def steps(harness):
        _, http, _ = harness.service.balancer
        for server, answered in ((http, b"200"), (harness.service.admin, b"404")):
            with monkeypatch.context() as planted:
                planted.setattr("rookbend.net.http_server.HttpServerConnection.feed", fail)
                assert await exchange(server.address, GET) == b""
            assert answered in await exchange(server.address, GET) and not server.clients

    run_with_director(steps, operators=ADMIN, component_faults=2)
    assert contained_components(capsys) == ["http-server", "admin"]


def test_an_exception_at_the_operators_endpoint_ends_only_that_connection(monkeypatch, capsys):
    async def main():
        async with director_harness(operator="127.0.0.1:0", component_faults=1) as harness:
            endpoint = harness.service.operations.endpoint
            with monkeypatch.context() as planted:
                planted.setattr(endpoint.api, "answer", fail)
                assert await exchange(endpoint.address, b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n") == b""
            assert b" 200 " in await exchange(endpoint.address, b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert contained_components(capsys) == ["operator"]


@pytest.mark.parametrize("way", ["", "tcp "])
def test_an_exception_in_a_lookup_fails_only_that_lookup(way, monkeypatch, capsys):
    async def steps(harness):
        with monkeypatch.context() as planted:
            planted.setattr(harness.service.dns.front, "query", fail)
            await harness.play(f"dns send {way}{READ} id=6\n dns expect nothing")
        await harness.play(RESOLVED_READ)

    run_with_director(steps, component_faults=1)
    assert contained_components(capsys) == ["dns"]


def test_an_exception_in_the_resolver_fails_only_that_lookup(monkeypatch, capsys):
    async def steps(harness):
        with monkeypatch.context() as planted:
            planted.setattr("rookbend.net.dns_resolver.parse_addresses", fail)
            await harness.play(
                RESOLVED_READ.replace("dns expect udp id=7 NOERROR cache1.example.org 127.0.0.11 ttl=0", "")
            )
            await harness.play("dns expect id=7 SERVFAIL unnamed")
        await harness.play(RESOLVED_READ.replace("id=7", "id=8"))

    run_with_director(steps, component_faults=1)
    assert contained_components(capsys) == ["resolver"]


def test_a_check_that_raises_has_no_result_and_runs_again_as_scheduled(monkeypatch, capsys):
    async def steps(harness):
        runs = []

        async def run(self, started_us):
            runs.append(started_us)
            raise PlantedError

        monkeypatch.setattr("rookbend.net.check_exchange.CheckRun.run", run)
        await trio.sleep(5)
        assert len(runs) >= 4 and harness.state("cache1")[0] == "ready"
        harness.service.counters.component_faults -= len(runs)

    run_with_director(steps, operators=CHECK)
    assert set(contained_components(capsys)) == {"checks"}


def test_an_exception_on_a_datagram_does_not_affect_the_next_one(capsys):
    async def steps(harness):
        received = []

        def take(sender, data):
            received.append((sender, data))
            if data == b"bad":
                raise PlantedError

        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as ours,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peers,
        ):
            for sock in (ours, peers):
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
            engine = SimpleNamespace(peer_message=take)
            peer_socket = PeerSocket(engine, harness.service.context.containment, ours, [peers.getsockname()], None)
            harness.nursery.start_soon(peer_socket.run)
            for data in (b"bad", b"good"):
                peers.sendto(data, ours.getsockname())
                await trio.testing.wait_all_tasks_blocked()
            assert received == [(0, b"bad"), (0, b"good")]
            harness.nursery.cancel_scope.cancel()

    run_with_director(steps, component_faults=1)
    assert contained_components(capsys) == ["peers"]


@pytest.mark.parametrize("passing", [KeyboardInterrupt, SystemExit, trio.Cancelled])
def test_cancellation_and_exit_are_not_contained(passing):
    async def steps(harness):
        if passing is trio.Cancelled:
            with trio.move_on_after(1) as scope, harness.service.context.containment.contain("peers"):
                await trio.sleep_forever()
            return scope.cancelled_caught
        with pytest.raises(passing), harness.service.context.containment.contain("peers"):
            raise passing
        return True

    assert run_with_director(steps)
