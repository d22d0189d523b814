"""Two processes of one director: nothing is lost at the door, whichever of the two ends, and however."""

import signal

import trio

from rookbend.testing.cluster import stage


def lost(scene):
    return [w for w in scene.front.wishes if "lost" in w.verdicts]


def test_upgrades_under_load_lose_nothing_and_break_no_rule():
    async def main():
        async with stage(directors=1, rate=40) as scene:
            await scene.serve_with_doors()
            inherited = True
            for _ in range(3):
                await scene.served_more(20)
                old = await scene.upgrade("n0")
                await scene.until_yes("n0")
                # A machine too busy for the old one to answer within seconds has the new one start by itself.
                inherited &= bool(scene.nodes["n0"].heard("upgrade_inherited"))
                await scene.served_more(20)
                assert await scene.retire(old) == 0
                if inherited:
                    await scene.nodes["n0"].said("upgrade_alone_again")
            await scene.served_more(20)
            assert not (inherited and lost(scene)), scene.report()
            scene.verdict()

    trio.run(main)


def test_a_next_process_that_dies_before_or_after_its_yes_leaves_the_old_one_in_full_service():
    async def main():
        async with stage(directors=1, rate=40) as scene:
            await scene.serve_with_doors()
            for yes in (False, True):
                door = scene.places["n0"]["operator"]
                old = await scene.upgrade("n0")
                new = scene.nodes["n0"]
                if yes:
                    await scene.until_yes("n0")
                else:
                    await new.said("upgrade_inherited")
                new.kill()
                await new.ended()
                scene.undo_upgrade("n0", old, door)
                await scene.served_more(20)
                assert (await scene.call("n0", "GET", "/status"))[0] == 200
            old = await scene.upgrade("n0")  # and the next one finds it as before
            await scene.until_yes("n0")
            assert await scene.retire(old) == 0
            await scene.served_more(20)
            scene.verdict()

    trio.run(main)


def test_an_old_process_that_stands_still_is_replaced_all_the_same():
    async def main():
        async with stage(directors=1, rate=0) as scene:
            await scene.serve_with_doors()
            scene.nodes["n0"].signal(signal.SIGSTOP)
            old = await scene.upgrade("n0")
            await scene.until_yes("n0")
            assert scene.nodes["n0"].heard("upgrade_alone")[0]["reason"] == "it stands still"
            # It wakes up, finds that it was asked, and must not take back what the new one stands for.
            old.signal(signal.SIGCONT)
            await old.said("upgrade_ended")
            assert await scene.retire(old) == 0
            assert (await scene.call("n0", "GET", "/status"))[0] == 200
            second = await scene.upgrade("n0")
            await scene.until_yes("n0")
            assert scene.nodes["n0"].heard("upgrade_inherited"), scene.report()
            assert await scene.retire(second) == 0

    trio.run(main)


def test_two_directors_at_one_address_by_mistake_are_still_found():
    async def main():
        async with stage(directors=2, rate=0) as scene:
            scene.doors = True
            await scene.start("n0")
            await scene.nodes["n0"].said("ready")
            scene.places["n1"]["listen"] = scene.places["n0"]["listen"]
            await scene.start("n1")
            assert await scene.nodes["n1"].ended() == 1

    trio.run(main)
