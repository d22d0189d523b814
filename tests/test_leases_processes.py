"""One owner at a time despite faults. Assertions are on what the stand-ins received; time-outs only end a hung test."""

import json
import signal
from contextlib import asynccontextmanager

import pytest
import trio

from rookbend.testing.cluster import allow_probes, open_cluster
from rookbend.testing.cluster.director_config import OWNERSHIP_SETTINGS
from rookbend.testing.cluster.process import AFTER_SEND, BEFORE_SEND, IN_SYNC


@asynccontextmanager
async def fleet(directors=4, rate=0.0, operators=OWNERSHIP_SETTINGS, **more):
    async with open_cluster(directors, caches=3, rate=rate, operators=operators, **more) as cluster:
        cluster.change_settings = allow_probes
        await cluster.start()
        for name in cluster.names:
            await cluster.nodes[name].wait_for_log("ready")
        await wait_for_owner(cluster, "orders")
        yield cluster
        cluster.front.running.cancel()
        cluster.check_invariants()
        assert_tokens_never_decrease_and_lines_are_unique(cluster)


def assert_tokens_never_decrease_and_lines_are_unique(cluster):
    accepted = [t for t in cluster.ledger.appends if t.result == "ok"]
    assert [t.token for t in accepted] == sorted(t.token for t in accepted)
    assert len({t.number for t in accepted}) == len(accepted)


async def wait_for_owner(cluster, scope, excluded=()):
    while True:
        for name in cluster.names:
            if name in excluded or not cluster.nodes[name].running:
                continue
            with trio.move_on_after(1.0):
                try:
                    found = await cluster.admin_request(name, "/owners")
                except (OSError, trio.BrokenResourceError):
                    continue
                if any(r["ours"] and r["scope"] == scope for r in found["owners"]):
                    return name
        await trio.sleep(0.02)


async def with_timeout(function, *args):
    with trio.fail_after(60):
        return await function(*args)


def state_of(found, member):
    return next(row["state"] for row in found["members"] if row["member"] == member)


async def wait_until_all_know(cluster, member, states, names=None):
    for name in names or cluster.names:
        await cluster.wait_for_answer(name, "/members", lambda found: state_of(found, member) in states)


async def wait_for_next_token(cluster, old):
    """Waits for an accepted line with a token above all tokens seen so far, those of `old` included."""
    highest = max(t.token for t in cluster.ledger.appends) if cluster.ledger.appends else 0
    await cluster.wait_until(
        lambda: any(t.result == "ok" and t.token > highest for t in cluster.ledger.appends), f"a line not by {old}"
    )


@pytest.mark.parametrize(
    "stop_point",
    [BEFORE_SEND, pytest.param(AFTER_SEND, marks=pytest.mark.long), pytest.param(IN_SYNC, marks=pytest.mark.long)],
)
def test_an_owner_stopped_during_its_work_resumes_late_and_changes_nothing(stop_point):
    async def main():
        async with fleet() as cluster:
            await cluster.wait_until(lambda: any(t.result == "ok" for t in cluster.ledger.appends), "a line")
            old = await with_timeout(wait_for_owner, cluster, "report")
            node = cluster.nodes[old]
            node.stop_at(stop_point)
            if stop_point == IN_SYNC:
                with trio.move_on_after(1.0):  # causes a sync of the disk
                    await cluster.admin_request(old, "/orders", "POST", {"member": "c1", "order": "drain", "by": "kim"})
            await node.wait_until_stopped()
            await wait_for_next_token(cluster, old)
            new = await with_timeout(wait_for_owner, cluster, "report", (old,))
            node.stop_at()
            cluster.resume(old)
            await node.wait_for_log("lease_lost", scope="report")
            if stop_point == BEFORE_SEND:
                # The line was checked before the stop and sent after it, so the ledger has to refuse it.
                await cluster.wait_until(lambda: any(t.result == "old" for t in cluster.ledger.appends), "an old token")
            before = len(cluster.ledger.appends)
            await cluster.wait_until(lambda: len(cluster.ledger.appends) >= before + 2, "lines go on")
            assert new != old

    trio.run(main)


def test_one_owner_checks_each_member_and_all_directors_learn_the_result_after_an_owner_is_lost():
    async def main():
        async with fleet() as cluster:
            await wait_until_all_know(cluster, "c0", ("ready", "degraded"))
            cluster.members["c0"].unhealthy = True
            await wait_until_all_know(cluster, "c0", ("down",))
            # Four independent directors would each check a member; with owners only one does. A shard may move meanwhile.
            before, n = cluster.members["c1"].checks, cluster.members["p0"].checks
            await cluster.wait_until(lambda: cluster.members["p0"].checks >= n + 4, "checks of p0")
            assert cluster.members["c1"].checks - before <= 2 * 4 + 4
            first = await with_timeout(wait_for_owner, cluster, "orders")
            cluster.power_off(first)
            remaining = [name for name in cluster.names if name != first]
            cluster.members["c0"].unhealthy = False
            await wait_until_all_know(cluster, "c0", ("ready", "degraded"), remaining)
            cluster.members["c2"].unhealthy = True
            await wait_until_all_know(cluster, "c2", ("down",), remaining)
            # A drain in the membership overrides what an owner reports.
            cluster.members["c1"].draining = True
            cluster.coordinator.publish_members("c1")
            await wait_until_all_know(cluster, "c1", ("draining",), remaining)
            await cluster.power_on(first)

    trio.run(main)


