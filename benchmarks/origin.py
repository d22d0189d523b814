"""One origin behind hundreds of directors, and a burst that asks a little more of it than it takes.

    python -m benchmarks.origin [--quick] [--directors N ...] [--turns T]

Real engines and modules in simulated time (`rookbend.testing.simulation`): locations of caches, parents, an origin that
turns calls away above a rate and stops for 4 s where it is asked for 2.5 times what it can do. The load is
half as much again from second 8 to 12. Sides: the module as it is, and as it was before it spared the origin;
the same worlds and seeds, interleaved. Held fixed: the load for each cache, so a larger fleet has more.

Figures: worth served of what was asked for, in all, as the burst ends (8 to 13 s), long after (20 to 25 s);
the worst class; calls to the origin; how often it stopped.
"""

from __future__ import annotations

import argparse
import statistics

from benchmarks.measure import figures, machine, spread, table
from rookbend.routing import Router
from rookbend.testing.simulation import EdgeFleet, World
from rookbend.testing.simulation.planted_fault import Careless

SECONDS, BURST, MORE = 25, (8, 12), 1.5
SIDES = {"before": Careless, "now": Router}
WORLDS = {"": {}, " less room": {"origin_room": 1.2}}


def build_world(directors: int, **changes) -> World:
    """The same mix at every size: eleven directors and five caches a location."""
    return World(directors=directors, locations=max(2, 18 * directors // 200), parents=max(3, directors // 20)).but(
        **changes
    )


def simulate_run(side: str, directors: int, seed: int, **changes) -> dict:
    fleet = EdgeFleet(build_world(directors, **changes), seed, SIDES[side])
    fleet.fill_up()
    fleet.clients(SECONDS, lambda second: MORE if BURST[0] <= second < BURST[1] else 1.0)
    fleet.sim.run((SECONDS + 6) * 1_000_000)
    return {
        "worth": fleet.share(0, SECONDS),
        "burst": fleet.share(8, 13),
        "after": fleet.share(20, SECONDS),
        "class": min(got / owed for got, owed in fleet.by_class.values() if owed),
        "calls": fleet.origin.counts["asked"],
        "stops": fleet.origin.falls,
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
    found: dict = {}
    for seed in range(1, turns + 1):
        for size in sizes:
            for name, changes in worlds.items():
                for side in SIDES:
                    found.setdefault((size, name, side), []).append(simulate_run(side, size, seed, **changes))
    print(machine())
    rows = [
        [f"{size}{name}", side, *(spread([t[key] for t in turns]) for key in turns[0])]
        for (size, name, side), turns in found.items()
    ]
    print(table(["directors", "side", "worth", "8-13 s", "20-25 s", "worst class", "calls", "stops"], rows))
    print(
        figures(
            **{
                f"{side}_{size}{name.replace(' ', '_')}": {
                    key: statistics.median(t[key] for t in turns) for key in turns[0]
                }
                for (size, name, side), turns in found.items()
            }
        )
    )


if __name__ == "__main__":
    main()
