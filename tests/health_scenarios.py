"""Settings and helpers for scenarios of members' health."""

import copy

import trio
import trio.testing

from tests.director_scenario import SETTINGS, play, run_with_director

SETTINGS_WITH_PROBES = copy.deepcopy(SETTINGS)
SETTINGS_WITH_PROBES["limits"]["probes"] = True
TWO_CACHES = "cache1", "cache2", "upper", "records"
AGENT = """
[health]
    max-out 50%
    hold 100ms
[check agent]
    type agent
    port AGENTS
    interval 1s
    fast 200ms
    stale 4s
"""
HTTP = """
[health]
    hold 100ms
[check page]
    type http
    port AGENTS
    interval 1s
    fast 100ms
    expect-body fine
"""
GRPC = """
[health]
    hold 100ms
[check grpc]
    type {type}
    port AGENTS
    interval 1s
    fast 100ms
    stale 4s
"""


def play_health(scenario, operators=AGENT, members=TWO_CACHES, **options):
    return play(scenario, operators=operators, members=members, settings=SETTINGS_WITH_PROBES, **options)


def run_health_scenario(steps, operators=AGENT, members=TWO_CACHES, **options):
    return run_with_director(steps, operators=operators, members=members, settings=SETTINGS_WITH_PROBES, **options)


async def place_request(harness, number):
    """Sends a read, lets the cache that receives it answer, and returns the name of that cache."""
    await harness.play(f"client send request {number} video chunk={number}")
    cache = None
    with trio.fail_after(5):
        while cache is None:
            cache = next(
                (n for n in ("cache1", "cache2") if harness.actors[n].observed.statistics().current_buffer_used), None
            )
            await trio.sleep(0.01)
    await harness.play(f"""
        {cache} expect do rid={number:016x}
        {cache} send ok note=mem body=x
        client expect served {number}
    """)
    return cache


async def caches_used(harness, first, count=12):
    """Returns the caches that new reads go to. The client reconnects first: its connection may have timed out."""
    client = harness.actors["client"]
    await client.close()
    await trio.testing.wait_all_tasks_blocked()
    while client.observed.statistics().current_buffer_used:
        client.observed.receive_nowait()
    return {await place_request(harness, first + i) for i in range(count)}
