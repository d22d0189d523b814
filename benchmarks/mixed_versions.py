"""Two versions of the program side by side: stored data, a mixed fleet, upgrades, and the interface for operators.

    python -m benchmarks.mixed_versions OLD_CHECKOUT [--seed SEED] [--smallest]

The old version is the program in OLD_CHECKOUT, the new one that of this checkout. All processes run with the Python
environment of this command.

    stored     old, new and old again start with the same state folders and settings. Orders that one version stored
               are in effect under the next one, and the fencing tokens grow.
    fleet      three directors, the first one of the old version. The lease for the fleet's orders moves to the old
               version and back; all directors apply an order that the leader of either version commits.
    exclusions old, new and old again start with the same file of exclusions; what one version excluded stays excluded.
    upgrade    from old to new and from new to old, under requests. No request is lost, an exclusion stays in force.
    interface  metrics with their labels, keys of the admin API's JSON, usages of the commands, help texts and events of
               the log are compared.

Exits with 1 if a check fails or the interfaces differ. Differences of help texts and log events are printed only.
"""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from benchmarks.measure import figures, machine
from benchmarks.operator_interface import (
    ANSWERS_BETWEEN_STEPS,
    PRINTED_ONLY,
    REQUESTS_PER_S,
    TIMEOUT_S,
    VersionMismatchError,
    differences_by_kind,
    leader_of,
    order_for_fleet,
    require,
    until_member_state,
    use_version,
)
from rookbend.testing.cluster import allow_probes, open_cluster
from rookbend.testing.cluster.director_config import OWNERSHIP_SETTINGS
from rookbend.testing.cluster.process import CHECKOUT

MEMBERS = ("c0", "c1", "c2")


async def check_stored_data(old: Path, new: Path, seed: int, steps: int) -> int:
    """Starts the versions alternately on the data that the previous one stored; returns the number of starts."""
    async with open_cluster(directors=3, caches=3, seed=seed, operators=OWNERSHIP_SETTINGS) as cluster:
        cluster.change_settings = allow_probes
        tokens: dict[str, int] = {}
        for step in range(steps):
            use_version(cluster, new if step % 2 else old)
            await cluster.start()
            for name in cluster.names:
                await cluster.nodes[name].wait_for_log("ready")
                for member in MEMBERS[:step]:
                    await until_member_state(cluster, name, member, "maintenance")
            leader = await leader_of(cluster, "orders")
            leases = (await cluster.admin_request(leader, "/owners"))["owners"]
            for row in leases:
                if row["ours"]:
                    require(row["token"] > tokens.get(row["scope"], 0), f"the token of {row['scope']} did not grow")
            await order_for_fleet(cluster, "n0", MEMBERS[step], "maintain")
            tokens.update({row["scope"]: row["token"] for row in leases})
            for name in cluster.names:
                cluster.nodes[name].signal(signal.SIGTERM)
            for name in cluster.names:
                require(await cluster.nodes[name].wait_for_exit() == 0, f"{name} did not end with 0")
        cluster.check_invariants()
    return steps


async def check_mixed_fleet(old: Path, new: Path, seed: int) -> int:
    """Runs n0 with the old version, n1 and n2 with the new one; returns the number of leases handed over."""
    async with open_cluster(directors=3, caches=3, seed=seed, operators=OWNERSHIP_SETTINGS) as cluster:
        cluster.change_settings = allow_probes
        use_version(cluster, new)
        use_version(cluster, old, "n0")
        await cluster.start()
        for name in cluster.names:
            await cluster.nodes[name].wait_for_log("ready")
        moved_leases = 0
        for target in (0, 1, 0, 2):
            leader = await leader_of(cluster, "orders")
            if leader != f"n{target}":
                body = {"order": "move", "scope": "orders", "place": target}
                answer = await cluster.admin_request(leader, "/owners", "POST", body)
                require(answer["status"] == 200, f"the move to n{target} was answered with {answer}")
                with trio.fail_after(TIMEOUT_S):
                    while await leader_of(cluster, "orders") != f"n{target}":
                        await trio.sleep(0.05)
                moved_leases += 1
            await order_for_fleet(cluster, "n1" if target == 0 else "n0", "c1", "maintain" if target == 0 else "ready")
        # The lease also moves when SIGTERM ends its holder.
        leader = await leader_of(cluster, "orders")
        cluster.nodes[leader].signal(signal.SIGTERM)
        lost = await cluster.nodes[leader].wait_for_log("lease_lost", scope="orders")
        require(lost["why"].startswith("handed to"), f"{leader} ended without handing over its lease: {lost['why']}")
        require(await cluster.nodes[leader].wait_for_exit() == 0, f"{leader} did not end with 0")
        cluster.check_invariants()
    return moved_leases + 1


