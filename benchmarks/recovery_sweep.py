"""A long sweep of recoveries with real directors: one hard case per run, over many seeds.

    python -m benchmarks.recovery_sweep [--quick | --smallest] [--seeds N] [--first SEED] [--cases a,b]

Each run is a process of its own with a fleet of directors. It passes if the fleet serves again and no invariant is
violated. A failed run prints its report: the seed, the faults and the directors' log lines.
`--first SEED --seeds 1 --cases CASE` repeats a run.

    orders      all processes lose power during writes and restart one by one in an order that the seed draws; a
                restart does not wait until the previous process is ready
    thrice      the power fails again when the first director has begun to recover, and once more
    away        the coordinator is unreachable for 30 s after all processes have restarted
    frozen      one director is suspended for 20 s while the fleet recovers
    torn        unsynced data reaches the disk in part, and the last write only to half; clients send requests
    swapped     one director is started with another's folder, refuses it, recovers with its own; clients send requests
    weak        the origin collapses under the first load peak, and the parents are cold
    vanished    a director and a cache become unreachable during recovery, then two others, then all are reachable
    owners      five directors, four tasks; kills, freezes, partitions, clocks that step and drift, stops during a write
                to the ledger. The ledger accepts no line of an old owner, and no committed order is lost
    bad-net     a third of the datagrams is lost, others are duplicated and reordered, the coordinator resets streams
"""

from __future__ import annotations

import argparse
import os
import random
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import trio

from benchmarks.measure import figures, machine, table
from rookbend.testing.cluster import ProcessCluster, allow_probes, disk, open_cluster
from rookbend.testing.cluster.process import AFTER_SEND, BEFORE_SEND
from rookbend.testing.cluster.shared_state import ORIGIN

OPERATOR_SETTINGS = """
[state]
    folder {state}
    fleet  f1
[recovery]
    first-rate 100
    full-rate  300
[health]
"""
RATE = 60.0


async def wait_until_all_serve(cluster: ProcessCluster) -> None:
    for name in cluster.names:
        await cluster.nodes[name].wait_for_log("recovery_stage", stage="serving")
    await cluster.wait_until_admitted()
    await cluster.wait_for_served(60)


async def orders(cluster: ProcessCluster, rng: random.Random) -> None:
    cluster.power_off()
    names = list(cluster.powered_off)
    rng.shuffle(names)
    for name in names:
        await cluster.power_on(name)
        if rng.random() < 0.5:
            await trio.sleep(rng.random())


async def thrice(cluster: ProcessCluster, rng: random.Random) -> None:
    for recovery_stage in rng.sample(("writes", "reads", "fills"), 2):
        cluster.power_off()
        await cluster.power_on()
        await cluster.nodes[rng.choice(cluster.names)].wait_for_log("recovery_stage", stage=recovery_stage)
    cluster.power_off()
    await cluster.power_on()


async def disconnect_coordinator(cluster: ProcessCluster, rng: random.Random) -> None:
    cluster.power_off()
    cluster.coordinator.disconnect()
    await cluster.power_on(known={"index": 0, "updates": []} if rng.random() < 0.5 else None)
    await trio.sleep(30.0)
    cluster.coordinator.reconnect()


async def frozen(cluster: ProcessCluster, rng: random.Random) -> None:
    cluster.power_off()
    await cluster.power_on()
    name = rng.choice(cluster.names)
    if rng.random() < 0.5:
        await cluster.nodes[name].wait_for_log("recovery_stage", stage=rng.choice(("writes", "reads", "fills")))
    cluster.freeze(name)
    await trio.sleep(20.0)
    cluster.resume(name)


async def torn(cluster: ProcessCluster, rng: random.Random) -> None:
    cluster.power_off()
    for node in cluster.nodes.values():
        await node.wait_for_exit()
        disk.apply_torn_writes(node.state, rng.random())
    await cluster.power_on()
    assert not any(node.find_logs("state_damaged") for node in cluster.nodes.values()), "a torn write counted as damage"


