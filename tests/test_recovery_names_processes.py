"""Names given out for writes before and after a power loss, with a director as a process."""

from dataclasses import replace

import trio

from rookbend.protocol.coordinator_stream import split_address
from rookbend.testing.cluster import open_cluster
from rookbend.testing.cluster.dns_names import look_up, submit
from tests.recovery_clusters import RECOVERY, wait_until_all_reach

DNS = """
[dns]
    listen   {dns}
    resolver {resolver}
"""


def short_writes(settings):
    """Shortens the deadline: a write is in doubt for four deadlines after a start, here 1.2 s."""
    settings["lanes"][0].update(aimUs=200_000, hardLimitUs=300_000)
    return settings


def test_a_lookup_for_a_write_gets_the_same_name_after_a_power_loss_and_the_write_runs_once():
    async def main():
        async with open_cluster(directors=1, caches=2, operators=RECOVERY + DNS) as cluster:
            cluster.change_settings = short_writes
            await cluster.start()
            await cluster.wait_until_admitted()
            await wait_until_all_reach(cluster)
            server, number = split_address(cluster.addresses["n0"]["dns"]), 1000

            async def look_up_again(number):
                return await look_up(
                    server, f"r{number:016x}.p0.{number:016x}.g{number % 256}" ".form.route.example.org"
                )

            async def submit_next():
                nonlocal number
                number += 1
                return await submit(cluster.record, "n0", server, number, 300_000)

            while (before := await submit_next())[0] != "NOERROR":  # until four deadlines have passed since the start
                pass
            served = number
            assert before[1] == "records.example.org" and before[2]
            # The next write is in progress at the loss.
            cluster.origin.profile = replace(cluster.origin.profile, first_byte_s=0.25)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, cluster.record, "n0", server, 7, 300_000)
                await cluster.wait_until(lambda: f"{7:016x}" in cluster.shared.executions, "the write runs")
                cluster.power_off("n0")
                nursery.cancel_scope.cancel()
            await cluster.power_on("n0")
            await wait_until_all_reach(cluster)
            assert await look_up_again(served) == before, "the name given out before is given out again"
            cluster.origin.profile = replace(cluster.origin.profile, first_byte_s=0.04)
            while (await submit_next())[0] != "NOERROR":  # writes are accepted again, but not the interrupted one
                pass
            assert (await look_up_again(7))[0] == "SERVFAIL", "it is unknown whether the write ran"
            assert [len(rids) for rids in cluster.shared.executions.values()] == [1] * len(
                cluster.shared.executions
            ), "each write ran once"
            cluster.check_invariants()

    trio.run(main)
