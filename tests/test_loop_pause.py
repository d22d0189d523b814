"""After a pause of the event loop, what the coordinator has sent counts before anything else is done."""

import os

import pytest
import trio
import trio.testing

from rookbend.core.clock import Clock
from rookbend.core.model import Request
from rookbend.net import watch
from rookbend.net.catch_up import MAX_AFTER_PAUSE_US
from rookbend.net.loop_pause import MIN_PAUSE_S, LoopPauseInstrument
from rookbend.testing.open_loop_client import REQUEST_FRAME, encode_frame
from tests.director_scenario import OBJ, run_with_director
from tests.scripted_coordinator import event

SHORT_PAUSE_US = int(MIN_PAUSE_S * 1e6)
LONG_PAUSE_US = watch.MAX_UNFOLLOWED_PAUSE_US
CONNECTED = """
    client send request 1 video
    cache1 expect do
    cache1 send ok body=hello
    client expect served 1
"""


def send_drain(harness, name):
    """Writes the event to the director's stream without letting the event loop run."""
    stream = harness.actors["coordinator"].streams[-1]
    drain = event(2, {"endpoints": {"members": [harness.member(name, "DRAINING")]}})
    os.write(stream.socket.fileno(), drain)


def server_of(harness, name):
    return next(s for s, endpoint in harness.service.engine.endpoints.items() if endpoint.name == name)


def submit(harness, number):
    """Submits a request as a front does; returns the answers."""
    answers = []
    deadline_us = harness.service.clock.now() + 2_000_000
    request = Request(f"{number:016x}", 0, "video", OBJ, int(OBJ, 16), deadline_us)
    harness.service.engine.submit(request, answers.append)
    return answers


def test_a_pause_is_reported_before_the_next_task_runs_and_only_once():
    now_s, pauses = [0.0], []
    instrument = LoopPauseInstrument(Clock(lambda: now_s[0], lambda: 0.0))
    instrument.on_pause.append(pauses.append)
    for step_s in (0.05, 0.0999, 1.5, 0.0, 0.25):
        now_s[0] += step_s
        instrument.check()
    assert [round(pause_us, -3) for pause_us in pauses] == [1_500_000, 250_000]


def test_a_drain_that_waits_in_the_socket_counts_after_a_pause():
    async def check(harness):
        await harness.play(CONNECTED)
        send_drain(harness, "cache1")
        assert harness.service.engine.is_in_service(server_of(harness, "cache1"))
        harness.service.watch.loop_paused(SHORT_PAUSE_US)
        assert not harness.service.engine.is_in_service(server_of(harness, "cache1"))

    run_with_director(check)


@pytest.mark.parametrize("pause_us, is_holding", [(SHORT_PAUSE_US, False), (LONG_PAUSE_US, True)])
def test_a_stream_that_ended_during_a_long_pause_is_caught_up_with(pause_us, is_holding):
    async def check(harness):
        harness.actors["coordinator"].streams[-1].socket.shutdown(trio.socket.SHUT_WR)
        harness.service.watch.loop_paused(pause_us)
        assert harness.service.engine.held_requests.is_holding is is_holding
        await harness.play("director wait 2\nclient send ready? 1\nclient expect ready served 1")

    run_with_director(check)


def test_after_a_pause_without_a_coordinator_requests_are_held_for_a_limited_time():
    async def check(harness):
        coordinator = harness.actors["coordinator"]
        coordinator.answering = trio.Event()
        coordinator.streams[-1].socket.shutdown(trio.socket.SHUT_WR)
        harness.service.watch.loop_paused(LONG_PAUSE_US)
        began_s = trio.current_time()
        await harness.play("client send request 1 video budget=60000\ncache1 expect do")
        assert trio.current_time() - began_s <= MAX_AFTER_PAUSE_US / 1e6 + 0.1

    run_with_director(check)


@pytest.mark.parametrize("count", [3, 30])
def test_attempts_in_the_send_buffer_are_withheld_from_a_member_that_drains(count):
    async def check(harness):
        await harness.play(CONNECTED)
        engine = harness.service.engine
        for number in range(2, 2 + count):
            submit(harness, number)
        send_drain(harness, "cache1")
        harness.service.watch.loop_paused(SHORT_PAUSE_US)
        await harness.play("upper expect do\ncache1 expect nothing")
        assert engine.counters.withheld_member_out_of_service >= 1

    run_with_director(check)


@pytest.mark.parametrize("count", [1, 10])
def test_a_request_that_waited_in_its_socket_during_a_pause_is_passed_on_with_the_time_it_has_left(count):
    # Guards against deadlines that count from the reading of a request that arrived long before.
    async def check(harness):
        await harness.play(CONNECTED)
        client = harness.actors["client"]
        for number in range(2, 2 + count):
            fields = {"method": "video", "obj": OBJ, "budget": "3000", "rid": f"{number:016x}", "chunk": str(number)}
            os.write(client.streams[-1].socket.fileno(), encode_frame(REQUEST_FRAME, number, fields))
        harness.service.client_listener.loop_paused(LONG_PAUSE_US)
        given_ms = []
        for _ in range(count):
            (wait,) = (w for w in await harness.actors["cache1"].observed.receive() if w.startswith("w="))
            given_ms.append(int(wait.removeprefix("w=")))
        assert max(given_ms[:-1], default=0) <= 3000 - LONG_PAUSE_US / 1000
        assert given_ms[-1] <= 3000  # its own age is known: it has just arrived

    run_with_director(check)


def test_an_attempt_in_the_send_buffer_is_written_again_after_a_pause():
    # Guards against a command that tells a member of time that has passed since it was buffered.
    async def check(harness):
        await harness.play(CONNECTED)
        submit(harness, 2)
        pool = harness.service.pool
        (pending,) = (p for m in pool.members.values() for c in m.connections for p in c.in_flight.values())
        attempt = pending.attempt
        attempt.due_us -= 1_000_000  # as if a second had passed
        pool.rewrite_unsent()
        (wait,) = (w for w in await harness.actors["cache1"].observed.receive() if w.startswith("w="))
        assert int(wait.removeprefix("w=")) <= 1000

    run_with_director(check)


def test_after_a_pause_timers_run_once_readable_sockets_were_read():
    # Guards against time-outs that cancel attempts whose answers wait in the sockets.
    async def check(harness):
        service, order = harness.service, []
        service.engine.run_due = lambda: order.append("timers") or 0
        near, far = trio.socket.socketpair()
        far.close()

        async def read():
            await trio.lowlevel.wait_readable(near)
            order.append("read")

        service.metrics.loop_paused(SHORT_PAUSE_US)
        service.engine.timers.on_earlier_due(0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
        await trio.testing.wait_all_tasks_blocked()
        near.close()
        assert order == ["read", "timers"]

    run_with_director(check)
