"""Boot numbers across interrupted starts: a director sends a boot number only once it is on its disk."""

import random

import pytest
import trio

from rookbend.testing.cluster.process import IN_SYNC
from rookbend.testing.cluster.record import now_us
from tests.recovery_clusters import fleet, wait_until_all_reach

LONGEST_START_S = 1.0


def sent_since(cluster, name, since_us):
    """Returns the datagrams that a director sent and the TCP connections that it opened since then."""
    return [
        row
        for row in cluster.record.rows
        if row[0] >= since_us
        and (row[1:3] == ("datagram", name) or (row[1] == "call" and row[2].startswith(f"{name}>")))
    ]


async def known_boot_number(cluster, director, number):
    return (await cluster.admin_request(director, "/fleet"))["directors"][number]["boot"]


def test_a_start_interrupted_in_the_sync_of_its_boot_number_has_sent_nothing_and_is_not_counted():
    # Guards against a boot number that is sent before it is durable: two starts would share it.
    async def main():
        async with fleet(rate=20) as cluster:
            node = cluster.nodes["n1"]
            await node.wait_for_log("state_open", boot=1)
            cluster.power_off("n1")
            await node.wait_for_exit()
            node.stop_at(IN_SYNC)
            since = now_us()
            await cluster.power_on("n1")
            await node.wait_until_stopped()
            await cluster.wait_for_served(10)  # the other directors serve meanwhile
            assert not node.find_logs("state_open") and not sent_since(cluster, "n1", since)
            cluster.power_off("n1")
            await node.wait_for_exit()
            node.stop_at()
            await cluster.power_on("n1")
            assert (await node.wait_for_log("state_open"))["boot"] == 2
            await wait_until_all_reach(cluster, names=["n1"])
            assert sent_since(cluster, "n1", since) and await known_boot_number(cluster, "n0", 1) == 2

    trio.run(main)


@pytest.mark.parametrize("seed, interruptions", [(1, 8), pytest.param(2, 60, marks=pytest.mark.long)])
def test_a_start_interrupted_at_any_time_leaves_no_boot_number_that_a_later_start_reuses(seed, interruptions):
    # Guards against a director that restarts with a boot number that its peers know from an earlier start.
    async def main():
        rng = random.Random(seed)
        async with fleet(rate=20, seed=seed) as cluster:
            node = cluster.nodes["n1"]
            for _ in range(interruptions):
                cluster.power_off("n1")
                await cluster.power_on("n1")
                await trio.sleep(rng.uniform(0, LONGEST_START_S))
                cluster.power_off("n1")
                await node.wait_for_exit()
                announced = [line["boot"] for line in node.find_logs("state_open")]
                known_to_peers = [await known_boot_number(cluster, peer, 1) for peer in ("n0", "n2")]
                await cluster.power_on("n1")
                assert (await node.wait_for_log("state_open"))["boot"] > max(announced + known_to_peers)

    trio.run(main)
