"""A director that starts holds new requests until it has caught up with the coordinator (net/catch_up.py)."""

import pytest
import trio

from rookbend.core.held_requests import MAX_HOLD_RATIO
from rookbend.core.model import FinalOutcome
from rookbend.net import catch_up
from rookbend.routing import Router
from tests import router_harness
from tests.director_scenario import run_with_director
from tests.engine_harness import EngineHarness
from tests.scripted_coordinator import HEAD, ScriptedCoordinator, chunk, event

MAX_START_S = catch_up.MAX_START_US / 1e6
MAX_DELIVERY_S = catch_up.MAX_DELIVERY_US / 1e6
QUIET_S = catch_up.QUIET_US / 1e6
LONG_REQUEST = "client send request 1 video budget=60000"
GOES_TO_THE_PARENT = "upper expect do rid=0000000000000001\ncache1 expect nothing"


def drain_of_cache1(harness):
    return event(2, {"endpoints": {"members": [harness.member("cache1", "DRAINING")]}})


def run(check, **options):
    return run_with_director(check, catches_up=False, **options)


async def coordinator_answers(harness, *parts, pause_s=0.0):
    """Answers the director's call, then sends the parts of the stream."""
    coordinator = harness.actors["coordinator"]
    coordinator.answering.set()
    await trio.sleep(0.01)
    for part in parts:
        await coordinator.write(coordinator.streams[-1], part)
        await trio.sleep(pause_s)


def test_a_request_waits_for_the_events_since_the_list_of_the_start():
    async def check(harness):
        await harness.play(f"{LONG_REQUEST}\ndirector wait 1\ncache1 expect nothing\nupper expect nothing")
        await coordinator_answers(harness, drain_of_cache1(harness))
        await harness.play(GOES_TO_THE_PARENT)

    run(check)


@pytest.mark.parametrize("pause_s", [QUIET_S / 2, QUIET_S * 2])
def test_an_event_that_arrives_in_pieces_is_waited_for(pause_s):
    async def check(harness):
        await harness.play(LONG_REQUEST)
        drain = drain_of_cache1(harness)
        await coordinator_answers(harness, drain[:30], drain[30:60], drain[60:], pause_s=pause_s)
        await harness.play(GOES_TO_THE_PARENT)

    run(check)


def test_events_that_come_after_the_head_of_the_answer_are_waited_for():
    async def check(harness):
        coordinator = await ScriptedCoordinator(harness).open()
        _, _, stream = await coordinator.next_call()
        await harness.play(LONG_REQUEST)
        await stream.send_all(HEAD)
        await trio.sleep(0.9)
        await stream.send_all(chunk(drain_of_cache1(harness)))
        await harness.play(GOES_TO_THE_PARENT)

    run(check)


def test_a_stream_that_never_pauses_delays_requests_for_a_limited_time():
    async def check(harness):
        await harness.play(LONG_REQUEST)
        began_s = trio.current_time()
        pieces = [b":\n"] * int(MAX_DELIVERY_S / QUIET_S * 4)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: coordinator_answers(harness, *pieces, pause_s=QUIET_S / 2))
            await harness.play("cache1 expect do")
            assert trio.current_time() - began_s <= MAX_DELIVERY_S + 0.1
            nursery.cancel_scope.cancel()

    run(check)


def test_a_director_is_ready_once_it_has_caught_up():
    async def check(harness):
        await harness.play("client send ready? 1\nclient expect ready refused 1\ndirector wait 1")
        assert harness.service.reported_phase() == "starting"
        await coordinator_answers(harness)
        await harness.play(f"director wait {QUIET_S + 0.01}\nclient send ready? 2\nclient expect ready served 2")
        assert harness.service.reported_phase() == "ready"

    run(check)


def test_without_an_answer_of_the_coordinator_a_director_serves_after_a_limited_time():
    async def check(harness):
        began_s = trio.current_time()
        await harness.play(f"{LONG_REQUEST}\ncache1 expect do")
        assert MAX_START_S - 0.1 <= trio.current_time() - began_s <= MAX_START_S + 0.1

    run(check)


def test_a_request_is_refused_while_its_client_has_time_to_go_elsewhere():
    async def check(harness):
        began_s = trio.current_time()
        await harness.play("client send request 1 video budget=1000\nclient expect refused 1")
        assert trio.current_time() - began_s <= MAX_HOLD_RATIO + 0.05
        await coordinator_answers(harness)
        await harness.play(f"director wait {2 * QUIET_S}\ncache1 expect nothing\nupper expect nothing")

    run(check)


@pytest.mark.parametrize("leaves", ["client send cancel 1", "client close"])
def test_nothing_is_sent_for_a_client_that_has_left_meanwhile(leaves):
    async def check(harness):
        await harness.play(f"{LONG_REQUEST}\ndirector wait 0.1\n{leaves}\ndirector wait 0.1")
        await coordinator_answers(harness)
        await harness.play(f"director wait {2 * QUIET_S}\ncache1 expect nothing\nupper expect nothing")
        assert harness.service.engine.open_requests == 0

    run(check)


def test_a_shutdown_meanwhile_answers_what_was_held():
    async def check(harness):
        await harness.play(f"{LONG_REQUEST}\ndirector wait 0.1\ndirector close\nclient expect closing")
        await harness.play("client expect refused 1\nclient expect closed\ndirector expect done")

    run(check)


@pytest.mark.parametrize("count", [240, 2400])
def test_held_requests_are_passed_on_in_their_order_and_rejected_once(count):
    harness = EngineHarness(Router(router_harness.settings(allows_direct_to_source=True), 7))
    held = harness.engine.held_requests
    held.is_holding = True
    opened = [harness.submit_request(timeout_s=1.0, object_id=number + 1) for number in range(count)]
    harness.engine.cancel(opened[1])
    late = harness.submit_request(timeout_s=9.0, object_id=count + 1)
    harness.run_until(harness.now_s + MAX_HOLD_RATIO + 0.01)
    assert harness.outcomes() == [FinalOutcome.REJECTED] * (count - 1)
    assert held.release() == 1 and [attempt.id for attempt in harness.sent] == [late.id]
