"""The cost of recovery, stored state and ownership to a serving director: CPU per request with them on, against off.

    python -m benchmarks.recovery_cost [--quick | --smallest]

One director serves `RATE` requests per second, with warm caches. The sides alternate and are repeated: `off` without
these parts, `recovery` with [state], [recovery] and two peers that exchange datagrams with it as in a fleet of
three, and `ownership` with [ownership] in addition.

Figures: CPU microseconds of the director's process (all threads) per response, the ratios to `off`, CPU without
requests, memory. Fixed: the rate, the seed of a turn, the caches. The peers' CPU is not counted.
"""

from __future__ import annotations

import argparse
import os
import statistics
import sys
import time

import trio

from benchmarks.measure import figures, machine, spread, table
from rookbend.testing.cluster import open_cluster
from rookbend.testing.process_memory import read_memory

RECOVERY = "[state]\n folder {state}\n fleet f1\n[recovery]\n fleet f1\n first-rate 390\n"
SIDES = {"off": "", "recovery": RECOVERY, "ownership": RECOVERY + "[ownership]\n report-ledger {ledger}\n"}
RATE = 100.0
WARM_UP_S = 22.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """The CPU seconds that a process has used, in user and system mode."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as f:
        fields = f.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """The resident memory of a running process in MiB."""
    memory = read_memory(pid)
    assert memory is not None, "the process has ended"
    return memory.resident_kb / 1024


async def measure(side: str, directors: int, warm: float, seconds: float, seed: int) -> dict:
    async with open_cluster(directors, 3, 1, seed, SIDES[side], RATE) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        if side != "off":
            for node in cluster.nodes.values():
                await node.wait_for_log("recovery_stage", stage="serving")
        for name in cluster.names[1:]:  # one director gets all requests, the others only exchange datagrams with it
            cluster.front.targets[name].admitted = False
        await trio.sleep(warm)
        pid = cluster.nodes["n0"].process.pid
        before, answers = cpu_s(pid), cluster.record.count("answer")
        await trio.sleep(seconds)
        used, answers = cpu_s(pid) - before, cluster.record.count("answer") - answers
        cluster.front.running.cancel()
        await trio.sleep(1.0)
        idle = cpu_s(pid)
        await trio.sleep(seconds)
        idle = (cpu_s(pid) - idle) / seconds * 1000
        return {
            "idle_ms": idle,
            "us": used / max(1, answers) * 1e6,
            "mb": memory_mb(pid),
            "answers": answers,
            "late_ms": cluster.front.late_s * 1000,
        }


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.recovery_cost", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="one turn of 3 s a side, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the smallest size that runs; its figures mean nothing")
    parser.add_argument("--turns", type=int, default=6)
    args = parser.parse_args(argv)
    directors = 1 if args.smallest else 3
    # After a simultaneous start, members count as cold for 20 s; a shorter warm-up would measure other requests.
    turns, warm, seconds = (
        (1, 0.1, 0.5) if args.smallest else (1, 2.0, 3.0) if args.quick else (args.turns, WARM_UP_S, 10.0)
    )
    results: dict[str, list[dict]] = {side: [] for side in SIDES}
    began = time.monotonic()
    for n in range(turns):
        for side in SIDES if n % 2 == 0 else reversed(SIDES):
            results[side].append(trio.run(measure, side, directors, warm, seconds, 7 + n))
    us = {side: [t["us"] for t in rows] for side, rows in results.items()}
    ratios = {
        side: [on / off for on, off in zip(us[side], us["off"], strict=True) if off] for side in SIDES if side != "off"
    }
    print(f"{machine()}; {time.monotonic() - began:.0f} s; {RATE:g} requests a second, {turns} turns a side")
    rows = [
        [side, *(spread([t[n] for t in results[side]]) for n in ("us", "idle_ms", "mb", "answers"))] for side in SIDES
    ]
    print(table(["side", "CPU us a request", "idle, CPU ms/s", "MB", "answers a turn"], rows))
    for side, values in ratios.items():
        print(f"CPU a request, {side} against off: {spread(values) if values else '-'}")
    print(
        figures(
            ratio={side: round(statistics.median(v), 4) if v else None for side, v in ratios.items()},
            turns=turns,
            rate=RATE,
            idle_ms={side: round(statistics.median(t["idle_ms"] for t in rows), 2) for side, rows in results.items()},
            lab_late_ms=round(max(t["late_ms"] for rows in results.values() for t in rows), 1),
            us={side: round(statistics.median(v), 1) for side, v in us.items()},
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
