"""The folder of a director's state, with processes of the program."""

import trio

from rookbend.testing.cluster import disk as faults
from rookbend.testing.cluster import stage

STATE = "[state]\n folder {state}\n fleet f1\n"


def test_a_director_refuses_a_folder_that_is_not_its_own_in_one_line_and_exit_2():
    async def main():
        async with stage(directors=2, caches=1, operators=STATE) as scene:
            await scene.start()
            await scene.admitted()
            assert [scene.nodes[n].heard("state_open")[0]["boot"] for n in scene.names] == [1, 1]
            scene.power_off("n0", "n1")
            for node in scene.nodes.values():
                await node.ended()
            faults.copy(scene.nodes["n0"].state, scene.nodes["n1"].state)
            await scene.start()
            assert await scene.nodes["n1"].ended() == 2
            raw = scene.nodes["n1"].heard("raw")
            assert len(raw) == 1 and "is of director 'n0', not 'n1'" in raw[0]["text"]
            assert (await scene.nodes["n0"].said("state_open"))["boot"] == 2
            faults.spoil(scene.nodes["n1"].state)
            await scene.start("n1")
            assert "damaged-1" in (await scene.nodes["n1"].said("state_damaged"))["moved"]
            await scene.admitted()

    trio.run(main)
