"""A director's state folder, with directors as processes."""

import trio

from rookbend.testing.cluster import disk as faults
from rookbend.testing.cluster import open_cluster

STATE = "[state]\n folder {state}\n fleet f1\n"


def test_a_director_refuses_the_state_folder_of_another_with_one_line_and_exit_code_2():
    async def main():
        async with open_cluster(directors=2, caches=1, operators=STATE) as cluster:
            await cluster.start()
            await cluster.wait_until_admitted()
            assert [cluster.nodes[n].find_logs("state_open")[0]["boot"] for n in cluster.names] == [1, 1]
            cluster.power_off("n0", "n1")
            for node in cluster.nodes.values():
                await node.wait_for_exit()
            faults.copy_folder(cluster.nodes["n0"].state, cluster.nodes["n1"].state)
            await cluster.start()
            assert await cluster.nodes["n1"].wait_for_exit() == 2
            raw = cluster.nodes["n1"].find_logs("raw")
            assert len(raw) == 1 and "is of director 'n0', not 'n1'" in raw[0]["text"]
            assert (await cluster.nodes["n0"].wait_for_log("state_open"))["boot"] == 2
            faults.corrupt_database(cluster.nodes["n1"].state)
            await cluster.start("n1")
            assert "damaged-1" in (await cluster.nodes["n1"].wait_for_log("state_damaged"))["moved"]
            await cluster.wait_until_admitted()

    trio.run(main)
