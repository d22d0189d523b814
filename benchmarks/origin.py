"""One origin behind hundreds of directors, during a burst that slightly exceeds the origin's capacity.

    python -m benchmarks.origin [--quick] [--directors N ...] [--turns T]

Real engines and routers run in simulated time (`rookbend.testing.simulation`), with locations of caches, parents and
an origin. The origin refuses calls above a rate, and stops for 4 s if the demand reaches 2.5 times its capacity. The
load is 1.5 times the normal load from second 8 to 12. The sides are the current router and the router before it had
origin protection; both run with the same worlds and seeds, interleaved. The load per cache is fixed, so a larger fleet
has a higher load.

Figures: the served share of the requested worth in total, during the burst (8 to 13 s) and long after it (20 to 25 s);
the same share of the worst traffic class; calls to the origin; the number of times that the origin stopped.
"""

from __future__ import annotations

import argparse
import statistics

from benchmarks.measure import figures, machine, spread, table
from rookbend.routing import Router
from rookbend.testing.simulation import Deployment, SimulatedFleet
from rookbend.testing.simulation.planted_fault import RouterWithoutOriginProtection

SECONDS, BURST, BURST_LOAD = 25, (8, 12), 1.5
SIDES = {"before": RouterWithoutOriginProtection, "now": Router}
WORLDS = {"": {}, " less room": {"origin_headroom": 1.2}}


def build_world(directors: int, **changes) -> Deployment:
    """A world with the same proportions at every size: about eleven directors and five caches per location."""
    return Deployment(
        directors=directors, locations=max(2, 18 * directors // 200), parents=max(3, directors // 20)
    ).with_changes(**changes)


def simulate_run(side: str, directors: int, seed: int, **changes) -> dict:
    fleet = SimulatedFleet(build_world(directors, **changes), seed, SIDES[side])
    fleet.warm_caches()
    fleet.start_clients(SECONDS, lambda second: BURST_LOAD if BURST[0] <= second < BURST[1] else 1.0)
    fleet.sim.run((SECONDS + 6) * 1_000_000)
    return {
        "worth": fleet.served_ratio(0, SECONDS),
        "burst": fleet.served_ratio(8, 13),
        "after": fleet.served_ratio(20, SECONDS),
        "class": min(earned / offered for earned, offered in fleet.weight_by_class.values() if offered),
        "calls": fleet.origin.counts["asked"],
        "stops": fleet.origin.overloads,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--smallest", action="store_true")
    parser.add_argument("--directors", type=int, nargs="+")
    parser.add_argument("--turns", type=int)
    args = parser.parse_args()
    sizes = args.directors or ([12] if args.smallest else [60] if args.quick else [60, 200])
    turns = args.turns or (1 if args.smallest else 2 if args.quick else 3)
    worlds = {"": {}} if args.quick or args.smallest else WORLDS
    runs: dict = {}
    for seed in range(1, turns + 1):
        for size in sizes:
            for name, changes in worlds.items():
                for side in SIDES:
                    runs.setdefault((size, name, side), []).append(simulate_run(side, size, seed, **changes))
    print(machine())
    rows = [
        [f"{size}{name}", side, *(spread([r[key] for r in results]) for key in results[0])]
        for (size, name, side), results in runs.items()
    ]
    print(table(["directors", "side", "worth", "8-13 s", "20-25 s", "worst class", "calls", "stops"], rows))
    print(
        figures(
            **{
                f"{side}_{size}{name.replace(' ', '_')}": {
                    key: statistics.median(r[key] for r in results) for key in results[0]
                }
                for (size, name, side), results in runs.items()
            }
        )
    )


if __name__ == "__main__":
    main()
