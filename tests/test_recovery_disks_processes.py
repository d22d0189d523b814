"""Orders and boot numbers with lost, full and outdated disks, with several directors as processes."""

import pytest
import trio

from rookbend.testing.cluster import disk
from tests.recovery_clusters import fleet, logged, order_of_member, wait_until_all_reach, wait_until_orders_replicated


def test_an_order_survives_a_restart_and_a_lost_disk_and_is_refused_when_the_disk_is_full():
    async def main():
        async with fleet(rate=0) as cluster:
            await wait_until_all_reach(cluster)
            order = {"member": "c1", "order": "drain", "by": "kim"}
            assert (await cluster.admin_request("n0", "/orders", "POST", order))["status"] == 200
            await wait_until_orders_replicated(cluster, "n0")
            for lose_disk in (False, True):
                cluster.power_off("n0")
                await cluster.nodes["n0"].wait_for_exit()
                if lose_disk:
                    disk.copy_folder(cluster.nodes["n0"].state, cluster.folder / "lost")
                    for file in cluster.nodes["n0"].state.iterdir():
                        file.unlink()
                await cluster.power_on("n0")
                await wait_until_all_reach(cluster, names=["n0"])
                await cluster.wait_for_answer("n0", "/members", lambda found: order_of_member(found, "c1") == "drain")
            raised = await cluster.nodes["n0"].wait_for_log("boot_raised")
            assert raised["boot"] == 3, "the boot number is above the one that the peers knew"
            cluster.nodes["n0"].set_disk("full")
            found = await cluster.admin_request(
                "n0", "/orders", "POST", {"member": "c2", "order": "drain", "by": "kim"}
            )
            assert found["status"] == 503 and "not durable: disk full" in found["fault"]
            assert order_of_member(await cluster.admin_request("n0", "/members"), "c2") == "ready"
            assert (await cluster.nodes["n0"].wait_for_log("state_degraded"))["reason"] == "disk full"
            cluster.nodes["n0"].set_disk()
            await cluster.nodes["n0"].wait_for_log("state_well")
            assert (await cluster.admin_request("n0", "/orders", "POST", {"member": "c2", "order": "drain"}))[
                "status"
            ] == 200

    trio.run(main)


@pytest.mark.long
def test_a_restored_backup_reverts_no_order_and_its_director_takes_a_higher_boot_number():
    async def main():
        async with fleet(rate=0, directors=4) as cluster:
            await wait_until_all_reach(cluster)
            node = cluster.nodes["n1"]
            await cluster.admin_request("n1", "/orders", "POST", {"member": "c1", "order": "drain", "by": "kim"})
            cluster.power_off("n1")
            await node.wait_for_exit()
            disk.discard_unsynced(node.state)
            disk.copy_folder(node.state, cluster.folder / "backup")
            for word in ("ready", "maintain"):
                cluster.power_off("n1")
                await cluster.power_on("n1")
                await wait_until_all_reach(cluster, names=["n1"])
                await cluster.admin_request("n1", "/orders", "POST", {"member": "c1", "order": word, "by": "kim"})
            await wait_until_orders_replicated(cluster, "n1")
            boot = logged(cluster, "n1", "state_open")[0]["boot"]
            cluster.power_off("n1")
            await node.wait_for_exit()
            disk.copy_folder(cluster.folder / "backup", node.state)
            await cluster.power_on("n1")
            assert logged(cluster, "n1", "state_open") or await node.wait_for_log("state_open")
            assert logged(cluster, "n1", "state_open")[0]["boot"] < boot
            assert (await node.wait_for_log("boot_raised"))["boot"] == boot + 1
            await wait_until_all_reach(cluster, names=["n1"])
            # The newest order comes back from the peers instead of the one in the backup.
            await cluster.wait_for_answer("n1", "/members", lambda found: order_of_member(found, "c1") == "maintain")
            for name in ("n0", "n2", "n3"):
                await cluster.wait_for_answer(
                    name,
                    "/fleet",
                    lambda found: (found["directors"][1]["boot"] == boot + 1 and not found["directors"][1]["doubted"]),
                )

    trio.run(main)
