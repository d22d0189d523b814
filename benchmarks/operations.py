"""Day-to-day operation: the operator endpoint under load, upgrades, metrics, reloads, and the endpoint's cost.

    python -m benchmarks.operations [--quick | --smallest]

One director process, three caches and `RATE` requests per second.

    door      the duration of a call to the operator endpoint: without load, under load, and also with
              200 connections that send no complete request
    upgrade   consecutive upgrades under load: lost and unsent requests, violated invariants
    figures   the endpoint's metrics compared with what clients saw, read at arbitrary times
    reload    the longest delay of the event loop during a reload, measured by calls to the endpoint
    cost      CPU per request with the endpoint, whose metrics are read each second, and without it; the sides alternate
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
IDLE_CONNECTIONS = 200  # they send nothing or an incomplete request
CALL_INTERVAL_S = 0.02


async def call_ms(cluster, path: str = "/status") -> float:
    began = time.monotonic()
    status, _ = await cluster.operator_request("n0", "GET", path)
    assert status == 200, f"{path}: {status}"
    return (time.monotonic() - began) * 1000


async def call_durations_ms(cluster, count: int) -> list[float]:
    durations = []
    for n in range(count):
        durations.append(await call_ms(cluster, "/status/metrics" if n % 2 else "/status"))
        await trio.sleep(CALL_INTERVAL_S)
    return durations


async def endpoint(rate: float, idle_connections: int, count: int, seed: int) -> list[float]:
    async with open_cluster(1, 3, 1, seed, "", rate) as cluster:
        await cluster.start_with_operator_endpoints()
        if rate:
            await cluster.wait_for_served(int(rate / 4))
        address, streams = split_address(cluster.addresses["n0"]["operator"]), []
        for i in range(idle_connections):
            stream = await trio.open_tcp_stream(*address)
            if i % 2:
                await stream.send_all(b"GET /status HT")
            streams.append(stream)
        durations = await call_durations_ms(cluster, count)
        for stream in streams:
            await stream.aclose()
        cluster.check_invariants()
        return durations


async def upgrades(count: int, seed: int) -> dict:
    async with open_cluster(1, 3, 1, seed, "", RATE) as cluster:
        await cluster.start_with_operator_endpoints()
        durations_s = []
        for _ in range(count):
            began = time.monotonic()
            old = await cluster.upgrade("n0")
            await cluster.wait_until_accepting("n0")
            durations_s.append(time.monotonic() - began)
            await cluster.wait_for_served(10)
            assert await cluster.stop_predecessor(old) == 0
        verdicts = [v for w in cluster.front.requests for v in w.verdicts]
        cluster.check_invariants()
        return {
            "asked": len(verdicts),
            "lost": verdicts.count("lost"),
            "unsent": verdicts.count("unsent"),
            "yes_s": durations_s,
            "late_ms": cluster.front.late_s * 1000,
        }


async def metric_errors(seconds: float, seed: int) -> dict:
    """The largest errors of the metrics against the requests that the clients count.

    A ratio for served requests, a count for requests in flight; `off_when_quiet` is the error of served requests, as a
    count, after the load has ended.
    """
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
            in_flight = found["svc.in_flight"]
            worst["in_flight"] = max(worst["in_flight"], float(max(0, low - in_flight, in_flight - high)))
        cluster.front.running.cancel()
        await trio.sleep(1.0)
        found = await cluster.read_operator_metrics("n0")
        quiet = abs(
            sum(v for k, v in found.items() if k.endswith(".served")) - cluster.record.counts["answer", "served"]
        )
        return {**worst, "off_when_quiet": quiet}


async def reload(count: int, seed: int) -> list[float]:
    """The slowest call to the endpoint after each SIGHUP that changes settings, in milliseconds."""
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
    """CPU microseconds per response."""
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
    parser.add_argument("--smallest", action="store_true", help="the smallest size that runs; its figures mean nothing")
    parser.add_argument("--upgrades", type=int, default=200)
    parser.add_argument("--seed", type=int, default=7)
    args = parser.parse_args(argv)
    count, upgrade_count, seconds, turns = (
        (5, 1, 0.5, 1) if args.smallest else (60, 4, 3.0, 1) if args.quick else (500, args.upgrades, 20.0, 6)
    )
    began, seed = time.monotonic(), args.seed
    call_times = {
        "idle": trio.run(endpoint, 0.0, 0, count, seed),
        "load": trio.run(endpoint, RATE, 0, count, seed),
        "silent": trio.run(endpoint, RATE, 20 if args.smallest else IDLE_CONNECTIONS, count, seed),
    }
    upgraded = trio.run(upgrades, upgrade_count, seed)
    errors = trio.run(metric_errors, seconds, seed)
    slowest = trio.run(reload, max(2, count // 25), seed)
    sides: dict[bool, list[float]] = {True: [], False: []}
    for n in range(turns):
        for on in (True, False) if n % 2 else (False, True):
            sides[on].append(trio.run(cost, on, seconds, seed + n))
    ratios = [a / b for a, b in zip(sides[True], sides[False], strict=True) if b]
    print(f"{machine()}; {time.monotonic() - began:.0f} s; {RATE:g} requests a second; seed {seed}")
    print(
        table(
            ["endpoint, ms", "p50", "p99", "most"],
            [[name, percentile(v, 0.5), percentile(v, 0.99), max(v)] for name, v in call_times.items()],
        )
    )
    print(
        f"upgrades: {upgrade_count}; "
        f"of {upgraded['asked']} requests {upgraded['lost']} lost, {upgraded['unsent']} unsent; "
        f"ready after {spread(upgraded['yes_s'])} s; requests sent at most {upgraded['late_ms']:.0f} ms late"
    )
    print(
        f"metrics: served differs by {errors['served']:.2%} at most, in flight by {errors['in_flight']:g}; "
        f"without load served differs by {errors['off_when_quiet']}"
    )
    print(f"reload: slowest call {spread(slowest)} ms")
    print(f"CPU a request, endpoint on against off: {spread(ratios) if ratios else '-'}")
    print(
        figures(
            door_ms={
                k: {"p50": round(percentile(v, 0.5), 2), "p99": round(percentile(v, 0.99), 2), "most": round(max(v), 2)}
                for k, v in call_times.items()
            },
            upgrades=upgrade_count,
            lost=upgraded["lost"],
            unsent=upgraded["unsent"],
            asked=upgraded["asked"],
            figures=errors,
            reload_ms=round(max(slowest), 2),
            cpu_ratio=round(statistics.median(ratios), 3) if ratios else math.nan,
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
