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
from rookbend.testing.cluster import stage

RATE = 100.0
IDLE_CONNECTIONS = 200  # they send nothing or an incomplete request
CALL_INTERVAL_S = 0.02


async def call_ms(scene, path: str = "/status") -> float:
    began = time.monotonic()
    status, _ = await scene.call("n0", "GET", path)
    assert status == 200, f"{path}: {status}"
    return (time.monotonic() - began) * 1000


async def call_durations_ms(scene, count: int) -> list[float]:
    durations = []
    for n in range(count):
        durations.append(await call_ms(scene, "/status/metrics" if n % 2 else "/status"))
        await trio.sleep(CALL_INTERVAL_S)
    return durations


async def endpoint(rate: float, idle_connections: int, count: int, seed: int) -> list[float]:
    async with stage(1, 3, 1, seed, "", rate) as scene:
        await scene.serve_with_doors()
        if rate:
            await scene.served_more(int(rate / 4))
        address, streams = split_address(scene.places["n0"]["operator"]), []
        for i in range(idle_connections):
            stream = await trio.open_tcp_stream(*address)
            if i % 2:
                await stream.send_all(b"GET /status HT")
            streams.append(stream)
        durations = await call_durations_ms(scene, count)
        for stream in streams:
            await stream.aclose()
        scene.verdict()
        return durations


async def upgrades(count: int, seed: int) -> dict:
    async with stage(1, 3, 1, seed, "", RATE) as scene:
        await scene.serve_with_doors()
        durations_s = []
        for _ in range(count):
            began = time.monotonic()
            old = await scene.upgrade("n0")
            await scene.until_yes("n0")
            durations_s.append(time.monotonic() - began)
            await scene.served_more(10)
            assert await scene.retire(old) == 0
        verdicts = [v for w in scene.front.wishes for v in w.verdicts]
        scene.verdict()
        return {
            "asked": len(verdicts),
            "lost": verdicts.count("lost"),
            "unsent": verdicts.count("unsent"),
            "yes_s": durations_s,
            "late_ms": scene.front.late_s * 1000,
        }


async def metric_errors(seconds: float, seed: int) -> dict:
    """The largest errors of the metrics against the requests that the clients count.

    A ratio for served requests, a count for requests in flight; `off_when_quiet` is the error of served requests, as a
    count, after the load has ended.
    """
    async with stage(1, 3, 1, seed, "", RATE) as scene:
        await scene.serve_with_doors()
        worst = {"served": 0.0, "in_flight": 0.0}
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            await trio.sleep(0.2)
            seen_before = scene.record.counts["answer", "served"]
            open_before = sum(len(line.open) for t in scene.front.targets.values() for line in t.lines)
            found = await scene.figures("n0")
            seen = scene.record.counts["answer", "served"]
            opened = sum(len(line.open) for t in scene.front.targets.values() for line in t.lines)
            served = sum(v for k, v in found.items() if k.endswith(".served"))
            off = max(0, seen_before - served, served - seen)
            worst["served"] = max(worst["served"], off / max(1, seen))
            low, high = sorted((open_before, opened))
            in_flight = found["svc.in_flight"]
            worst["in_flight"] = max(worst["in_flight"], float(max(0, low - in_flight, in_flight - high)))
        scene.front.running.cancel()
        await trio.sleep(1.0)
        found = await scene.figures("n0")
        quiet = abs(sum(v for k, v in found.items() if k.endswith(".served")) - scene.record.counts["answer", "served"])
        return {**worst, "off_when_quiet": quiet}


async def reload(count: int, seed: int) -> list[float]:
    """The slowest call to the endpoint after each SIGHUP that changes settings, in milliseconds."""
    async with stage(1, 3, 1, seed, "", RATE) as scene:
        await scene.serve_with_doors()
        await scene.served_more(20)
        node, slowest = scene.nodes["n0"], []
        for n in range(count):
            scene.change = lambda s, n=n: {**s, "limits": {**s["limits"], "maxAttempts": 3 + n % 3}}
            node.config_file.write_text(json.dumps(scene.config("n0")))
            node.signal(signal.SIGHUP)
            slowest.append(max([await call_ms(scene) for _ in range(4)]))
        assert len(node.heard("reloaded")) >= count - 1
        scene.verdict()
        return slowest


async def cost(on: bool, seconds: float, seed: int) -> float:
    """CPU microseconds per response."""
    async with stage(1, 3, 1, seed, "", RATE) as scene:
        scene.doors = on
        await scene.start()
        await scene.admitted()
        await trio.sleep(min(2.0, seconds))
        pid = scene.nodes["n0"].process.pid
        used, answers, ends = cpu_s(pid), scene.record.count("answer"), time.monotonic() + seconds
        while (left := ends - time.monotonic()) > 0:
            await trio.sleep(min(1.0, left))
            if on:
                await scene.figures("n0")
        return (cpu_s(pid) - used) / max(1, scene.record.count("answer") - answers) * 1e6


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