async def swapped(cluster: ProcessCluster, rng: random.Random) -> None:
    one, other = rng.sample(cluster.names, 2)
    cluster.power_off(one)
    await cluster.nodes[one].wait_for_exit()
    disk.discard_unsynced(cluster.nodes[one].state)
    own_copy = cluster.folder / "ours"
    disk.copy_folder(cluster.nodes[one].state, own_copy)
    disk.copy_folder(cluster.nodes[other].state, cluster.nodes[one].state)
    await cluster.start(one)
    assert await cluster.nodes[one].wait_for_exit() == 2, "the director did not refuse another's folder"
    log_texts = [line.get("text", "") for line in cluster.nodes[one].lines[-1]]
    assert any(f"is of director '{other}'" in text for text in log_texts), log_texts
    disk.copy_folder(own_copy, cluster.nodes[one].state)
    await cluster.power_on(one)


async def weak(cluster: ProcessCluster, rng: random.Random) -> None:
    cluster.origin.profile = replace(ORIGIN, capacity=2.0, multiple=2.0)
    cluster.power_off()
    await cluster.power_on()


async def vanished(cluster: ProcessCluster, rng: random.Random) -> None:
    cluster.power_off()
    await cluster.power_on()
    directors, caches = rng.sample(cluster.names, 2), rng.sample([b.name for b in cluster.caches], 2)
    for pair in zip(directors, caches, strict=True):
        for name in pair:
            cluster.vanish(name)
        await cluster.wait_for_served(20)
        for name in pair:
            cluster.vanish(name, gone=False)


async def unreliable_network(cluster: ProcessCluster, rng: random.Random) -> None:
    for a in cluster.names:
        for b in cluster.names:
            if a != b:
                cluster.links.get(a, b).set(loss=0.3, duplicate=0.4, reorder=0.4)
    cluster.power_off()
    await cluster.power_on()
    for _ in range(3):
        await trio.sleep(rng.random())
        cluster.coordinator.disconnect()
        await trio.sleep(rng.random())
        cluster.coordinator.reconnect()


OWNERSHIP_SETTINGS = """
[state]
    folder {state}
    fleet  f1
[recovery]
    ready-by 2s
[ownership]
    lease         1500ms
    shards        4
    report-ledger {ledger}
    report-every  1s
[health]
[check web]
    type     http
    port     9777
    tier     all
    interval 1s
    stale    4s
"""


async def inject_fault(cluster: ProcessCluster, rng: random.Random) -> None:
    """Injects one fault that the seed draws; returns when it has ended."""
    name, other = rng.sample(cluster.names, 2)
    node = cluster.nodes[name]
    kind = rng.choice(("kill", "freeze", "cut", "cut one way", "clock", "rate", "before", "after"))
    span_s = rng.uniform(0.2, 5.0)
    if kind == "kill":
        cluster.power_off(name)
        await trio.sleep(span_s / 2)
        await cluster.power_on(name)
    elif kind == "freeze":
        cluster.freeze(name)
        await trio.sleep(span_s)
        cluster.resume(name)
    elif kind.startswith("cut"):
        others = [n for n in cluster.names if n != name]
        for target in others if rng.random() < 0.5 else [other]:
            cluster.cut(name, target)
            if kind == "cut":
                cluster.cut(target, name)
        await trio.sleep(span_s)
        cluster.links.heal()
    elif kind in ("clock", "rate"):
        step, rate = rng.choice((-600.0, 600.0)), rng.choice((0.98, 1.02))
        node.set_clock(*((step,) if kind == "clock" else (0.0, rate)))
        await trio.sleep(span_s / 2)
    else:
        for each in cluster.nodes.values():  # the first one that writes to the ledger
            each.stop_at(BEFORE_SEND if kind == "before" else AFTER_SEND)
        async with trio.open_nursery() as nursery:

            async def cancel_when_stopped(each) -> None:
                await each.wait_until_stopped()
                nursery.cancel_scope.cancel()

            nursery.cancel_scope.deadline = trio.current_time() + 6.0
            for each in cluster.nodes.values():
                nursery.start_soon(cancel_when_stopped, each)
        for each in cluster.nodes.values():
            each.stop_at()
        await trio.sleep(span_s)
        for each in cluster.names:
            cluster.resume(each)