def test_a_fleet_order_survives_the_loss_of_its_writer_of_a_disk_and_of_all_power():
    async def main():
        async with fleet() as cluster:
            writer = await with_timeout(wait_for_owner, cluster, "orders")
            other = next(name for name in cluster.names if name != writer)
            order = {"member": "c1", "order": "maintain", "by": "kim", "fleet": True}
            assert (await cluster.admin_request(other, "/orders", "POST", order))["status"] == 200
            cluster.power_off(writer)
            await wait_until_all_know(cluster, "c1", ("maintenance",), [n for n in cluster.names if n != writer])
            await cluster.nodes[writer].wait_for_exit()
            for file in cluster.nodes[writer].state.iterdir():
                file.unlink()
            await cluster.power_on(writer)
            await wait_until_all_know(cluster, "c1", ("maintenance",))
            tokens = {r["scope"]: r["token"] for r in (await cluster.admin_request(other, "/owners"))["owners"]}
            cluster.power_off()
            await cluster.power_on()
            await with_timeout(wait_for_owner, cluster, "orders")
            await wait_until_all_know(cluster, "c1", ("maintenance",))
            new = await with_timeout(wait_for_owner, cluster, "orders")
            found = await cluster.admin_request(new, "/owners")
            for row in found["owners"]:
                if row["ours"]:
                    assert row["token"] > tokens[row["scope"]], "tokens grow across a loss of all power"
            assert found["orders"]["in_effect"] >= 1

    trio.run(main)


@pytest.mark.long
def test_with_voters_split_two_and_three_the_side_without_a_majority_owns_nothing():
    async def main():
        operators = OWNERSHIP_SETTINGS.replace("voters        0 1 2", "voters        0 1 2 3 4")
        async with fleet(directors=5, operators=operators) as cluster:
            small, large = ("n0", "n1"), ("n2", "n3", "n4")
            for turn in ((small, large), (("n2", "n3"), ("n0", "n1", "n4"))):
                minority, majority = turn
                cluster.split(minority, majority)
                for name in minority:
                    await cluster.wait_for_answer(name, "/owners", lambda t: not any(r["ours"] for r in t["owners"]))
                owner = await with_timeout(wait_for_owner, cluster, "orders", minority)
                assert owner in majority
                refused = await cluster.admin_request(
                    minority[0], "/orders", "POST", {"member": "c0", "order": "drain", "by": "kim", "fleet": True}
                )
                assert refused["status"] == 503 and ("owns" in refused["fault"] or "can't be told" in refused["fault"])
                cluster.split(minority, majority, cut=False)
            assert (await cluster.admin_request("n0", "/owners"))["status"] == 200

    trio.run(main)


def test_sigterm_hands_over_and_a_reload_of_some_voters_makes_no_second_owner():
    async def main():
        async with fleet(directors=5) as cluster:
            owner = await with_timeout(wait_for_owner, cluster, "orders")
            cluster.nodes[owner].signal(signal.SIGTERM)
            lost = await cluster.nodes[owner].wait_for_log("lease_lost", scope="orders")
            assert lost["why"].startswith("handed to")
            successor = "n" + lost["why"].split()[-1]
            await cluster.nodes[successor].wait_for_log("lease_acquired", scope="orders")
            assert await cluster.nodes[owner].wait_for_exit() == 0
            await cluster.power_on(owner)
            await cluster.nodes[owner].wait_for_log("ready")
            for name in cluster.names[:3]:
                node = cluster.nodes[name]
                node.settings_file.write_text(cluster.settings_text(name).replace("0 1 2", "2 3 4"))
                node.signal(signal.SIGHUP)
                await node.wait_for_log("lease_voters_changed")
            await cluster.wait_for_answer("n0", "/owners", lambda found: found["voters_differ"] == [3, 4])
            holders = [
                name
                for name in cluster.names
                if any(
                    r["ours"] and r["scope"] == "orders"
                    for r in (await cluster.admin_request(name, "/owners"))["owners"]
                )
            ]
            assert len(holders) <= 1
            for name in cluster.names[3:]:
                node = cluster.nodes[name]
                node.settings_file.write_text(cluster.settings_text(name).replace("0 1 2", "2 3 4"))
                node.signal(signal.SIGHUP)
            for name in cluster.names:
                await cluster.wait_for_answer(name, "/owners", lambda found: found["voters_before"] is None)
            cluster.power_off("n0", "n1")
            assert await with_timeout(wait_for_owner, cluster, "orders") in ("n2", "n3", "n4")

    trio.run(main)


def test_the_report_continues_in_a_file_with_the_next_owners_token(tmp_path):
    path = tmp_path / "report"

    def lines():
        return [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []

    async def main():
        operators = OWNERSHIP_SETTINGS.replace("report-ledger {ledger}", f"report-file   {path}")
        async with fleet(directors=3, operators=operators) as cluster:
            await cluster.wait_until(lambda: len(lines()) >= 2, "two lines")
            old = await with_timeout(wait_for_owner, cluster, "report")
            first = lines()[-1]["token"]
            cluster.power_off(old)
            await cluster.wait_until(lambda: lines()[-1]["token"] > first, "a line of the next owner")
            tokens = [line["token"] for line in lines()]
            assert tokens == sorted(tokens) and len({line["number"] for line in lines()}) == len(lines())
            await cluster.power_on(old)

    trio.run(main)
