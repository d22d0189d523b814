"""Running day by day: the door under load, upgrades, figures, a reload, and what the door costs.

    python -m benchmarks.operations [--quick | --smallest]

One director of the stage, three caches, `RATE` requests a second.

    door      how long a call takes: with no request, under the rate, beside 200 callers that say nothing
    upgrade   second processes one after the other under the rate: requests lost or unsent, broken rules
    figures   what the door says against what clients and caches saw, asked at an unforeseen moment
    reload    the loop's longest lateness, as calls of the door see it, about a changed file
    cost      CPU a request with the door, asked for figures each second, against no door; sides in turn
"""

from __future__ import annotations

import argparse
import json
import math
import signal
import statistics
import sys
import time

import trio

from benchmarks.measure import figures, machine, percentile, spread, table
from benchmarks.recovery_cost import cpu_s
from rookbend.protocol.coordinator_stream import split_address
from rookbend.testing.cluster import open_cluster

RATE = 100.0
SILENT = 200
BEAT_S = 0.02


async def call_ms(cluster, path: str = "/status") -> float:
    began = time.monotonic()
    status, _ = await cluster.operator_request("n0", "GET", path)
    assert status == 200, f"{path}: {status}"
    return (time.monotonic() - began) * 1000


async def calls(cluster, count: int) -> list[float]:
    found = []
    for n in range(count):
        found.append(await call_ms(cluster, "/status/metrics" if n % 2 else "/status"))
        await trio.sleep(BEAT_S)
    return found


async def door(rate: float, silent: int, count: int, seed: int) -> list[float]:
    async with open_cluster(1, 3, 1, seed, "", rate) as cluster:
        await cluster.start_with_operator_endpoints()
        if rate:
            await cluster.wait_for_served(int(rate / 4))
        address, held = split_address(cluster.addresses["n0"]["operator"]), []
        for i in range(silent):
            stream = await trio.open_tcp_stream(*address)
            if i % 2:
                await stream.send_all(b"GET /status HT")
            held.append(stream)
        found = await calls(cluster, count)
        for stream in held:
            await stream.aclose()
        cluster.check_invariants()
        return found


async def upgrades(count: int, seed: int) -> dict:
    async with open_cluster(1, 3, 1, seed, "", RATE) as cluster:
        await cluster.start_with_operator_endpoints()
        took = []
        for _ in range(count):
            began = time.monotonic()
            old = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            took.append(time.monotonic() - began)
            await cluster.wait_for_served(10)
            assert await cluster.stop_predecessor(old) == 0
        verdicts = [v for w in cluster.front.requests for v in w.verdicts]
        cluster.check_invariants()
        return {
            "asked": len(verdicts),
            "lost": verdicts.count("lost"),
            "unsent": verdicts.count("unsent"),
            "yes_s": took,
            "late_ms": cluster.front.late_s * 1000,
        }


async def told(seconds: float, seed: int) -> dict:
    """The largest share by which a figure is off, over answers of clients and arrivals at caches."""
    async with open_cluster(1, 3, 1, seed, "", RATE) as cluster:
        await cluster.start_with_operator_endpoints()
        worst = {"served": 0.0, "in_flight": 0.0}
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            await trio.sleep(0.2)
            seen_before = cluster.record.counts["answer", "served"]
            open_before = sum(len(conn.open) for t in cluster.front.targets.values() for conn in t.connections)
            found = await cluster.read_operator_metrics("n0")
            seen = cluster.record.counts["answer", "served"]
            opened = sum(len(conn.open) for t in cluster.front.targets.values() for conn in t.connections)
            served = sum(v for k, v in found.items() if k.endswith(".served"))
            off = max(0, seen_before - served, served - seen)
            worst["served"] = max(worst["served"], off / max(1, seen))
            low, high = sorted((open_before, opened))
            flying = found["svc.in_flight"]
            worst["in_flight"] = max(worst["in_flight"], float(max(0, low - flying, flying - high)))
        cluster.front.running.cancel()
        await trio.sleep(1.0)
        found = await cluster.read_operator_metrics("n0")
        quiet = abs(
            sum(v for k, v in found.items() if k.endswith(".served")) - cluster.record.counts["answer", "served"]
        )
        return {**worst, "off_when_quiet": quiet}


