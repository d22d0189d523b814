"""A membership stream that falls silent, ends, repeats events or delivers unusable ones.

The coordinator counts its events as delivered at once, so the time of a director without a working stream is limited.
"""

import pytest
import trio

from rookbend.net.reconnect_backoff import MIN_PAUSE_S, ReconnectBackoff
from rookbend.net.watch import SILENCE_TIMEOUT_US
from tests.director_scenario import OBJ, START_UNIX_S, run_with_director
from tests.interleaving import hold_connects
from tests.scripted_coordinator import HEAD, ScriptedCoordinator, chunk, event, full_membership, member_change

EXPECT_SERVED_BY = """
    client send request {0} video chunk={0}
    {1} expect do rid={0:016x}
    {1} send ok note=mem body=hello
    client expect served {0}
"""


ALL = "cache1", "upper", "records"


@pytest.mark.parametrize("how", ["first-byte", "headers", "event", "chunk", "comments-stop"])
def test_a_silent_stream_is_replaced_by_a_new_call_within_the_time_limit(how):
    async def check(harness):
        coordinator = await ScriptedCoordinator(harness).open()
        at, last, stream = await coordinator.next_call()
        update = member_change(coordinator, 2, "cache1", "DRAINING")
        response = {
            "first-byte": b"",
            "headers": HEAD,
            "event": HEAD + chunk(update[:40]),
            "chunk": HEAD + chunk(update)[:40],
            "comments-stop": HEAD + chunk(b":\n"),
        }[how]
        if response:
            await stream.send_all(response)
        again, last_again, stream = await coordinator.next_call()
        span_s = ReconnectBackoff(0, 1, 0).span_s
        assert again - at <= SILENCE_TIMEOUT_US / 1e6 + MIN_PAUSE_S + span_s + 0.05
        assert (last, last_again) == (1, 1)
        await stream.send_all(HEAD + chunk(update))  # the drain takes effect as soon as its event is received
        await harness.play("""
            director wait 0.01
            client send request 1 video
            upper expect do rid=0000000000000001
            cache1 expect nothing
        """)

    run_with_director(check)


@pytest.mark.parametrize("count", [1, 3, 5])
def test_a_director_of_a_small_fleet_calls_again_soon_after_its_first_call_failed(count):
    """A purge takes effect 0.5 s after the coordinator sends it, and counts as sent to a director without a stream."""
    for number in range(count):
        for seed in range(20):
            assert ReconnectBackoff(number, count, seed).next() <= MIN_PAUSE_S + 0.08 * count < 0.55


def test_events_between_a_stream_end_and_the_next_call_are_requested_and_applied_once():
    async def check(harness):
        coordinator = await ScriptedCoordinator(harness).open()
        _, _, stream = await coordinator.next_call()
        await stream.send_all(HEAD + chunk(member_change(coordinator, 2, "cache2", "SERVING")))
        await trio.sleep(0.01)
        await stream.aclose()
        _, last, stream = await coordinator.next_call()
        assert last == 2
        before = harness.service.counters.roster_changes
        twice = (
            member_change(coordinator, 2, "cache2", "SERVING") + member_change(coordinator, 3, "cache1", "DELETED") * 2
        )
        await stream.send_all(HEAD + chunk(twice))
        await trio.sleep(0.01)
        assert harness.service.counters.roster_changes == before + 1
        await harness.play(EXPECT_SERVED_BY.format(1, "cache2"))

    run_with_director(check)


def test_a_full_membership_replaces_changes_and_an_older_or_repeated_one_is_ignored():
    async def check(harness):
        coordinator = await ScriptedCoordinator(harness).open()
        _, _, stream = await coordinator.next_call()
        await stream.send_all(
            HEAD
            + chunk(
                member_change(coordinator, 2, "cache2", "SERVING")
                + full_membership(coordinator, 3, "cache2", "upper", "records")
                + full_membership(coordinator, 1, *ALL)
                + full_membership(coordinator, 3, *ALL)
            )
        )
        await trio.sleep(0.01)
        assert sorted(e.name for e in harness.service.engine.endpoints.values()) == ["cache2", "records", "upper"]
        await harness.play(EXPECT_SERVED_BY.format(1, "cache2"))

    run_with_director(check)


