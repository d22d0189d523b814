"""All interleavings of the lease's machines under a model network and clocks, and planted faults.

    python -m benchmarks.leases_model_checking [--quick | --smallest] [--states N] [--jobs N]

1. the program as it is, in several bounds, each to a number of states: nothing may be found wrong
2. every planted fault (rookbend/model_checking/faults.py): what it breaks must be found; beside it, whether the
   ordinary tests of the lease (tests/test_leases.py) catch it too
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import time
from pathlib import Path

from benchmarks.measure import figures, machine, table
from rookbend.model_checking.bounds import Bounds
from rookbend.model_checking.faults import FAULTS, Fault, planted
from rookbend.model_checking.lease import LeaseModel
from rookbend.model_checking.search import Found, search

HERE = Path(__file__).parent.parent
WHOLE = {
    "network": (Bounds(rounds=3, ticks=4, duplicates=1, acts=1), 1 << 10),
    "clocks": (Bounds(rounds=3, ticks=5, drifts=2, acts=2), 0),
    "disks": (Bounds(rounds=3, ticks=4, with_disk=1, without_disk=1), 0),
    "old disk": (Bounds(rounds=3, ticks=4, stale_disk=1, clock_tokens=True), 0),
    "hand-over": (Bounds(rounds=4, ticks=2, releases=2, duplicates=1, acts=1), 0),
    "lives": (Bounds(rounds=3, ticks=4, candidate_restarts=1, acts=2, receiver_restarts=1), 0),
    "two scopes": (Bounds(scopes=2, rounds=4, ticks=3, acts=1), 0),
}


def caught_by_tests(fault: Fault) -> bool:
    """Whether tests/test_leases.py fails with the fault planted (conftest.py plants what is named)."""
    ended = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", "tests/test_leases.py"],
        cwd=HERE,
        env={**os.environ, "ROOKBEND_FAULT": fault.name},
        capture_output=True,
        text=True,
    )
    return ended.returncode == 1


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.leases_model_checking", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="few states, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the least that runs; shows nothing")
    parser.add_argument("--states", type=int, default=400_000, help="of each bound (default %(default)s)")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    args = parser.parse_args(argv)
    states = 500 if args.smallest else 15_000 if args.quick else args.states
    faults = FAULTS[:2] if args.smallest else FAULTS[:8] if args.quick else FAULTS
    print(machine())
    wrong, total, rows = [], 0, []
    for name, (bounds, prompt) in WHOLE.items():
        began = time.monotonic()
        found = search(LeaseModel(bounds, first_prompt_candidate=prompt), states, jobs=args.jobs)
        total += found.states
        rows.append(
            [
                name,
                found.states,
                found.steps,
                found.depth,
                "all" if found.complete else "cut off",
                found.broken_property or "nothing",
                time.monotonic() - began,
            ]
        )
        if found.broken_property:
            wrong.append((name, found))
    print(table(["bounds", "states", "steps", "depth", "", "wrong", "seconds"], rows), flush=True)
    for name, found in wrong:
        print(f"{name}: {found.broken_property}\n  " + "\n  ".join(found.path))
    missed, by_tests, rows = [], 0, []
    for fault in faults:
        began = time.monotonic()
        found = hunt(fault, args.jobs)
        ordinary = caught_by_tests(fault) if not (args.quick or args.smallest) else False
        by_tests += ordinary
        if found.broken_property != fault.broken_property:
            missed.append(fault.name)
        rows.append(
            [
                fault.name,
                found.broken_property or "MISSED",
                found.states,
                len(found.path),
                "yes" if ordinary else "no",
                time.monotonic() - began,
            ]
        )
    print(table(["fault", "found", "states", "steps to it", "ordinary tests", "seconds"], rows))
    print(
        figures(
            states=total,
            wrong=[name for name, _ in wrong],
            faults=len(faults),
            missed=missed,
            caught_by_ordinary_tests=by_tests,
        )
    )
    return 1 if wrong or missed else 0


def hunt(fault: Fault, jobs: int = 1, most: int = 400_000) -> Found:
    with planted(fault) as model:
        return search(model, most, jobs=jobs)


if __name__ == "__main__":
    sys.exit(main())
