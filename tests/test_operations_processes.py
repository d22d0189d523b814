"""Two processes of one director: nothing is lost at the door, whichever of the two ends, and however."""

import signal

import trio

from rookbend.testing.cluster import open_cluster


def lost(cluster):
    return [w for w in cluster.front.requests if "lost" in w.verdicts]


def test_upgrades_under_load_lose_nothing_and_break_no_rule():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            inherited = True
            for _ in range(3):
                await cluster.wait_for_served(20)
                old = await cluster.upgrade("n0")
                await cluster.wait_until_accepting("n0")
                # A machine too busy for the old one to answer within seconds has the new one start by itself.
                inherited &= bool(cluster.nodes["n0"].find_logs("upgrade_inherited"))
                await cluster.wait_for_served(20)
                assert await cluster.stop_predecessor(old) == 0
                if inherited:
                    await cluster.nodes["n0"].wait_for_log("upgrade_alone_again")
            await cluster.wait_for_served(20)
            assert not (inherited and lost(cluster)), cluster.report()
            cluster.check_invariants()

    trio.run(main)


def test_a_next_process_that_dies_before_or_after_its_yes_leaves_the_old_one_in_full_service():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            for yes in (False, True):
                endpoint = cluster.addresses["n0"]["operator"]
                old = await cluster.upgrade("n0")
                new = cluster.nodes["n0"]
                if yes:
                    await cluster.wait_until_accepting("n0")
                else:
                    await new.wait_for_log("upgrade_inherited")
                new.kill()
                await new.wait_for_exit()
                cluster.undo_upgrade("n0", old, endpoint)
                await cluster.wait_for_served(20)
                assert (await cluster.operator_request("n0", "GET", "/status"))[0] == 200
            old = await cluster.upgrade("n0")  # and the next one finds it as before
            await cluster.wait_until_accepting("n0")
            assert await cluster.stop_predecessor(old) == 0
            await cluster.wait_for_served(20)
            cluster.check_invariants()

    trio.run(main)


def test_an_old_process_that_stands_still_is_replaced_all_the_same():
    async def main():
        async with open_cluster(directors=1, rate=0) as cluster:
            await cluster.start_with_operator_endpoints()
            cluster.nodes["n0"].signal(signal.SIGSTOP)
            old = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            assert cluster.nodes["n0"].find_logs("upgrade_alone")[0]["reason"] == "it stands still"
            # It wakes up, finds that it was asked, and must not take back what the new one stands for.
            old.signal(signal.SIGCONT)
            await old.wait_for_log("upgrade_ended")
            assert await cluster.stop_predecessor(old) == 0
            assert (await cluster.operator_request("n0", "GET", "/status"))[0] == 200
            second = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            assert cluster.nodes["n0"].find_logs("upgrade_inherited"), cluster.report()
            assert await cluster.stop_predecessor(second) == 0

    trio.run(main)


def test_two_directors_at_one_address_by_mistake_are_still_found():
    async def main():
        async with open_cluster(directors=2, rate=0) as cluster:
            cluster.operator_endpoints = True
            await cluster.start("n0")
            await cluster.nodes["n0"].wait_for_log("ready")
            cluster.addresses["n1"]["listen"] = cluster.addresses["n0"]["listen"]
            await cluster.start("n1")
            assert await cluster.nodes["n1"].wait_for_exit() == 1

    trio.run(main)