async def reload(count: int, seed: int) -> list[float]:
    """The slowest call of the door about each SIGHUP that brings other settings, in milliseconds."""
    async with open_cluster(1, 3, 1, seed, "", RATE) as cluster:
        await cluster.start_with_operator_endpoints()
        await cluster.wait_for_served(20)
        node, slowest = cluster.nodes["n0"], []
        for n in range(count):
            cluster.change_settings = lambda s, n=n: {**s, "limits": {**s["limits"], "maxAttempts": 3 + n % 3}}
            node.config_file.write_text(json.dumps(cluster.config("n0")))
            node.signal(signal.SIGHUP)
            slowest.append(max([await call_ms(cluster) for _ in range(4)]))
        assert len(node.find_logs("reloaded")) >= count - 1
        cluster.check_invariants()
        return slowest


async def cost(on: bool, seconds: float, seed: int) -> float:
    """CPU microseconds an answer."""
    async with open_cluster(1, 3, 1, seed, "", RATE) as cluster:
        cluster.operator_endpoints = on
        await cluster.start()
        await cluster.wait_until_admitted()
        await trio.sleep(min(2.0, seconds))
        pid = cluster.nodes["n0"].process.pid
        used, answers, ends = cpu_s(pid), cluster.record.count("answer"), time.monotonic() + seconds
        while (left := ends - time.monotonic()) > 0:
            await trio.sleep(min(1.0, left))
            if on:
                await cluster.read_operator_metrics("n0")
        return (cpu_s(pid) - used) / max(1, cluster.record.count("answer") - answers) * 1e6


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.operations", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the least that runs; shows nothing")
    parser.add_argument("--upgrades", type=int, default=200)
    parser.add_argument("--seed", type=int, default=7)
    args = parser.parse_args(argv)
    count, ups, span, turns = (
        (5, 1, 0.5, 1) if args.smallest else (60, 4, 3.0, 1) if args.quick else (500, args.upgrades, 20.0, 6)
    )
    began, seed = time.monotonic(), args.seed
    found = {
        "idle": trio.run(door, 0.0, 0, count, seed),
        "load": trio.run(door, RATE, 0, count, seed),
        "silent": trio.run(door, RATE, 20 if args.smallest else SILENT, count, seed),
    }
    up = trio.run(upgrades, ups, seed)
    told_of = trio.run(told, span, seed)
    slowest = trio.run(reload, max(2, count // 25), seed)
    sides: dict[bool, list[float]] = {True: [], False: []}
    for n in range(turns):
        for on in (True, False) if n % 2 else (False, True):
            sides[on].append(trio.run(cost, on, span, seed + n))
    ratios = [a / b for a, b in zip(sides[True], sides[False], strict=True) if b]
    print(f"{machine()}; {time.monotonic() - began:.0f} s; {RATE:g} requests a second; seed {seed}")
    print(
        table(
            ["door, ms", "p50", "p99", "most"],
            [[name, percentile(v, 0.5), percentile(v, 0.99), max(v)] for name, v in found.items()],
        )
    )
    print(
        f"upgrades: {ups}; of {up['asked']} requests {up['lost']} lost, {up['unsent']} unsent; "
        f"yes after {spread(up['yes_s'])} s; the lab's own lateness {up['late_ms']:.0f} ms"
    )
    print(
        f"figures: served off by {told_of['served']:.2%} at most, in flight by {told_of['in_flight']:g}; "
        f"when quiet off by {told_of['off_when_quiet']}"
    )
    print(f"reload: slowest call about it {spread(slowest)} ms")
    print(f"CPU a request, door on against off: {spread(ratios) if ratios else '-'}")
    print(
        figures(
            door_ms={
                k: {"p50": round(percentile(v, 0.5), 2), "p99": round(percentile(v, 0.99), 2), "most": round(max(v), 2)}
                for k, v in found.items()
            },
            upgrades=ups,
            lost=up["lost"],
            unsent=up["unsent"],
            asked=up["asked"],
            figures=told_of,
            reload_ms=round(max(slowest), 2),
            cpu_ratio=round(statistics.median(ratios), 3) if ratios else math.nan,
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
