"""Upgrades, bans and reloads with faults between the processes, judged by the stage's record."""

import json
import resource
import signal

import trio

from rookbend.protocol.coordinator_stream import split_address
from rookbend.testing.cluster import open_cluster
from rookbend.testing.cluster.record import now_us
from rookbend.testing.invariant_events import MembershipSent, MemberStatus


def record_order(cluster, name, out):
    """From here on the order binds the director: the checker judges it as it judges a drain."""
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
    """The caches' own copies of what they sent: one of that cache is newer than now."""
    since = now_us()
    await cluster.wait_until(
        lambda: any(c.member == name and c.received_us > since for c in cluster.shared.sent_copies),
        f"{name} is used again",
    )


def test_a_ban_holds_before_during_and_after_an_upgrade_whoever_was_told():
    async def main():
        async with open_cluster(directors=1, caches=4, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            await cluster.wait_for_served(20)
            await set_maintenance(cluster, "enter", "c0")  # before
            old_endpoint = cluster.addresses["n0"]["operator"]
            old = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            await set_maintenance(cluster, "enter", "c1", old_endpoint)  # during, at the old one's door
            await set_maintenance(cluster, "enter", "c2")  # and at the new one's
            await cluster.wait_for_served(30)
            await set_maintenance(cluster, "exit", "c1")  # undone at the other
            assert await cluster.stop_predecessor(old) == 0
            await cluster.wait_for_served(30)
            figures = await cluster.read_operator_metrics("n0")
            assert figures["svc.caches_excluded"] == 2 and figures["svc.caches_known"] == 4
            await set_maintenance(cluster, "exit", "c0")
            await wait_until_used_again(cluster, "c0")
            cluster.check_invariants()
            old = await cluster.upgrade("n0")  # c2 is still out
            await cluster.wait_until_accepting("n0")
            assert await cluster.stop_predecessor(old) == 0
            await cluster.wait_for_served(30)
            assert (await cluster.read_operator_metrics("n0"))["svc.caches_excluded"] == 1
            cluster.check_invariants()

    trio.run(main)


def test_with_no_room_in_tmpdir_an_order_still_binds_and_reaches_the_process_beside():
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


def test_a_spoilt_file_of_the_process_before_is_said_and_the_start_goes_on():
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


def test_a_next_process_that_stands_still_before_its_yes_takes_nothing_away():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            endpoint = cluster.addresses["n0"]["operator"]
            old = await cluster.upgrade("n0")
            new = cluster.nodes["n0"]
            while not old.find_logs("upgrade_asked"):
                await old.changed.wait()
            new.signal(signal.SIGSTOP)  # it has our listeners; it may have begun to serve or not
            if not old.find_logs("upgrade_shared"):
                await cluster.wait_for_served(30)
            new.kill()
            await new.wait_for_exit()
            cluster.undo_upgrade("n0", old, endpoint)
            await cluster.wait_for_served(20)
            cluster.check_invariants()

    trio.run(main)


def test_an_old_process_that_freezes_while_both_serve_costs_only_what_it_held():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            old = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            await cluster.wait_for_served(20)
            old.signal(signal.SIGSTOP)
            cluster.front.drop_connections("n0")  # what is open at a process that stands can't come in time
            await cluster.wait_for_served(20)
            old.kill()
            await old.wait_for_exit()
            await cluster.nodes["n0"].wait_for_log("upgrade_alone_again")
            await cluster.wait_for_served(20)
            cluster.check_invariants()

    trio.run(main)


def test_two_upgrades_within_ten_seconds_and_a_reload_in_the_middle():
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
            first.signal(signal.SIGTERM)  # not waited for: the next upgrade begins while it ends
            await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            assert await cluster.stop_predecessor(second) == 0
            assert await first.wait_for_exit() == 0
            assert trio.current_time() - began < 10 or cluster.front.late_s > 0.5
            await cluster.wait_for_served(30)
            assert not [w for w in cluster.front.requests if "lost" in w.verdicts], cluster.report()
            cluster.check_invariants()

    trio.run(main)


def test_the_door_answers_within_a_second_while_hundreds_of_half_calls_stand_there():
    async def main():
        async with open_cluster(directors=1, rate=40) as cluster:
            await cluster.start_with_operator_endpoints()
            address = split_address(cluster.addresses["n0"]["operator"])
            held = []
            for i in range(300):
                stream = await trio.open_tcp_stream(*address)
                if i % 3:
                    await stream.send_all(b"PUT /maintenance/enter?mem"[: i % 25])
                held.append(stream)
                if i % 30 == 29:
                    began = trio.current_time()
                    assert (await cluster.operator_request("n0", "GET", "/status"))[0] == 200
                    # Guards nothing by time but the promise itself, with room for a busy machine.
                    assert trio.current_time() - began < 1.0 + cluster.front.late_s
            await cluster.wait_for_served(20)
            for stream in held:
                await stream.aclose()
            cluster.check_invariants()

    trio.run(main)
