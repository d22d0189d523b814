"""One owner at a time: what it saves, how fast it notices, how long nobody owns.

    python -m benchmarks.leases [--quick | --smallest] [--sizes 3,10]

1. checks (real directors): checks a second at a member and CPU seconds a second of the fleet, each director
   checking for itself against owners; seconds from a member's failure until the last director knows
2. orders (real): milliseconds of an order for the fleet until it stands and until the last director has it
3. without an owner (simulated time, 5 directors, 5% loss): after a kill, a freeze, a cut, SIGTERM; in leases
4. datagrams and bytes a second a director (simulated time) at 3, 10, 40 and 200
Sides interleaved; held fixed: interval, members, seeds, the lease.
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


async def checks(side: str, directors: int, seconds: float, seed: int) -> dict:
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
        before, cpu = sum(b.checks for b in cluster.stand_ins.values()), sum(map(cpu_s, pids))
        await trio.sleep(seconds)
        made = sum(b.checks for b in cluster.stand_ins.values()) - before
        cpu = sum(map(cpu_s, pids)) - cpu
        cluster.stand_ins["c1"].unhealthy = True
        began, last = time.monotonic(), 0.0
        for name in cluster.names:
            await cluster.nodes[name].wait_for_log("member_state", member="c1", state="down")
            last = time.monotonic() - began
        stands = all_have = None
        if side == "owners":
            began = time.monotonic()
            found = await cluster.admin_request(
                cluster.names[-1],
                "/orders",
                "POST",
                {"member": "c2", "order": "maintain", "by": "bench", "fleet": True},
            )
            assert found["status"] == 200, found
            stands = time.monotonic() - began
            for name in cluster.names:
                await cluster.nodes[name].wait_for_log("member_state", member="c2", state="maintenance")
            all_have = time.monotonic() - began
        return {
            "checks": made / seconds / len(cluster.stand_ins),
            "cpu": cpu / seconds,
            "known": last,
            "stands": stands,
            "all_have": all_have,
        }


def without_owner(kind: str, seed: int) -> float:
    """Seconds of simulated time from the fault until the first scope that was lost has an owner again."""
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
    # Until its lease ends a frozen or cut owner owns, and may act: that time is not without an owner.
    return (sim.now_us - began) / 1e6


def traffic(count: int, seed: int) -> dict:
    sim = LeaseSimulation(count, seed, voters=5, shards=8)
    sim.start()
    sim.run(10 * SECOND_US)
    sent, size, began = sum(sim.network.datagrams_by_second.values()), sim.network.bytes_sent, sim.now_us
    sim.run(10 * SECOND_US)
    seconds = (sim.now_us - began) / 1e6
    most = max(n.machine.actions.sent for n in sim.directors) / ((sim.now_us - sim.directors[0].machine.began_us) / 1e6)
    return {
        "datagrams": (sum(sim.network.datagrams_by_second.values()) - sent) / seconds / count,
        "bytes": (sim.network.bytes_sent - size) / seconds / count,
        "most": most,
    }


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.leases", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="3 real directors, one turn, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the least that runs; shows nothing")
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
                real.setdefault((size, side), []).append(trio.run(checks, side, size, seconds, 7 + turn))
    print(f"{machine()}; {time.monotonic() - began:.0f} s; an interval of 1 s, 6 members, seeds 7 to " f"{6 + turns}")

    def median(rows: list[dict], name: str) -> float | None:
        values = [row[name] for row in rows if row[name] is not None]
        return round(statistics.median(values), 3) if values else None

    names = "checks", "cpu", "known", "stands", "all_have"
    print(
        table(
            ["directors", "side", "checks/s a member", "CPU s/s", "known by all s", "order stands s", "all have it s"],
            [[*key, *(median(rows, n) for n in names)] for key, rows in real.items()],
        )
    )
    gaps = {kind: [without_owner(kind, seed) for seed in range(seeds)] for kind in ("kill", "freeze", "cut", "sigterm")}
    print(
        table(
            ["fault", "until another owns, s", "leases (median)"],
            [[kind, spread(v), statistics.median(v) / LEASE_S] for kind, v in gaps.items()],
        )
    )
    flow = {count: traffic(count, 7) for count in counts}
    print(
        table(
            ["directors", "datagrams/s each", "bytes/s each", "the busiest, datagrams/s"],
            [[n, f["datagrams"], f["bytes"], f["most"]] for n, f in flow.items()],
        )
    )
    print(
        figures(
            real={f"{size} {side}": {n: median(rows, n) for n in names} for (size, side), rows in real.items()},
            until_owned={kind: round(statistics.median(v), 3) for kind, v in gaps.items()},
            worst={kind: round(max(v), 3) for kind, v in gaps.items()},
            traffic={n: {k: round(v, 1) for k, v in f.items()} for n, f in flow.items()},
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
