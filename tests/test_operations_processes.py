"""Two processes of one director during an upgrade: no request is lost, whichever process ends and however it ends."""

import signal

import trio

from rookbend.testing.cluster import open_cluster


def lost_requests(cluster):
    return [w for w in cluster.front.requests if "lost" in w.verdicts]


def test_upgrades_under_load_lose_no_request_and_violate_no_invariant():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            inherited = True
            for _ in range(3):
                await cluster.wait_for_served(20)
                old = await cluster.upgrade("n0")
                await cluster.wait_until_accepting("n0")
                # On a very busy machine the old process may not answer in time; the new one then starts without it.
                inherited &= bool(cluster.nodes["n0"].find_logs("upgrade_inherited"))
                await cluster.wait_for_served(20)
                assert await cluster.stop_predecessor(old) == 0
                if inherited:
                    await cluster.nodes["n0"].wait_for_log("upgrade_alone_again")
            await cluster.wait_for_served(20)
            assert not (inherited and lost_requests(cluster)), cluster.report()
            cluster.check_invariants()

    trio.run(main)


def test_a_new_process_that_dies_before_or_after_it_is_ready_leaves_the_old_one_serving():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            for ready in (False, True):
                endpoint = cluster.addresses["n0"]["operator"]
                old = await cluster.upgrade("n0")
                new = cluster.nodes["n0"]
                if ready:
                    await cluster.wait_until_accepting("n0")
                else:
                    await new.wait_for_log("upgrade_inherited")
                new.kill()
                await new.wait_for_exit()
                cluster.undo_upgrade("n0", old, endpoint)
                await cluster.wait_for_served(20)
                assert (await cluster.operator_request("n0", "GET", "/status"))[0] == 200
            old = await cluster.upgrade("n0")  # the next upgrade works as usual
            await cluster.wait_until_accepting("n0")
            assert await cluster.stop_predecessor(old) == 0
            await cluster.wait_for_served(20)
            cluster.check_invariants()

    trio.run(main)


def test_a_stopped_old_process_is_still_replaced():
    async def main():
        async with open_cluster(directors=1, rate=0) as cluster:
            await cluster.start_with_operator_endpoints()
            cluster.nodes["n0"].signal(signal.SIGSTOP)
            old = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            assert cluster.nodes["n0"].find_logs("upgrade_alone")[0]["reason"] == "it stands still"
            # The old process resumes, reads the upgrade request and must not take back what the new process now owns.
            old.signal(signal.SIGCONT)
            await old.wait_for_log("upgrade_ended")
            assert await cluster.stop_predecessor(old) == 0
            assert (await cluster.operator_request("n0", "GET", "/status"))[0] == 200
            second = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            assert cluster.nodes["n0"].find_logs("upgrade_inherited"), cluster.report()
            assert await cluster.stop_predecessor(second) == 0

    trio.run(main)


def test_a_second_director_configured_with_the_same_address_exits_with_1():
    async def main():
        async with open_cluster(directors=2, rate=0) as cluster:
            cluster.operator_endpoints = True
            await cluster.start("n0")
            await cluster.nodes["n0"].wait_for_log("ready")
            cluster.addresses["n1"]["listen"] = cluster.addresses["n0"]["listen"]
            await cluster.start("n1")
            assert await cluster.nodes["n1"].wait_for_exit() == 1

    trio.run(main)
