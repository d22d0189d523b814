"""Leader leases: the checks that they save, the delay of detection, and the time without an owner after a fault.

    python -m benchmarks.leases [--quick | --smallest] [--sizes 3,10]

1. checks (real directors): checks per second at each member and CPU seconds per second of the fleet, with each
   director checking all members and with lease owners checking them; seconds from a member's failure until the
   last director knows of it
2. orders (real directors): seconds until an order for the fleet is committed, and until the last director applies it
3. without an owner (simulated time, 5 directors, 5% loss): seconds, and multiples of the lease, until a scope has
   another owner after a kill, a freeze, a network partition and SIGTERM
4. datagrams and bytes per second and director (simulated time) with 3, 10, 40 and 200 directors
The sides are interleaved. Fixed: the check interval, the members, the seeds and the lease.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time

import trio

from benchmarks.measure import figures, machine, spread, table
from benchmarks.recovery_cost import cpu_s
from rookbend.leases.events import ShutdownRequested
from rookbend.leases.leader_tasks import ORDERS_SCOPE
from rookbend.leases.lease import LeaseTerms
from rookbend.testing.cluster import allow_probes, open_cluster
from rookbend.testing.lease_simulation import LeaseSimulation
from rookbend.testing.lease_simulation_parts import SECOND_US

BASE = """
[state]
    folder {state}
    fleet f1
[recovery]
    ready-by 2s
    first-rate 390
[health]
    hold 500ms
[check web]
    type http
    port 9777
    tier all
    interval 1s
    fast 300ms
    fall 3
    stale 6s