async def check_exclusions(old: Path, new: Path, seed: int) -> int:
    """Starts the versions alternately with the stored exclusions of the previous one; returns the number of starts."""
    async with open_cluster(directors=1, caches=3, seed=seed, operators="[health]\n") as cluster:
        cluster.operator_endpoints = True
        node = cluster.nodes["n0"]
        excluded: list[str] = []
        for checkout, member in ((old, "c1"), (new, "c2"), (old, "c0")):
            use_version(cluster, checkout)
            # `cluster.start` would empty the folder that contains the file.
            node.start(cluster.nursery, cluster.config("n0"), cluster.settings_text("n0"))
            await node.wait_for_log("ready")
            for known in excluded:
                await until_member_state(cluster, "n0", known, "draining")
            status, text = await cluster.operator_request("n0", "PUT", f"/maintenance/enter?member={member}")
            require(status == 200, f"the exclusion of {member} was answered with {status} {text}")
            excluded.append(member)
            node.signal(signal.SIGTERM)
            require(await node.wait_for_exit() == 0, "the director did not end with 0")
        cluster.check_invariants()
    return len(excluded)


async def check_upgrades(old: Path, new: Path, seed: int, steps: int) -> dict[str, int]:
    """Upgrades between the versions under requests; returns the counts of upgrades and requests."""
    async with open_cluster(directors=1, caches=3, seed=seed, rate=REQUESTS_PER_S, operators="[health]\n") as cluster:
        use_version(cluster, old)
        await cluster.start_with_operator_endpoints()
        status, _ = await cluster.operator_request("n0", "PUT", "/maintenance/enter?member=c1")
        require(status == 200, f"the exclusion was answered with {status}")
        for step in range(steps):
            await cluster.wait_for_served(ANSWERS_BETWEEN_STEPS)
            use_version(cluster, old if step % 2 else new)
            predecessor = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            await cluster.wait_for_served(ANSWERS_BETWEEN_STEPS)
            require(
                await cluster.stop_predecessor(predecessor) == 0,
                f"the process before upgrade {step + 1} did not end with 0",
            )
            await until_member_state(cluster, "n0", "c1", "draining")
        await cluster.wait_for_served(ANSWERS_BETWEEN_STEPS)
        verdicts = [verdict for request in cluster.front.requests for verdict in request.verdicts]
        require("lost" not in verdicts, f"{verdicts.count('lost')} requests were lost in upgrades")
        cluster.check_invariants()
        return {"upgrades": steps, "requests": len(verdicts), "lost": verdicts.count("lost")}


def run_check(name: str, check: Callable[..., Any], *arguments: Any) -> Any:
    """Runs one check; returns its result, or prints the failure and returns None."""
    result = None
    try:
        result = trio.run(check, *arguments)
    except* (VersionMismatchError, AssertionError, trio.TooSlowError) as group:
        print(f"{name}: failed: {group.exceptions[0]!r:.2000}")
    print(f"{name}: {'failed' if result is None else 'passed'}", flush=True)
    return result


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.mixed_versions", description=__doc__.splitlines()[0])
    parser.add_argument("old", type=Path, metavar="OLD_CHECKOUT", help="a checkout of the version that runs now")
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--smallest", action="store_true", help="one step of stored data and one upgrade")
    args = parser.parse_args(argv)
    old, new, steps = args.old.resolve(), CHECKOUT, 1 if args.smallest else 3
    print(machine())
    stored = run_check("stored", check_stored_data, old, new, args.seed, steps)
    moved = run_check("fleet", check_mixed_fleet, old, new, args.seed)
    exclusions = run_check("exclusions", check_exclusions, old, new, args.seed)
    upgrades = run_check("upgrade", check_upgrades, old, new, args.seed, 1 if args.smallest else 4)
    differences = run_check("interface", differences_by_kind, old, new, args.seed)
    for kind, lines in (differences or {}).items():
        for line in lines:
            print(f"  {kind}: {line}")
    same = differences is not None and not any(lines for kind, lines in differences.items() if kind not in PRINTED_ONLY)
    passed = same and None not in (stored, moved, exclusions, upgrades)
    counts = {kind: len(lines) for kind, lines in (differences or {}).items()}
    print(
        figures(
            passed=passed,
            starts=stored,
            exclusion_starts=exclusions,
            leases_moved=moved,
            upgrades=upgrades,
            differences=counts,
        )
    )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