async def owners(seed: int) -> None:
    """The case `owners`: five directors, four tasks, twelve faults."""
    rng = random.Random(f"{seed} owners")
    async with open_cluster(5, 3, 1, seed, OWNERSHIP_SETTINGS) as cluster:
        cluster.change_settings = allow_probes
        await cluster.start()
        await cluster.wait_until_admitted()
        committed: list[str] = []

        async def order(number: int) -> None:
            member, name = rng.choice(cluster.caches).name, rng.choice(cluster.names)
            with trio.move_on_after(6.0):
                try:
                    found = await cluster.admin_request(
                        name,
                        "/orders",
                        "POST",
                        {"member": member, "order": rng.choice(("drain", "ready")), "by": f"s{number}", "fleet": True},
                    )
                    if found["status"] == 200:
                        committed.append(f"s{number}")
                except (OSError, trio.BrokenResourceError):
                    pass  # the director was down or unreachable

        for number in range(12):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(order, number)
                await inject_fault(cluster, rng)
        cluster.links.heal()
        for node in cluster.nodes.values():
            node.set_clock()
        await cluster.start()
        lines = len(cluster.ledger.appends)
        await cluster.wait_until(lambda: sum(t.result == "ok" for t in cluster.ledger.appends[lines:]) >= 3, "3 lines")
        counts = {}
        for name in cluster.names:
            found = await cluster.wait_for_answer(
                name,
                "/owners",
                lambda found: all(r["owner"] >= 0 for r in found["owners"])
                and found["orders"]["in_effect"] >= len(committed),
            )
            counts[name] = found["orders"]["in_effect"]
        cluster.front.running.cancel()
        cluster.check_invariants()
        accepted = [t for t in cluster.ledger.appends if t.result == "ok"]
        assert [t.token for t in accepted] == sorted(t.token for t in accepted), "an old owner's line was accepted"
        assert len({t.number for t in accepted}) == len(accepted), "a line was accepted twice"
        refused = sum(t.result == "old" for t in cluster.ledger.appends)
        print(
            f"owners {seed}: lines: {len(accepted)} accepted, {refused} stale; " f"{len(committed)} orders committed",
            flush=True,
        )


CASES: dict[str, Callable] = {
    "orders": orders,
    "thrice": thrice,
    "away": disconnect_coordinator,
    "frozen": frozen,
    "torn": torn,
    "swapped": swapped,
    "weak": weak,
    "vanished": vanished,
    "bad-net": unreliable_network,
    "owners": owners,
}
QUICK_CASES = "orders", "torn", "swapped"


async def run(case: str, seed: int, directors: int) -> None:
    """Runs one case with one seed. Raises AssertionError with the report if it fails."""
    if case == "owners":
        return await owners(seed)
    async with open_cluster(directors, 3, 1, seed, OPERATOR_SETTINGS, RATE) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        await cluster.wait_until(lambda: len(cluster.shared.executions) > 3, "writes ran")
        await CASES[case](cluster, random.Random(f"{seed} {case}"))
        await wait_until_all_serve(cluster)
        cluster.front.running.cancel()
        cluster.check_invariants()
        duplicates = [rids for rids in cluster.shared.executions.values() if len(rids) != len(set(rids))]
        assert not duplicates, f"a request id was executed twice: {duplicates}"


def run_child(case: str, seed: int, directors: int) -> int:
    try:
        trio.run(run, case, seed, directors)
    except BaseExceptionGroup as group:
        for failure in group.exceptions:
            print(failure, file=sys.stderr)
        return 1
    except AssertionError as failure:
        print(failure, file=sys.stderr)
        return 1
    return 0


