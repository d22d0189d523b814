"""Upgrades, maintenance orders and reloads with faults of the processes, checked against the cluster's record."""

import json
import resource
import signal

import trio

from rookbend.protocol.coordinator_stream import split_address
from rookbend.testing.cluster import open_cluster
from rookbend.testing.cluster.record import now_us
from rookbend.testing.invariant_events import MembershipSent, MemberStatus


def record_order(cluster, name, out):
    """Records that the order is in force now; the invariant checker treats it like a drain."""
    cluster.record.feed(MembershipSent(now_us(), "n0", name, MemberStatus.DRAINING if out else MemberStatus.SERVING))


async def set_maintenance(cluster, action, name, endpoint=None):
    newest = cluster.addresses["n0"]["operator"]
    cluster.addresses["n0"]["operator"] = endpoint or newest
    try:
        status, text = await cluster.operator_request("n0", "PUT", f"/maintenance/{action}?member={name}")
    finally:
        cluster.addresses["n0"]["operator"] = newest
    assert status == 200, text
    record_order(cluster, name, action == "enter")


async def wait_until_used_again(cluster, name):
    """Waits until the cache has answered a request that arrived after this call."""
    since = now_us()
    await cluster.wait_until(
        lambda: any(c.member == name and c.received_us > since for c in cluster.shared.sent_copies),
        f"{name} is used again",
    )


def test_maintenance_stays_in_force_before_during_and_after_an_upgrade_at_either_process():
    async def main():
        async with open_cluster(directors=1, caches=4, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            await cluster.wait_for_served(20)
            await set_maintenance(cluster, "enter", "c0")  # before the upgrade
            old_endpoint = cluster.addresses["n0"]["operator"]
            old = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            await set_maintenance(cluster, "enter", "c1", old_endpoint)  # during the upgrade, at the old process
            await set_maintenance(cluster, "enter", "c2")  # and at the new process
            await cluster.wait_for_served(30)
            await set_maintenance(cluster, "exit", "c1")  # cancelled at the process that did not get the order
            assert await cluster.stop_predecessor(old) == 0
            await cluster.wait_for_served(30)
            figures = await cluster.read_operator_metrics("n0")
            assert figures["svc.caches_excluded"] == 2 and figures["svc.caches_known"] == 4
            await set_maintenance(cluster, "exit", "c0")
            await wait_until_used_again(cluster, "c0")
            cluster.check_invariants()
            old = await cluster.upgrade("n0")  # c2 is still in maintenance
            await cluster.wait_until_accepting("n0")
            assert await cluster.stop_predecessor(old) == 0
            await cluster.wait_for_served(30)
            assert (await cluster.read_operator_metrics("n0"))["svc.caches_excluded"] == 1
            cluster.check_invariants()

    trio.run(main)


def test_with_no_space_in_tmpdir_an_order_is_still_obeyed_and_reaches_the_other_process():
    async def main():
        async with open_cluster(directors=1, caches=3, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            resource.prlimit(cluster.nodes["n0"].process.pid, resource.RLIMIT_FSIZE, (0, 0))
            old = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            old_endpoint = cluster.addresses["n0"]["operator"]
            await set_maintenance(cluster, "enter", "c0")
            await old.wait_for_log("exclusions_unwritten")
            assert await cluster.stop_predecessor(old) == 0
            await cluster.wait_for_served(30)
            assert (await cluster.read_operator_metrics("n0"))["svc.caches_excluded"] == 1 and old_endpoint
            cluster.check_invariants()

    trio.run(main)


def test_a_damaged_exclusions_file_is_logged_and_the_start_continues():
    async def main():
        async with open_cluster(directors=1, caches=3, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            (cluster.nodes["n0"].temporary / "rookbend.n0.kept").write_bytes(b"\0" * 100)
            old = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            assert cluster.nodes["n0"].find_logs("exclusions_unusable")
            assert await cluster.stop_predecessor(old) == 0
            await cluster.wait_for_served(20)
            cluster.check_invariants()

    trio.run(main)


def test_a_new_process_stopped_before_it_is_ready_costs_no_service():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            endpoint = cluster.addresses["n0"]["operator"]
            old = await cluster.upgrade("n0")
            new = cluster.nodes["n0"]
            while not old.find_logs("upgrade_asked"):
                await old.changed.wait()
            new.signal(signal.SIGSTOP)  # the new process has the listeners, and may serve already
            if not old.find_logs("upgrade_shared"):
                await cluster.wait_for_served(30)
            new.kill()
            await new.wait_for_exit()
            cluster.undo_upgrade("n0", old, endpoint)
            await cluster.wait_for_served(20)
            cluster.check_invariants()

    trio.run(main)


def test_an_old_process_that_freezes_while_both_serve_loses_only_its_open_requests():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            old = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            await cluster.wait_for_served(20)
            old.signal(signal.SIGSTOP)
            cluster.front.drop_connections("n0")  # a stopped process cannot answer its open requests in time
            await cluster.wait_for_served(20)
            old.kill()
            await old.wait_for_exit()
            await cluster.nodes["n0"].wait_for_log("upgrade_alone_again")
            await cluster.wait_for_served(20)
            cluster.check_invariants()

    trio.run(main)


def test_two_upgrades_within_ten_seconds_with_a_reload_between_them_lose_no_request():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            began = trio.current_time()
            first = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            cluster.change_settings = lambda s: {**s, "limits": {**s["limits"], "maxAttempts": 3}}
            second = cluster.nodes["n0"]
            for node in (first, second):
                config = cluster.config("n0")
                node.config_file.write_text(
                    json.dumps({**config, "operator": json.loads(node.config_file.read_text())["operator"]})
                )
                node.signal(signal.SIGHUP)
            for node in (first, second):
                assert "max_attempts" in (await node.wait_for_log("reloaded"))["changed"]
            first.signal(signal.SIGTERM)  # the next upgrade begins while this process ends
            await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            assert await cluster.stop_predecessor(second) == 0
            assert await first.wait_for_exit() == 0
            assert trio.current_time() - began < 10 or cluster.front.late_s > 0.5
            await cluster.wait_for_served(30)
            assert not [w for w in cluster.front.requests if "lost" in w.verdicts], cluster.report()
            cluster.check_invariants()

    trio.run(main)


def test_the_operator_endpoint_answers_within_a_second_with_hundreds_of_incomplete_requests_open():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            address = split_address(cluster.addresses["n0"]["operator"])
            streams = []
            for i in range(300):
                stream = await trio.open_tcp_stream(*address)
                if i % 3:
                    await stream.send_all(b"PUT /maintenance/enter?mem"[: i % 25])
                streams.append(stream)
                if i % 30 == 29:
                    began = trio.current_time()
                    assert (await cluster.operator_request("n0", "GET", "/status"))[0] == 200
                    # The endpoint has to answer within 1 s; the measured lateness allows for a busy machine.
                    assert trio.current_time() - began < 1.0 + cluster.front.late_s
            await cluster.wait_for_served(20)
            for stream in streams:
                await stream.aclose()
            cluster.check_invariants()

    trio.run(main)
