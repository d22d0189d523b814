"""A member that dies and returns cold before the membership tells: its connections show it."""

import pytest

from rookbend.core.restart_detection import RestartDetector
from rookbend.protocol.coordinator_stream import server_number
from tests.director_scenario import on_stage

CACHE = server_number("cache1")
SERVED = """
    client send request 1 video
    cache1 expect do rid=0000000000000001
    cache1 send ok note=mem body=hello
    client expect served 1
"""


def started(stage):
    return stage.service.engine.router.membership.all[CACHE].started_us


async def seen_dead(stage):
    """Dies under a request, whose next try elsewhere is answered."""
    await stage.play(SERVED)
    await stage.actors["cache1"].die()
    await stage.play("""
        client send request 2 video
        upper expect do rid=0000000000000002
        upper send ok body=there
        client expect served 2
    """)


async def returns(stage, number):
    """Back at its old address, and asked again once its ejection is over."""
    await stage.actors["cache1"].open()
    await stage.play(f"""
        director wait 5
        client send request {number} video chunk={number}
        cache1 expect do rid={number:016x}
        cache1 send ok note=parent body=hello
        client expect served {number}
    """)


def test_a_member_that_died_and_returned_is_cold_until_the_membership_tells_its_start():
    async def check(stage):
        await seen_dead(stage)
        assert started(stage) == 0
        await returns(stage, 3)
        now = stage.service.clock.now()
        assert now - 1_000_000 < started(stage) <= now
        assert stage.service.counters.restarts_seen == 1
        # A change that still tells the start before: the cache stays cold.
        await stage.tell(stage.actors["coordinator"], {**stage.member("cache1"), "size": 40.0})
        await stage.play("director wait 0.01")
        assert started(stage) > now - 1_000_000
        # And the start itself, as the membership knows it.
        told_ms = (now - 500_000) // 1000
        await stage.tell(stage.actors["coordinator"], {**stage.member("cache1"), "up_since_ms": told_ms})
        await stage.play("director wait 0.01")
        assert started(stage) == told_ms * 1000

    on_stage(check)


def test_a_start_that_was_seen_ends_with_the_warm_up():
    async def check(stage):
        await seen_dead(stage)
        await returns(stage, 3)
        await stage.play("director wait 16")
        await stage.tell(stage.actors["coordinator"], stage.member("cache1"))
        await stage.play("director wait 0.01")
        assert started(stage) == 0

    on_stage(check)


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
def test_only_a_reset_and_then_a_refusal_with_nothing_open_is_a_restart(steps, restarted):
    evidence = RestartDetector()
    for what, *args in steps:
        (evidence.connection_lost if what == "lost" else evidence.connect_failed)(*args)
    assert evidence.connected() is restarted
    assert not evidence.connected()