def run_cases(wanted: list[tuple[str, int]], directors: int, jobs: int) -> list[tuple[str, int, float, int]]:
    """Runs each case and seed, `jobs` at the same time; returns (case, seed, seconds, exit code) of each."""
    results, live, waiting = [], {}, list(wanted)
    while waiting or live:
        while waiting and len(live) < jobs:
            case, seed = waiting.pop(0)
            command = [
                sys.executable,
                "-m",
                "benchmarks.recovery_sweep",
                "--child",
                case,
                "--first",
                str(seed),
                "--directors",
                str(directors),
            ]
            live[subprocess.Popen(command, stderr=subprocess.PIPE, text=True)] = case, seed, time.monotonic()
        pid, status = os.waitpid(-1, 0)
        process = next(p for p in live if p.pid == pid)
        case, seed, began = live.pop(process)
        code = os.waitstatus_to_exitcode(status)
        output = process.stderr.read()
        process.stderr.close()
        process.returncode = code
        results.append((case, seed, time.monotonic() - began, code))
        if code:
            print(f"== {case}, seed {seed}: exit {code}\n{output}", flush=True)
    return results


PROCESS_TESTS = "test_process_cluster.py", "test_recovery_processes.py", "test_leases_processes.py"


def run_process_tests(times: int, jobs: int) -> int:
    """Runs each file of tests with several processes `times` times, `jobs` runs at the same time."""
    waiting = [(n, name) for n in range(times) for name in PROCESS_TESTS]
    live, failed, began = {}, Counter(), time.monotonic()
    while waiting or live:
        while waiting and len(live) < jobs:
            n, name = waiting.pop(0)
            command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", f"tests/{name}"]
            process = subprocess.Popen(
                command,
                env={**os.environ, "ROOKBEND_LONG": "1"},
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
            live[process] = n, name
        process = next(iter(live))
        output, _ = process.communicate()
        n, name = live.pop(process)
        if process.returncode:
            failed[name] += 1
            print(f"== {name}, run {n}:\n{output}", flush=True)
    print(f"{machine()}; {time.monotonic() - began:.0f} s; {times} runs of each file, {jobs} at once")
    print(figures(times=times, failed=dict(failed)))
    return 1 if failed else 0


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.recovery_sweep", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="three short cases, one seed, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="one run with one director; its result means nothing")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 3))
    parser.add_argument("--directors", type=int, default=3)
    parser.add_argument(
        "--tests",
        type=int,
        default=0,
        help="instead of the cases, run the tests with several processes this many times, including the long ones",
    )
    parser.add_argument("--child", help=argparse.SUPPRESS)
    args = parser.parse_args(argv)
    if args.child:
        return run_child(args.child, args.first, args.directors)
    if args.tests:
        return run_process_tests(args.tests, args.jobs)
    cases, seeds, directors = args.cases.split(","), args.seeds, args.directors
    if args.quick or args.smallest:
        cases, seeds = (QUICK_CASES if args.quick else ("torn",)), 1
        directors = directors if args.quick else 1
    began = time.monotonic()
    wanted = [(case, args.first + n) for n in range(seeds) for case in cases]
    results = run_cases(wanted, directors, args.jobs)
    failed = Counter(case for case, _, _, code in results if code)
    rows = [
        [
            case,
            sum(c == case for c, *_ in results),
            failed[case],
            sum(s for c, _, s, _ in results if c == case) / max(1, sum(c == case for c, *_ in results)),
        ]
        for case in cases
    ]
    print(
        f"{machine()}; {time.monotonic() - began:.0f} s; {directors} directors, {args.jobs} runs at once, "
        f"seeds {args.first} to {args.first + seeds - 1}"
    )
    print(table(["case", "runs", "failed", "seconds each"], rows))
    print(figures(runs=len(results), failed=sum(failed.values()), by_case=dict(failed), first=args.first))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
