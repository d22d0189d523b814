"""Soak test over many seeds, several at a time, with a table of the results; exits with 1 if a seed failed.

    python -m benchmarks.soak [--seeds N] [--first SEED] [--seconds S] [--at-once N] [--smallest]

The command printed with a failed seed repeats it. The failure record is kept (testing/cluster/failure_record.py).
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import trio

from benchmarks.measure import figures, machine, table
from rookbend.testing.cluster.soak import soak
from rookbend.testing.cluster.soak_result import SoakResult

SECONDS = 20.0
SMALLEST_SECONDS = 1.0
HEAD = ["seed", "events", "requests", "served", "lost, as allowed", "slowest start s", "crowd", "peak MB"]


def row_of(result: SoakResult) -> list:
    return [
        result.seed,
        len(result.events),
        result.requests,
        result.served,
        result.lost,
        result.slowest_start_s,
        result.crowd,
        result.peak_memory_mb,
    ]


def command_for(seed: int, seconds: float) -> list[str]:
    return [sys.executable, "-m", "benchmarks.soak", "--seeds", "1", "--first", str(seed), "--seconds", f"{seconds:g}"]


def run_process(seed: int, seconds: float) -> tuple[int, subprocess.CompletedProcess]:
    return seed, subprocess.run(command_for(seed, seconds), text=True, capture_output=True)


def run_seeds(first: int, count: int, seconds: float, at_once: int) -> int:
    """Runs each seed in its own process; prints its row of the table, or the end of its output if it failed."""
    failed = []
    with ThreadPoolExecutor(at_once) as pool:
        for seed, completed in pool.map(lambda seed: run_process(seed, seconds), range(first, first + count)):
            if completed.returncode:
                failed.append(seed)
                print(f"seed {seed} failed: {' '.join(command_for(seed, seconds)[1:])}")
                print("\n".join((completed.stdout + completed.stderr).splitlines()[-60:]))
            else:
                print(completed.stdout.splitlines()[1], flush=True)
    print(figures(seeds=count, first=first, seconds=seconds, failed=failed))
    return 1 if failed else 0


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=SECONDS, help="the time in which the events of a seed begin")
    parser.add_argument("--at-once", type=int, default=2, help="the number of seeds that run at the same time")
    parser.add_argument("--smallest", action="store_true", help="the smallest size that runs; its figures mean nothing")
    args = parser.parse_args(argv)
    if args.smallest:
        args.seeds, args.seconds = 1, SMALLEST_SECONDS
    if args.seeds > 1:
        print(machine())
        return run_seeds(args.first, args.seeds, args.seconds, args.at_once)
    result = trio.run(soak, args.first, args.seconds)
    print(table(HEAD, [row_of(result)]))
    print(figures(seed=result.seed, events=result.events, served=result.served, requests=result.requests))
    return 0


if __name__ == "__main__":
    sys.exit(main())
