"""Scenarios of members' health: settings with checks, and where requests are placed."""

import copy

import trio
import trio.testing

from tests.director_scenario import SETTINGS, play, run_with_director

PROBING = copy.deepcopy(SETTINGS)
PROBING["limits"]["probes"] = True
TWO = "cache1", "cache2", "upper", "records"
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


def health(scenario, operators=AGENT, members=TWO, **options):
    return play(scenario, operators=operators, members=members, settings=PROBING, **options)


def on_health(steps, operators=AGENT, members=TWO, **options):
    return run_with_director(steps, operators=operators, members=members, settings=PROBING, **options)


async def placed(harness, number):
    """Sends a read and tells which caches hear it, having them answer."""
    await harness.play(f"client send request {number} video chunk={number}")
    heard = None
    with trio.fail_after(5):
        while heard is None:
            heard = next(
                (n for n in ("cache1", "cache2") if harness.actors[n].observed.statistics().current_buffer_used), None
            )
            await trio.sleep(0.01)
    await harness.play(f"""
        {heard} expect do rid={number:016x}
        {heard} send ok note=mem body=x
        client expect served {number}
    """)
    return heard


async def where(harness, first, count=12):
    """The caches that new reads go to, on a new connection: an old one may have idled out."""
    client = harness.actors["client"]
    await client.close()
    await trio.testing.wait_all_tasks_blocked()
    while client.observed.statistics().current_buffer_used:
        client.observed.receive_nowait()
    return {await placed(harness, first + i) for i in range(count)}
