"""Connections that wait to be accepted: their time counts, for their requests and for their right to a place.

Guards against review case 9: requests behind silent connections were read after their time, and passed on as if they had
just come, since neither their deadlines nor the protection of newcomers counted the time in the listener's backlog.
"""

import resource
import socket
import time

import pytest
import trio
import trio.testing

from rookbend.net import backlog_wait
from rookbend.net.connection_age import quiet_us
from rookbend.testing.director_process import DirectorProcess, find_free_port, running_directors
from rookbend.testing.measurement_fleet import open_fleet
from tests.director_scenario import run_with_director
from tests.raw_client import RawClient, request
from tests.test_full_descriptors import MAX_CLIENTS, SOCKETS, connect, request_fields

WAITED_US = 1_000_000
BUDGET_MS = 1500
SLACK_MS = 150
LATE_S = 0.5  # after its time an answer is worth nothing, and lost when later than this
QUIET_S = 0.3


@pytest.mark.parametrize("with_data", [False, True])
def test_a_connection_knows_how_long_it_has_been_quiet(with_data):
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.create_connection(listener.getsockname()) as client:
        time.sleep(QUIET_S)
        if with_data:
            client.send(b"x")
            time.sleep(QUIET_S)
        accepted, _ = listener.accept()
        with accepted:
            assert QUIET_S - 0.01 <= quiet_us(accepted) / 1e6 <= 2 * QUIET_S - 0.01


def test_a_kernel_that_does_not_tell_counts_as_no_wait():
    with socket.socket() as sock:
        sock.close()
        assert quiet_us(sock) == 0


async def passed_on_ms(harness):
    with trio.fail_after(5):
        words = await harness.actors["cache1"].observed.receive()
    return int(next(word for word in words if word.startswith("w="))[2:])


def test_a_request_that_waited_to_be_accepted_has_less_time_and_the_next_one_has_all(monkeypatch):
    async def check(harness):
        monkeypatch.setattr(backlog_wait, "quiet_us", lambda sock: WAITED_US)
        client = RawClient(harness)
        listener = harness.service.client_listener
        listener.max_clients = 0
        await client.connect()
        await client.send(request(1, chunk=1, budget=BUDGET_MS))
        await trio.sleep(2 * WAITED_US / 1e6)
        listener.max_clients = 10
        left_ms = BUDGET_MS - WAITED_US / 1000
        assert left_ms - SLACK_MS <= await passed_on_ms(harness) <= left_ms
        await client.send(request(2, chunk=2, budget=BUDGET_MS))
        assert await passed_on_ms(harness) >= BUDGET_MS - SLACK_MS

    run_with_director(check)


@pytest.mark.parametrize("is_held_back", [False, True])
def test_a_request_that_is_sent_after_the_accept_has_all_its_time(is_held_back, monkeypatch):
    async def check(harness):
        monkeypatch.setattr(backlog_wait, "quiet_us", lambda sock: WAITED_US)
        listener = harness.service.client_listener
        listener.max_clients = 0 if is_held_back else 10
        client = await RawClient(harness).connect()
        await trio.sleep(WAITED_US / 1e6)
        listener.max_clients = 10
        await trio.sleep(0.1)
        await client.send(request(1, chunk=1, budget=BUDGET_MS))
        assert await passed_on_ms(harness) >= BUDGET_MS - SLACK_MS

    run_with_director(check)


def test_a_request_that_was_not_held_back_has_all_its_time_whatever_the_kernel_says(monkeypatch):
    async def check(harness):
        monkeypatch.setattr(backlog_wait, "quiet_us", lambda sock: WAITED_US)
        client = await RawClient(harness).connect()
        client.sock._sock.send(request(1, chunk=1, budget=BUDGET_MS))  # before the director has accepted
        assert await passed_on_ms(harness) >= BUDGET_MS - SLACK_MS

    run_with_director(check)


def test_a_request_whose_time_was_over_before_the_accept_is_not_passed_on(monkeypatch):
    async def check(harness):
        monkeypatch.setattr(backlog_wait, "quiet_us", lambda sock: 2 * WAITED_US)
        harness.service.client_listener.max_clients = 0
        client = await RawClient(harness).connect()
        await client.send(request(1, budget=BUDGET_MS))
        await trio.sleep(2 * WAITED_US / 1e6)
        harness.service.client_listener.max_clients = 10
        await trio.sleep(0.1)
        await harness.play("cache1 expect nothing")
        assert harness.service.counters.failed == 1

    run_with_director(check)


def test_usual_clients_behind_silent_ones_are_answered_in_time(tmp_path):
    async def main():
        async with open_fleet(caches=2) as fleet:
            port = find_free_port()
            config = fleet.director_config(False, port)
            config["limits"]["sockets"] = SOCKETS
            director = DirectorProcess(".", tmp_path, config)
            async with running_directors(director):
                resource.prlimit(director.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
                silent = [await connect(port) for _ in range(10 * MAX_CLIENTS)]
                usual = [await connect(port) for _ in range(10)]
                began = trio.current_time()
                took = []

                async def ask(number, client):
                    fields = request_fields(number) | {"budget": str(BUDGET_MS)}
                    await client.answer_code(7, fields)
                    took.append(trio.current_time() - began)

                async with trio.open_nursery() as nursery:
                    for number, client in enumerate(usual, 1):
                        nursery.start_soon(ask, number, client)
                assert max(took) <= BUDGET_MS / 1000 + LATE_S
                for client in silent:
                    await client.stream.aclose()

    trio.run(main)
