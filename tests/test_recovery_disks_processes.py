"""Orders and boot numbers through lost, full and old disks, with several processes of the program."""

import pytest
import trio

from rookbend.testing.cluster import disk
from tests.recovery_scenes import all_reach, fleet, order_on, same_orders, told


def test_an_order_outlives_its_director_and_even_its_disk_and_is_refused_where_the_disk_is_full():
    async def main():
        async with fleet(rate=0) as scene:
            await all_reach(scene)
            order = {"member": "c1", "order": "drain", "by": "kim"}
            assert (await scene.ask("n0", "/orders", "POST", order))["status"] == 200
            await same_orders(scene, "n0")
            for lose_disk in (False, True):
                scene.power_off("n0")
                await scene.nodes["n0"].ended()
                if lose_disk:
                    disk.copy(scene.nodes["n0"].state, scene.folder / "lost")
                    for left in scene.nodes["n0"].state.iterdir():
                        left.unlink()
                await scene.power_on("n0")
                await all_reach(scene, names=["n0"])
                await scene.until_told("n0", "/members", lambda found: order_on(found, "c1") == "drain")
            raised = await scene.nodes["n0"].said("boot_raised")
            assert raised["boot"] == 3, "above the number that the peers knew"
            scene.nodes["n0"].set_disk("full")
            found = await scene.ask("n0", "/orders", "POST", {"member": "c2", "order": "drain", "by": "kim"})
            assert found["status"] == 503 and "not durable: disk full" in found["fault"]
            assert order_on(await scene.ask("n0", "/members"), "c2") == "ready"
            assert (await scene.nodes["n0"].said("state_degraded"))["reason"] == "disk full"
            scene.nodes["n0"].set_disk()
            await scene.nodes["n0"].said("state_well")
            assert (await scene.ask("n0", "/orders", "POST", {"member": "c2", "order": "drain"}))["status"] == 200

    trio.run(main)


@pytest.mark.long
def test_last_weeks_disk_moves_nothing_back_and_its_owner_takes_a_higher_number():
    async def main():
        async with fleet(rate=0, directors=4) as scene:
            await all_reach(scene)
            node = scene.nodes["n1"]
            await scene.ask("n1", "/orders", "POST", {"member": "c1", "order": "drain", "by": "kim"})
            scene.power_off("n1")
            await node.ended()
            disk.lose(node.state)
            disk.copy(node.state, scene.folder / "backup")
            for word in ("ready", "maintain"):
                scene.power_off("n1")
                await scene.power_on("n1")
                await all_reach(scene, names=["n1"])
                await scene.ask("n1", "/orders", "POST", {"member": "c1", "order": word, "by": "kim"})
            await same_orders(scene, "n1")
            boot = told(scene, "n1", "state_open")[0]["boot"]
            scene.power_off("n1")
            await node.ended()
            disk.copy(scene.folder / "backup", node.state)
            await scene.power_on("n1")
            assert told(scene, "n1", "state_open") or await node.said("state_open")
            assert told(scene, "n1", "state_open")[0]["boot"] < boot
            assert (await node.said("boot_raised"))["boot"] == boot + 1
            await all_reach(scene, names=["n1"])
            # Its newest order comes back from the others, not the backup's.
            await scene.until_told("n1", "/members", lambda found: order_on(found, "c1") == "maintain")
            for name in ("n0", "n2", "n3"):
                await scene.until_told(
                    name,
                    "/fleet",
                    lambda found: (found["directors"][1]["boot"] == boot + 1 and not found["directors"][1]["doubted"]),
                )

    trio.run(main)