def test_a_new_member_at_the_address_of_a_removed_one_gets_new_connections():
    async def check(harness):
        coordinator = await ScriptedCoordinator(harness).open()
        await harness.play(EXPECT_SERVED_BY.format(1, "cache1"))
        _, _, stream = await coordinator.next_call()
        connects = harness.service.counters.connects
        await stream.send_all(
            HEAD
            + chunk(
                member_change(coordinator, 2, "cache1", "DELETED")
                + member_change(coordinator, 3, "cache1", "SERVING", id="cache9")
            )
        )
        await trio.sleep(0.01)
        assert "cache9" in [e.name for e in harness.service.engine.endpoints.values()]
        await harness.play(EXPECT_SERVED_BY.format(2, "cache1"))
        assert harness.service.counters.connects == connects + 1

    run_with_director(check)


@pytest.mark.parametrize(
    "bad",
    [
        '{"index": 2, "endpoints": {"members": 7}}',
        "{",
        '{"index": "two"}',
        "\\ud800",
        '{"index": 2, "evict": []}',
        '{"index": 2, "endpoints": {"members": [{"id": "x", "host_port": "nowhere", "phase": "SERVING"}]}}',
        '{"index": 2, "endpoints": {"members": [{"id": "x", "host_port": "a:1", "phase": "ODD"}]}}',
    ],
)
def test_an_unusable_event_does_not_block_later_events(bad):
    """The index moves past an unusable event. Requested again from the index before it, the event ended each call."""

    async def check(harness):
        coordinator = await ScriptedCoordinator(harness).open()
        _, _, stream = await coordinator.next_call()
        await stream.send_all(HEAD + chunk(event(2, bad) + member_change(coordinator, 3, "cache1", "DRAINING")))
        await harness.play("""
            director wait 0.01
            client send request 1 video
            upper expect do rid=0000000000000001
            cache1 expect nothing
        """)
        assert harness.service.counters.events_unusable == 1
        await stream.aclose()
        assert (await coordinator.next_call())[1] == 3

    run_with_director(check)


def test_a_changed_coordinator_address_is_called_at_once_during_a_call():
    async def check(harness):
        first = await ScriptedCoordinator(harness).open()
        await first.next_call()  # and is never answered
        began = trio.current_time()
        second = await ScriptedCoordinator(harness).open()
        at, last, stream = await second.next_call()
        assert at - began < 0.05 and last == 1
        await stream.send_all(HEAD + chunk(member_change(second, 2, "cache1", "DRAINING")))
        await harness.play("""
            director wait 0.01
            client send request 1 video
            upper expect do rid=0000000000000001
            cache1 expect nothing
        """)

    run_with_director(check)


def test_a_drain_and_a_purge_after_a_reconnect_apply_to_an_attempt_waiting_in_the_pool(monkeypatch):
    allow_connects = hold_connects(monkeypatch)

    async def check(harness):
        coordinator = await ScriptedCoordinator(harness).open()
        _, _, stream = await coordinator.next_call()
        await stream.aclose()
        _, _, stream = await coordinator.next_call()
        await harness.play("client send request 1 video budget=5000\nclient send ready? 9\nclient expect ready")
        purge = {"evict": {"ref": OBJ, "unix_ms": int(START_UNIX_S * 1000 + trio.current_time() * 1000)}}
        await stream.send_all(HEAD + chunk(member_change(coordinator, 2, "cache1", "DRAINING") + event(3, purge)))
        await trio.sleep(0.01)
        allow_connects.set()
        await harness.play("upper expect do rid=0000000000000001 c=video")
        await harness.play("cache1 expect nothing")
        assert harness.service.counters.withheld >= 1 and harness.service.counters.purges == 1

    run_with_director(check)


def test_a_director_is_ready_only_once_a_member_is_serving():
    """A director that reports ready without a member would get clients and serve none of them."""

    async def check(harness):
        coordinator = await ScriptedCoordinator(harness).open()
        await harness.play("client send ready? 1\nclient expect ready refused 1")
        _, _, stream = await coordinator.next_call()
        await stream.send_all(HEAD + chunk(full_membership(coordinator, 2, "cache1", cache1="DRAINING")))
        await harness.play("director wait 0.01\nclient send ready? 2\nclient expect ready refused 2")
        await stream.send_all(chunk(full_membership(coordinator, 3, *ALL, revision=2)))
        await harness.play("director wait 0.01\nclient send ready? 3\nclient expect ready served 3")
        await harness.play(EXPECT_SERVED_BY.format(4, "cache1"))

    run_with_director(check, members=())
