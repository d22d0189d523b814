"""Model checking of the lease protocol: all interleavings under a model network and clocks, and planted faults.

    python -m benchmarks.leases_model_checking [--quick | --smallest] [--states N] [--jobs N]

1. the program without faults, within several bounds and up to a number of states each: no property may be violated
2. each planted fault (rookbend/model_checking/faults.py): the violation that it causes must be found; also reported
   is whether the ordinary tests of the lease (tests/test_leases.py) catch it
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
from rookbend.model_checking.search import SearchResult, search

ROOT = Path(__file__).parent.parent
BOUNDS = {
    "network": (Bounds(rounds=3, ticks=4, duplicates=1, acts=1), 1 << 10),
    "clocks": (Bounds(rounds=3, ticks=5, drifts=2, acts=2), 0),
    "disks": (Bounds(rounds=3, ticks=4, with_disk=1, without_disk=1), 0),
    "old disk": (Bounds(rounds=3, ticks=4, stale_disk=1, clock_tokens=True), 0),
    "hand-over": (Bounds(rounds=4, ticks=2, releases=2, duplicates=1, acts=1), 0),
    "lives": (Bounds(rounds=3, ticks=4, candidate_restarts=1, acts=2, receiver_restarts=1), 0),
    "two scopes": (Bounds(scopes=2, rounds=4, ticks=3, acts=1), 0),
}


def caught_by_tests(fault: Fault) -> bool:
    """Whether tests/test_leases.py fails with the fault planted (tests/conftest.py plants it)."""
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", "tests/test_leases.py"],
        cwd=ROOT,
        env={**os.environ, "ROOKBEND_FAULT": fault.name},
        capture_output=True,
        text=True,
    )
    return completed.returncode == 1


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.leases_model_checking", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="few states, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the smallest size that runs; its figures mean nothing")
    parser.add_argument("--states", type=int, default=400_000, help="states to visit per bound (default %(default)s)")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    args = parser.parse_args(argv)
    states = 500 if args.smallest else 15_000 if args.quick else args.states
    faults = FAULTS[:2] if args.smallest else FAULTS[:8] if args.quick else FAULTS
    print(machine())
    wrong, total, rows = [], 0, []
    for name, (bounds, first_prompt_candidate) in BOUNDS.items():
        began = time.monotonic()
        result = search(LeaseModel(bounds, first_prompt_candidate=first_prompt_candidate), states, jobs=args.jobs)
        total += result.states
        rows.append(
            [
                name,
                result.states,
                result.steps,
                result.depth,
                "all" if result.complete else "cut off",
                result.broken_property or "nothing",
                time.monotonic() - began,
            ]
        )
        if result.broken_property:
            wrong.append((name, result))
    print(table(["bounds", "states", "steps", "depth", "", "wrong", "seconds"], rows), flush=True)
    for name, result in wrong:
        print(f"{name}: {result.broken_property}\n  " + "\n  ".join(result.path))
    missed, caught_count, rows = [], 0, []
    for fault in faults:
        began = time.monotonic()
        result = search_with_fault(fault, args.jobs)
        caught = caught_by_tests(fault) if not (args.quick or args.smallest) else False
        caught_count += caught
        if result.broken_property != fault.broken_property:
            missed.append(fault.name)
        rows.append(
            [
                fault.name,
                result.broken_property or "MISSED",
                result.states,
                len(result.path),
                "yes" if caught else "no",
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
            caught_by_ordinary_tests=caught_count,
        )
    )
    return 1 if wrong or missed else 0


def search_with_fault(fault: Fault, jobs: int = 1, max_states: int = 400_000) -> SearchResult:
    with planted(fault) as model:
        return search(model, max_states, jobs=jobs)


if __name__ == "__main__":
    sys.exit(main())
