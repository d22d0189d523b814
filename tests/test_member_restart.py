"""A member that restarts with a cold cache: its connections show it before the membership reports it."""

import pytest

from rookbend.core.restart_detection import RestartDetector
from rookbend.protocol.coordinator_stream import server_number
from tests.director_scenario import run_with_director

CACHE = server_number("cache1")
SERVED = """
    client send request 1 video
    cache1 expect do rid=0000000000000001
    cache1 send ok note=mem body=hello
    client expect served 1
"""


def member_start_us(harness):
    return harness.service.engine.router.membership.all[CACHE].started_us


async def kill_during_request(harness):
    """Kills the cache during a request, whose next attempt at another member is answered."""
    await harness.play(SERVED)
    await harness.actors["cache1"].crash()
    await harness.play("""
        client send request 2 video
        upper expect do rid=0000000000000002
        upper send ok body=there
        client expect served 2
    """)


async def restart(harness, number):
    """Restarts the cache at its old address; it receives requests again once its ejection is over."""
    await harness.actors["cache1"].open()
    await harness.play(f"""
        director wait 5
        client send request {number} video chunk={number}
        cache1 expect do rid={number:016x}
        cache1 send ok note=parent body=hello
        client expect served {number}
    """)


def test_a_restarted_member_is_cold_until_the_membership_reports_its_start():
    async def check(harness):
        await kill_during_request(harness)
        assert member_start_us(harness) == 0
        await restart(harness, 3)
        now = harness.service.clock.now()
        assert now - 1_000_000 < member_start_us(harness) <= now
        assert harness.service.counters.restarts_seen == 1
        # A change that still reports the previous start: the cache stays cold.
        await harness.send_members(harness.actors["coordinator"], {**harness.member("cache1"), "size": 40.0})
        await harness.play("director wait 0.01")
        assert member_start_us(harness) > now - 1_000_000
        # The membership reports the new start.
        reported_ms = (now - 500_000) // 1000
        await harness.send_members(
            harness.actors["coordinator"], {**harness.member("cache1"), "up_since_ms": reported_ms}
        )
        await harness.play("director wait 0.01")
        assert member_start_us(harness) == reported_ms * 1000

    run_with_director(check)


def test_a_detected_start_is_dropped_after_the_warm_up():
    async def check(harness):
        await kill_during_request(harness)
        await restart(harness, 3)
        await harness.play("director wait 16")
        await harness.send_members(harness.actors["coordinator"], harness.member("cache1"))
        await harness.play("director wait 0.01")
        assert member_start_us(harness) == 0

    run_with_director(check)


@pytest.mark.parametrize(
    "steps, restarted",
    [
        ([("lost", True), ("failed", True, False)], True),
        ([("lost", True)], False),
        ([("lost", False), ("failed", True, False)], False),
        ([("failed", True, False)], False),
        ([("lost", True), ("failed", False, False)], False),
        ([("lost", True), ("failed", True, True)], False),
        ([("lost", True), ("failed", True, False), ("lost", True)], True),
    ],
)
def test_only_a_reset_and_then_a_refusal_without_open_connections_is_a_restart(steps, restarted):
    detector = RestartDetector()
    for event, *args in steps:
        (detector.connection_lost if event == "lost" else detector.connect_failed)(*args)
    assert detector.connected() is restarted
    assert not detector.connected()
