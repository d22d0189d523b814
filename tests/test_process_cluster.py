"""The test cluster of real processes: faults take effect and are recorded, and no process is left behind."""

import os
import subprocess
import sys
import textwrap
import time

import trio

from rookbend.testing.cluster import open_cluster
from rookbend.testing.cluster.process import HANG_TIMEOUT_S, SHIM, Node
from rookbend.testing.cluster.record import Record
from rookbend.testing.cluster.relay import Links, UdpRelay
from rookbend.testing.fault_timeline_format import format_faults, parse_faults


def test_a_power_loss_of_all_processes_during_writes_violates_no_invariant():
    async def main():
        async with open_cluster(directors=3, rate=60) as cluster:
            await cluster.start()
            await cluster.wait_until_admitted()
            await cluster.wait_until(lambda: len(cluster.shared.executions) > 5, "writes ran")
            await cluster.play("[failure dark]\n kind power\n part n0 n1 n2 c0 c1 c2 c3 p0\n at 0s\n for 200ms\n")
            for node in cluster.nodes.values():
                await node.wait_for_log("ready")
            assert all(node.start_count == 2 for node in cluster.nodes.values())
            ran = len(cluster.shared.executions)
            await cluster.wait_until(lambda: len(cluster.shared.executions) > ran + 5, "writes ran again")
            cluster.check_invariants()
            once = [rids for rids in cluster.shared.executions.values() if len(rids) != len(set(rids))]
            assert not once, f"writes that ran twice under one request id: {once}"

    trio.run(main)


async def wait_until_purged(cluster):
    """Waits until every director has received a purge, so that its stream is known to be up."""
    cluster.coordinator.purge(group=0)
    for name in cluster.names:
        with trio.fail_after(HANG_TIMEOUT_S):
            while "rookbend_purges_total 1.0" not in (await cluster.admin_request(name, "/metrics"))["text"]:
                await trio.sleep(0.02)


def test_a_cut_link_delivers_nothing_until_it_heals_and_a_frozen_director_resumes():
    async def main():
        async with open_cluster(directors=2, caches=2) as cluster:
            await cluster.start()
            await cluster.wait_until_admitted()
            await wait_until_purged(cluster)
            cluster.cut("coordinator", "n0")
            cluster.freeze("n1")
            cluster.members["c0"].draining = True
            cluster.coordinator.publish_members("c0")
            lost = await cluster.nodes["n0"].wait_for_log("coordinator_lost")
            assert lost["reason"] == "the stream is silent"
            assert not cluster.nodes["n1"].find_logs("coordinator_lost")
            cluster.heal("coordinator", "n0")
            calls = cluster.coordinator.calls["n0"]
            await cluster.wait_until(lambda: cluster.coordinator.calls["n0"] > calls, "n0 calls again")
            cluster.resume("n1")
            for name in cluster.names:
                assert (await cluster.admin_request(name, "/metrics"))["status"] == 200
            cluster.check_invariants()

    trio.run(main)


def test_datagrams_are_lost_duplicated_and_reordered():
    async def main():
        record, links = Record(), Links()
        sockets = {}
        for name in ("a", "b"):
            sockets[name] = sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
            await sock.bind(("127.0.0.1", 0))
        relay = UdpRelay(links, record, {n: s.getsockname()[:2] for n, s in sockets.items()}, 7)
        async with trio.open_nursery() as nursery:
            addresses = await relay.listen(nursery, lambda name: "127.0.0.1")
            host, _, port = addresses["b"].rpartition(":")
            links.get("a", "b").set(loss=0.3, duplicate=0.5, reorder=0.3)
            for i in range(200):
                await sockets["a"].sendto(bytes([i]), (host, int(port)))
                await trio.sleep(0.0005)
            while record.counts["datagram", "a"] < 200 or relay.delayed:
                await trio.sleep(0)
            links.get("a", "b").heal()
            await sockets["a"].sendto(b"end", (host, int(port)))
            got = []
            while not got or got[-1] != b"end":
                data, address = await sockets["b"].recvfrom(100)
                assert "{}:{}".format(*address) == addresses["a"], "the datagram comes from the sender's address"
                got.append(data)
            nursery.cancel_scope.cancel()
        numbers = [data[0] for data in got[:-1]]
        assert 100 < len(set(numbers)) < 180 and len(numbers) > len(set(numbers)) and numbers != sorted(numbers)
        assert record.counts["datagram", "a"] == 201

    trio.run(main)


def test_a_process_has_the_unix_clock_that_the_cluster_sets(tmp_path):
    node = Node("n0", tmp_path, Record())
    env = {**os.environ, "ROOKBEND_STAGE": str(tmp_path), "PYTHONPATH": str(SHIM)}
    asked = "import sys, time\nfor line in sys.stdin: print(time.time(), flush=True)"
    with subprocess.Popen(
        [sys.executable, "-c", asked], env=env, text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as child:

        def ahead():
            child.stdin.write("?\n")
            child.stdin.flush()
            return float(child.stdout.readline()) - time.time()

        assert abs(ahead()) < 5
        node.set_clock(600.0)
        assert 595 < ahead() < 605
        node.set_clock(-600.0)
        assert -605 < ahead() < -595
        child.stdin.close()


def test_no_director_outlives_a_cluster_process_that_is_killed(tmp_path):
    # A script file rather than -c; the directors are children of the process that is killed.
    script = tmp_path / "run.py"
    script.write_text(
        textwrap.dedent("""
        import trio
        from rookbend.testing.cluster import open_cluster
        async def main():
            async with open_cluster(directors=2, caches=1) as cluster:
                await cluster.start()
                await cluster.wait_until_admitted()
                print(*(n.process.pid for n in cluster.nodes.values()), flush=True)
                await trio.sleep_forever()
        trio.run(main)
    """)
    )
    with subprocess.Popen(
        [sys.executable, str(script)], text=True, stdout=subprocess.PIPE, env={**os.environ, "PYTHONPATH": os.getcwd()}
    ) as child:
        pids = [int(word) for word in child.stdout.readline().split()]
        watched = [os.pidfd_open(pid) for pid in pids]
        child.kill()

    async def ended():
        for fd in watched:
            await trio.lowlevel.wait_readable(fd)
            os.close(fd)

    trio.run(ended)
    assert len(pids) == 2


def test_clock_and_cut_between_faults_are_parsed_and_formatted_like_the_others():
    schedule = parse_faults(
        "[failure a]\n kind clock\n part n0\n at 1s\n by 10m\n back yes\n"
        "[failure b]\n kind cut-between\n part n0>n1\n at 2s\n for 1s\n",
        "day",
    )
    assert parse_faults(format_faults(schedule), "again") == tuple(
        type(f)(**{**{n: getattr(f, n) for n in f.__struct_fields__}, "place": g.place})
        for f, g in zip(schedule, parse_faults(format_faults(schedule), "again"), strict=True)
    )
    assert schedule[0].back and schedule[1].target_type == "pair"
