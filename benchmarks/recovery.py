"""Return from a power loss: the version before, recovery without and with peers, with and without a disk.

    python -m benchmarks.recovery [--quick | --smallest] [--before REV]

1. real: directors as processes on the stage; all of them, caches and parents lose their power in one instant
   and return at once, cold. Sides in turn: `before` (REV, by default the last without recovery), `alone`
   (recovery, `peers no`), `peers` (and its datagrams), `disk` (and [state]).
2. simulated: the same machine at up to 200 directors in simulated time (testing/recovery_simulation.py): without,
   alone, peers.
3. calls: a coordinator that ends all streams; the most calls in any 0.1 s as a share of the fleet.

Figures: seconds from the power to 50% and 95% of worth for three seconds, worth of the first seconds, the
origin's fullest window as a share of what pushes it over, its falls, refused answers, datagrams a second a
director at peak. Held fixed: demand, the origin, the seed of each turn.
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
from rookbend.net.watch import ReconnectBackoff
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
WEAK = MemberProfile(**{**{n: getattr(ORIGIN, n) for n in ORIGIN.__slots__}, "capacity": 3.0})
RATE = 80.0


def held(shares: list[float], wanted: float) -> float:
    """The first second from which on that share is held for three; infinity where none."""
    for i in range(len(shares) - 2):
        if min(shares[i : i + 3]) >= wanted:
            return float(i)
    return math.inf


async def real(side: str, code: Path | None, directors: int, rate: float, seconds: float, seed: int) -> dict:
    async with open_cluster(directors, 4, 1, seed, SIDES[side], rate, {"origin": WEAK}, code) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        await trio.sleep(2.0)
        cluster.power_off()
        cluster.origin.peak_load_ratio, falls = 0.0, cluster.origin.overload_count
        refused = cluster.record.counts["answer", "refused"]
        back = now_us()
        await cluster.power_on()
        await trio.sleep(seconds + 2.0)
        by_second = cluster.front.by_second(back, now_us() - 2_000_000)
        shares = [got / asked for got, asked in (by_second[s] for s in sorted(by_second)) if asked]
        breaches = len(cluster.record.find_violations())
        datagrams = cluster.record.peak("datagram", 1_000_000) / directors
    return {
        "to_50": held(shares, 0.5),
        "to_95": held(shares, 0.95),
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
    at, refused, asked = 13, sim.demand.refused, sim.demand.requests
    sim.power_on()
    sim.run(32 * SECOND)
    shares = [sim.demand.served_ratio(s) for s in range(at, at + 30)]
    return {
        "to_50": held(shares, 0.5),
        "to_95": held(shares, 0.95),
        "worth": statistics.mean(shares),
        "most": sim.origin.peak_load_ratio,
        "falls": sim.origin.collapses - falls,
        "datagrams": max(sim.datagrams.values(), default=0) / count,
        "refused": (sim.demand.refused - refused) / max(1, sim.demand.requests - asked),
    }


def calls(count: int, seed: int) -> dict:
    """Peak share of the fleet in any 0.1 s over 7 calls: the pauses of the version before, and now."""

    def peak(pauses) -> float:
        times = sorted(t for row in pauses for t in row)
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


def shown(found: dict[tuple, list[dict]]) -> str:
    rows = [
        [*key, len(turns), *(round(statistics.median(t[c] for t in turns), 3) for c in COLUMNS)]
        for key, turns in found.items()
    ]
    return table(
        [
            "directors",
            "side",
            "turns",
            "to 50% s",
            "to 95% s",
            "worth",
            "origin's most",
            "falls",
            "datagrams/s each",
            "refused",
        ],
        rows,
    )


def medians(found: dict[tuple, list[dict]]) -> dict[str, dict[str, float | None]]:
    """By size and side; what was never reached is None."""
    out = {}
    for (count, side), turns in found.items():
        row = {c: statistics.median(t[c] for t in turns) for c in COLUMNS}
        out[f"{count} {side}"] = {c: round(v, 3) if math.isfinite(v) else None for c, v in row.items()}
    return out


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.recovery", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="3 real and 40 simulated directors, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the least that runs; shows nothing")
    parser.add_argument("--sizes", help="real directors, as 3,10; one turn, no simulated time")
    parser.add_argument("--before", default=BEFORE, help="the version to compare with, a git revision")
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
    found: dict[tuple, list[dict]] = {}
    with tempfile.TemporaryDirectory() as tmp:
        code = None
        if "before" in sides:
            try:
                code = checkout(args.before, Path(tmp) / "before")
            except subprocess.CalledProcessError:
                sides = tuple(s for s in sides if s != "before")
                print(f"no revision {args.before} here: the version before is left out")
        for turn in range(turns):
            for size in sizes:
                for side in sides if turn % 2 == 0 else tuple(reversed(sides)):
                    checkout_of = code if side == "before" else None
                    row = trio.run(real, side, checkout_of, size, RATE, seconds, SEED + turn)
                    found.setdefault((size, side), []).append(row)
    print(
        f"{machine()}; {time.monotonic() - began:.0f} s; real: {RATE:g} requests a second, origin of "
        f"{WEAK.capacity:g} workers, seeds {SEED} to {SEED + turns - 1}"
    )
    print(shown(found))
    simulations: dict[tuple, list[dict]] = {}
    for count in sims:
        for side in ("without", "alone", "peers"):
            for turn in range(1 if count == 200 else turns):
                simulations.setdefault((count, side), []).append(simulated(side, count, SEED + turn))
    print("simulated time: 600 requests a second, origin of 140 calls a second, cold caches")
    print(shown(simulations))
    peaks = {count: calls(count, SEED) for count in (10, 40, 200)}
    print(
        table(
            ["directors", "peak of calls in 0.1 s, before", "now"],
            [[n, p["before"], p["now"]] for n, p in peaks.items()],
        )
    )
    every = [turn for rows in found.values() for turn in rows]
    print(
        figures(
            seed=SEED,
            turns=turns,
            breaches=sum(t["breaches"] for t in every),
            lab_late_ms=round(max(t["late_ms"] for t in every), 1),
            calls={n: p["now"] for n, p in peaks.items()},
            real=medians(found),
            simulated=medians(simulations),
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
