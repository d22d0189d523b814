"""Recovery from a power loss: an earlier version, and recovery without peers, with peers and with a disk.

    python -m benchmarks.recovery [--quick | --smallest] [--before REV]

1. real: directors as processes. All directors, caches and parents lose power at the same moment and restart at once
   with cold caches. The sides alternate: `before` (REV, by default the last version without recovery), `alone`
   (recovery, `peers no`), `peers` (also with datagrams between directors), `disk` (also with [state]).
2. simulated: the same recovery state machine with up to 200 directors in simulated time
   (testing/recovery_simulation.py), with the sides `without`, `alone` and `peers`.
3. calls: reconnects after a coordinator has ended all streams; the maximum in any 0.1 s as a share of the fleet.

Figures: seconds from the restart until 50% and 95% of the requested worth are served for three seconds, the served
share of the worth over all seconds measured, the origin's highest demand as a share of the demand at which it
collapses, the number of collapses, refused requests, datagrams per second and director at peak. Fixed: the clients'
demand, the origin, and the seed of each turn.
"""

from __future__ import annotations

import argparse
import math
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import trio

from benchmarks.fleet import checkout
from benchmarks.measure import figures, machine, table
from rookbend.net.reconnect_backoff import ReconnectBackoff
from rookbend.testing.cluster import open_cluster
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.shared_state import ORIGIN, MemberProfile
from rookbend.testing.recovery_simulation import SECOND, Environment, RecoverySimulation

BEFORE = "4cb82cc"
SEED = 7
RECOVERY = "[recovery]\n fleet f1\n"
SIDES = {
    "before": "",
    "alone": RECOVERY + " peers no\n",
    "peers": RECOVERY,
    "disk": "[state]\n folder {state}\n fleet f1\n" + RECOVERY,
}
SMALL_ORIGIN = MemberProfile(**{**{n: getattr(ORIGIN, n) for n in ORIGIN.__slots__}, "capacity": 3.0})
RATE = 80.0


def seconds_until_share(shares: list[float], min_share: float) -> float:
    """The first second that begins three seconds with at least this share; infinity if there is none."""
    for i in range(len(shares) - 2):
        if min(shares[i : i + 3]) >= min_share:
            return float(i)
    return math.inf


async def real(side: str, code: Path | None, directors: int, rate: float, seconds: float, seed: int) -> dict:
    async with open_cluster(directors, 4, 1, seed, SIDES[side], rate, {"origin": SMALL_ORIGIN}, code) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        await trio.sleep(2.0)
        cluster.power_off()
        cluster.origin.peak_load_ratio, falls = 0.0, cluster.origin.overload_count
        refused = cluster.record.counts["answer", "refused"]
        restarted_us = now_us()
        await cluster.power_on()
        await trio.sleep(seconds + 2.0)
        by_second = cluster.front.by_second(restarted_us, now_us() - 2_000_000)
        shares = [got / asked for got, asked in (by_second[s] for s in sorted(by_second)) if asked]
        breaches = len(cluster.record.find_violations())
        datagrams = cluster.record.peak("datagram", 1_000_000) / directors
    return {
        "to_50": seconds_until_share(shares, 0.5),
        "to_95": seconds_until_share(shares, 0.95),
        "worth": statistics.mean(shares),
        "most": cluster.origin.peak_load_ratio,
        "falls": cluster.origin.overload_count - falls,
        "datagrams": datagrams,
        "refused": cluster.record.counts["answer", "refused"] - refused,
        "breaches": breaches,
        "late_ms": cluster.front.late_s * 1000,
    }


def simulated(side: str, count: int, seed: int) -> dict:
    sim = RecoverySimulation(
        count, seed, Environment(requests_per_s=600), recovery=side != "without", gossip=side == "peers"
    )
    sim.power_on()
    sim.run(12 * SECOND)
    sim.power_off()
    sim.demand.go_cold()
    sim.origin.peak_load_ratio, falls = 0.0, sim.origin.collapses
    sim.run(SECOND)
    restart_second, refused, requests = 13, sim.demand.refused, sim.demand.requests
    sim.power_on()
    sim.run(32 * SECOND)
    shares = [sim.demand.served_ratio(s) for s in range(restart_second, restart_second + 30)]
    return {
        "to_50": seconds_until_share(shares, 0.5),
        "to_95": seconds_until_share(shares, 0.95),
        "worth": statistics.mean(shares),
        "most": sim.origin.peak_load_ratio,
        "falls": sim.origin.collapses - falls,
        "datagrams": max(sim.datagrams.values(), default=0) / count,
        "refused": (sim.demand.refused - refused) / max(1, sim.demand.requests - requests),
    }


