"""Events that a director has not heard of yet: drains during its start (testing/cluster/drain_during_start.py), drains
while it is stopped, and clients that leave while it is stopped (stop_scenarios.py).

    python -m benchmarks.unheard_events [--scenario start|stop|leave] [--seeds N] [--first SEED] [--size N] [...]

Prints the violations and the outcomes of the requests for each seed. `--size` multiplies the directors, the caches and
the rate of requests. Exits with 1 if a run had a violation.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator

import trio

from benchmarks.measure import figures, machine
from rookbend.testing.cluster import drain_during_start, stop_scenarios


def start_scenario(seed: int, args: argparse.Namespace) -> drain_during_start.DrainDuringStart:
    """The scenario of the start for one seed."""
    size = args.size
    return drain_during_start.DrainDuringStart(
        seed,
        directors=2 * size,
        restarted=size,
        caches=4 * size,
        drained=2 * size,
        rate=args.rate * size,
        list_age_s=args.list_age,
        answer_delay_s=args.answer_delay,
        unreachable_s=args.unreachable,
        observed_s=args.observed,
        asks_readiness=not args.not_noticed,
    )


def stop_scenario(seed: int, args: argparse.Namespace) -> stop_scenarios.StopScenario:
    """The scenario of a stop for one seed."""
    size = args.size
    return stop_scenarios.StopScenario(
        seed, directors=size, caches=4 * size, rounds=args.rounds, rate=args.rate * size, stopped_s=args.stopped
    )


def violations(args: argparse.Namespace) -> Iterator[int]:
    """Runs each seed, prints its result, and yields the number of its violations."""
    for seed in range(args.first, args.first + args.seeds):
        if args.scenario == "start":
            result = trio.run(drain_during_start.play, start_scenario(seed, args))
        elif args.scenario == "stop":
            result = trio.run(stop_scenarios.drain_during_stop, stop_scenario(seed, args))
        else:
            result = trio.run(stop_scenarios.leave_during_stop, stop_scenario(seed, args))
        print(f"seed {seed}: {result}", flush=True)
        for violation in result.violations[: args.shown]:
            print(f"  {violation.rule}: {violation.subject} {violation.text}")
        yield len(result.violations)


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.unheard_events", description=__doc__.splitlines()[0])
    parser.add_argument("--scenario", choices=["start", "stop", "leave"], default="start")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--size", type=int, default=1)
    parser.add_argument("--rate", type=float, default=80.0, help="requests per second, for size 1")
    parser.add_argument("--answer-delay", type=float, default=0.0, help="seconds until the coordinator answers a call")
    parser.add_argument("--unreachable", type=float, default=0.0, help="seconds without a coordinator, from the start")
    parser.add_argument("--list-age", type=float, default=1.0, help="seconds from the drains until the start")
    parser.add_argument("--observed", type=float, default=4.0, help="seconds from the start")
    parser.add_argument("--rounds", type=int, default=4, help="stops in a run")
    parser.add_argument("--stopped", type=float, default=1.5, help="seconds of a stop")
    parser.add_argument("--not-noticed", action="store_true", help="clients don't wait for readiness")
    parser.add_argument("--shown", type=int, default=0, help="violations to print for each seed")
    parser.add_argument("--smallest", action="store_true", help="the smallest size that runs; its figures mean nothing")
    args = parser.parse_args(argv)
    if args.smallest:
        args.seeds, args.observed, args.list_age = 1, 1.0, 0.0
    print(machine())
    counts = list(violations(args))
    print(figures(scenario=args.scenario, size=args.size, seeds=args.seeds, violations=counts))
    return 1 if any(counts) and not args.smallest else 0


if __name__ == "__main__":
    sys.exit(main())