"""
SIDES = {"each": BASE, "owners": BASE + "[ownership]\n shards 4\n"}
LEASE_S = LeaseTerms().lease_us / 1e6


async def measure_fleet(side: str, directors: int, seconds: float, seed: int) -> dict:
    async with open_cluster(directors, 4, 1, seed, SIDES[side]) as cluster:
        cluster.change_settings = allow_probes
        await cluster.start()
        for name in cluster.names:
            await cluster.nodes[name].wait_for_log("recovery_stage", stage="serving")
        if side == "owners":
            for name in cluster.names:
                await cluster.wait_for_answer(
                    name,
                    "/owners",
                    lambda found: all(r["owner"] >= 0 for r in found["owners"] if r["scope"] != "report"),
                )
        pids = [node.process.pid for node in cluster.nodes.values()]
        await trio.sleep(1.0)
        before, cpu = sum(b.checks for b in cluster.members.values()), sum(map(cpu_s, pids))
        await trio.sleep(seconds)
        made = sum(b.checks for b in cluster.members.values()) - before
        cpu = sum(map(cpu_s, pids)) - cpu
        cluster.members["c1"].unhealthy = True
        began, propagation_s = time.monotonic(), 0.0
        for name in cluster.names:
            await cluster.nodes[name].wait_for_log("member_state", member="c1", state="down")
            propagation_s = time.monotonic() - began
        committed = applied_by_all = None
        if side == "owners":
            began = time.monotonic()
            found = await cluster.admin_request(
                cluster.names[-1],
                "/orders",
                "POST",
                {"member": "c2", "order": "maintain", "by": "bench", "fleet": True},
            )
            assert found["status"] == 200, found
            committed = time.monotonic() - began
            for name in cluster.names:
                await cluster.nodes[name].wait_for_log("member_state", member="c2", state="maintenance")
            applied_by_all = time.monotonic() - began
        return {
            "checks": made / seconds / len(cluster.members),
            "cpu": cpu / seconds,
            "known": propagation_s,
            "stands": committed,
            "all_have": applied_by_all,
        }


def without_owner(kind: str, seed: int) -> float:
    """Seconds of simulated time from the fault until another director owns the scope of orders."""
    sim = LeaseSimulation(5, seed, loss=0.05, duplication=0.05, drift=0.02)
    sim.start()
    sim.run(9 * SECOND_US)
    scope = ORDERS_SCOPE
    owner = sim.holders(scope)[0]
    began = sim.now_us
    if kind == "kill":
        sim.kill(owner)
    elif kind == "freeze":
        sim.freeze(owner)
    elif kind == "cut":
        sim.network.cut_links = {(owner, p) for p in range(5)} | {(p, owner) for p in range(5)}
    else:
        sim.feed(sim.directors[owner], ShutdownRequested())
    while not [o for o in sim.holders(scope) if o != owner] and sim.now_us - began < 60 * SECOND_US:
        sim.run(5_000)
    assert not sim.violations, sim.violations
    # A frozen or partitioned owner holds its lease, and may act, until the lease expires: that time has an owner.
    return (sim.now_us - began) / 1e6


def measure_traffic(count: int, seed: int) -> dict:
    sim = LeaseSimulation(count, seed, voters=5, shards=8)
    sim.start()
    sim.run(10 * SECOND_US)
    sent, bytes_sent, began = sum(sim.network.datagrams_by_second.values()), sim.network.bytes_sent, sim.now_us
    sim.run(10 * SECOND_US)
    seconds = (sim.now_us - began) / 1e6
    most = max(n.machine.actions.sent for n in sim.directors) / ((sim.now_us - sim.directors[0].machine.began_us) / 1e6)
    return {
        "datagrams": (sum(sim.network.datagrams_by_second.values()) - sent) / seconds / count,
        "bytes": (sim.network.bytes_sent - bytes_sent) / seconds / count,
        "most": most,
    }


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.leases", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="3 real directors, one turn, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the smallest size that runs; its figures mean nothing")
    parser.add_argument("--sizes", default="3,10", help="real directors (default %(default)s)")
    args = parser.parse_args(argv)
    if args.smallest:
        sizes, turns, seconds, seeds, counts = (1,), 1, 1.0, 1, (3,)
    elif args.quick:
        sizes, turns, seconds, seeds, counts = (3,), 1, 4.0, 5, (3, 10, 40)
    else:
        sizes, turns, seconds, seeds = tuple(map(int, args.sizes.split(","))), 3, 8.0, 30
        counts = (3, 10, 40, 200)
    began = time.monotonic()
    real: dict[tuple[int, str], list[dict]] = {}
    for turn in range(turns):
        for size in sizes:
            for side in SIDES if turn % 2 == 0 else reversed(SIDES):
                real.setdefault((size, side), []).append(trio.run(measure_fleet, side, size, seconds, 7 + turn))
    print(f"{machine()}; {time.monotonic() - began:.0f} s; check interval 1 s, 6 members, seeds 7 to " f"{6 + turns}")

    def median(rows: list[dict], name: str) -> float | None:
        values = [row[name] for row in rows if row[name] is not None]
        return round(statistics.median(values), 3) if values else None

    names = "checks", "cpu", "known", "stands", "all_have"
    print(
        table(
            [
                "directors",
                "side",
                "checks/s a member",
                "CPU s/s",
                "known by all s",
                "order committed s",
                "applied by all s",
            ],
            [[*key, *(median(rows, n) for n in names)] for key, rows in real.items()],
        )
    )
    delays = {
        kind: [without_owner(kind, seed) for seed in range(seeds)] for kind in ("kill", "freeze", "cut", "sigterm")
    }
    print(
        table(
            ["fault", "until another owner, s", "leases (median)"],
            [[kind, spread(v), statistics.median(v) / LEASE_S] for kind, v in delays.items()],
        )
    )
    traffic_by_size = {count: measure_traffic(count, 7) for count in counts}
    print(
        table(
            ["directors", "datagrams/s each", "bytes/s each", "the busiest, datagrams/s"],
            [[n, f["datagrams"], f["bytes"], f["most"]] for n, f in traffic_by_size.items()],
        )
    )
    print(
        figures(
            real={f"{size} {side}": {n: median(rows, n) for n in names} for (size, side), rows in real.items()},
            until_owned={kind: round(statistics.median(v), 3) for kind, v in delays.items()},
            worst={kind: round(max(v), 3) for kind, v in delays.items()},
            traffic={n: {k: round(v, 1) for k, v in f.items()} for n, f in traffic_by_size.items()},
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