def calls(count: int, seed: int) -> dict:
    """The peak share of the fleet that calls in any 0.1 s over 7 calls, with the previous and the current back-off."""

    def peak(call_times_s) -> float:
        times = sorted(t for row in call_times_s for t in row)
        return max(sum(t <= u < t + 0.1 for u in times) for t in times) / count

    before, now = [], []
    for i in range(count):
        at, pause, row = 0.0, 0.1, []
        for _ in range(7):
            at += pause
            row.append(at)
            pause = min(2 * pause, 1.0)
        before.append(row)
        backoff, at, row = ReconnectBackoff(i, count, seed + i), 0.0, []
        for _ in range(7):
            at += backoff.next()
            row.append(at)
        now.append(row)
    return {"before": peak(before), "now": peak(now)}


COLUMNS = "to_50", "to_95", "worth", "most", "falls", "datagrams", "refused"


def results_table(results: dict[tuple, list[dict]]) -> str:
    rows = [
        [*key, len(turns), *(round(statistics.median(t[c] for t in turns), 3) for c in COLUMNS)]
        for key, turns in results.items()
    ]
    return table(
        [
            "directors",
            "side",
            "turns",
            "to 50% s",
            "to 95% s",
            "worth",
            "peak of origin demand",
            "collapses",
            "datagrams/s each",
            "refused",
        ],
        rows,
    )


def medians(results: dict[tuple, list[dict]]) -> dict[str, dict[str, float | None]]:
    """The medians by size and side; None for a share that was not reached."""
    out = {}
    for (count, side), turns in results.items():
        row = {c: statistics.median(t[c] for t in turns) for c in COLUMNS}
        out[f"{count} {side}"] = {c: round(v, 3) if math.isfinite(v) else None for c, v in row.items()}
    return out


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.recovery", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="3 real and 40 simulated directors, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the smallest size that runs; its figures mean nothing")
    parser.add_argument("--sizes", help="numbers of real directors, for example 3,10; runs one turn, and no simulation")
    parser.add_argument("--before", default=BEFORE, help="the git revision to compare with")
    args = parser.parse_args(argv)
    if args.smallest:
        sizes, seconds, turns, sims, sides = (1,), 3.0, 1, (3,), ("peers",)
    elif args.quick:
        sizes, seconds, turns, sims, sides = (3,), 6.0, 1, (3, 40), tuple(SIDES)
    else:
        sizes, seconds, turns, sims, sides = (3, 10), 14.0, 3, (3, 10, 40, 200), tuple(SIDES)
    if args.sizes:
        sizes, turns, sims = tuple(map(int, args.sizes.split(","))), 1, ()
    began = time.monotonic()
    results: dict[tuple, list[dict]] = {}
    with tempfile.TemporaryDirectory() as tmp:
        code = None
        if "before" in sides:
            try:
                code = checkout(args.before, Path(tmp) / "before")
            except subprocess.CalledProcessError:
                sides = tuple(s for s in sides if s != "before")
                print(f"revision {args.before} not found: the side `before` is skipped")
        for turn in range(turns):
            for size in sizes:
                for side in sides if turn % 2 == 0 else tuple(reversed(sides)):
                    checkout_of = code if side == "before" else None
                    row = trio.run(real, side, checkout_of, size, RATE, seconds, SEED + turn)
                    results.setdefault((size, side), []).append(row)
    print(
        f"{machine()}; {time.monotonic() - began:.0f} s; real: {RATE:g} requests a second, origin of "
        f"{SMALL_ORIGIN.capacity:g} workers, seeds {SEED} to {SEED + turns - 1}"
    )
    print(results_table(results))
    simulations: dict[tuple, list[dict]] = {}
    for count in sims:
        for side in ("without", "alone", "peers"):
            for turn in range(1 if count == 200 else turns):
                simulations.setdefault((count, side), []).append(simulated(side, count, SEED + turn))
    print("simulated time: 600 requests a second, origin of 140 calls a second, cold caches")
    print(results_table(simulations))
    peaks = {count: calls(count, SEED) for count in (10, 40, 200)}
    print(
        table(
            ["directors", "peak of calls in 0.1 s, before", "now"],
            [[n, p["before"], p["now"]] for n, p in peaks.items()],
        )
    )
    every = [turn for rows in results.values() for turn in rows]
    print(
        figures(
            seed=SEED,
            turns=turns,
            breaches=sum(t["breaches"] for t in every),
            lab_late_ms=round(max(t["late_ms"] for t in every), 1),
            calls={n: p["now"] for n, p in peaks.items()},
            real=medians(results),
            simulated=medians(simulations),
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
