"""Names for writes through a power loss, with a process of the program."""

from dataclasses import replace

import trio

from rookbend.protocol.coordinator_stream import split_address
from rookbend.testing.cluster import stage
from rookbend.testing.cluster.dns_names import look_up, submit
from tests.recovery_scenes import RECOVERY, all_reach

DNS = """
[dns]
    listen   {dns}
    resolver {resolver}
"""


def short_writes(settings):
    """A write is in doubt for four deadlines after a start: 1.2 s."""
    settings["lanes"][0].update(aimUs=200_000, hardLimitUs=300_000)
    return settings


def test_a_lookup_for_a_write_gets_the_same_name_after_the_loss_and_never_runs_again():
    async def main():
        async with stage(directors=1, caches=2, operators=RECOVERY + DNS) as scene:
            scene.change = short_writes
            await scene.start()
            await scene.admitted()
            await all_reach(scene)
            server, number = split_address(scene.places["n0"]["dns"]), 1000

            async def again(number):
                return await look_up(
                    server, f"r{number:016x}.p0.{number:016x}.g{number % 256}" ".form.route.example.org"
                )

            async def new():
                nonlocal number
                number += 1
                return await submit(scene.record, "n0", server, number, 300_000)

            while (before := await new())[0] != "NOERROR":  # until the first four deadlines are over
                pass
            served = number
            assert before[1] == "records.example.org" and before[2]
            scene.origin.make = replace(scene.origin.make, first_s=0.25)  # the next is under way at the loss
            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, scene.record, "n0", server, 7, 300_000)
                await scene.until(lambda: f"{7:016x}" in scene.world.ran, "it runs")
                scene.power_off("n0")
                nursery.cancel_scope.cancel()
            await scene.power_on("n0")
            await all_reach(scene)
            assert await again(served) == before, "what was given out is given out again"
            scene.origin.make = replace(scene.origin.make, first_s=0.04)
            while (await new())[0] != "NOERROR":  # writes are taken again, and that one still is not
                pass
            assert (await again(7))[0] == "SERVFAIL", "whether it ran can't be told"
            assert [len(rids) for rids in scene.world.ran.values()] == [1] * len(scene.world.ran), "ran once each"
            scene.verdict()

    trio.run(main)
