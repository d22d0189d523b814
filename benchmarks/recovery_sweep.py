"""The long sweep of returns: real directors, one hard case a run, seeds upon seeds.

    python -m benchmarks.recovery_sweep [--quick | --smallest] [--seeds N] [--first SEED] [--cases a,b]

Every run is a process of its own with a stage in it; it ends well where the fleet serves again and no rule
was broken, whatever came when. A run that does not prints its report: seed, faults, what the directors said.
`--first SEED --seeds 1 --cases CASE` repeats one.

    orders      everything loses its power amid writes, and returns one by one in an order drawn by the seed,
                the next when it may, not when the last is ready
    thrice      the power fails again as the first director is on its way, and once more
    away        the coordinator stays away for 30 s after the return of all
    frozen      one director stands still for 20 s through the whole return
    torn        what was not synced reached the disk in part, its last write half; clients run
    swapped     one director is started on another's folder, refuses it, and returns on its own; clients run
    weak        an origin that falls over at the first rush, and cold parents
    vanished    a director and a cache vanish amid the return, then two others, then all are there again
    owners      five directors with four duties: kills, freezes, cuts, clocks that step and run wrong, stops
                amid a line to the ledger; no line of an old owner may be taken, no order that stood be lost
    bad-net     a third of the datagrams lost, others doubled and reordered, a coordinator that resets
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

OPERATORS = """
[state]
    folder {state}
    fleet  f1
[recovery]
    first-rate 100
    full-rate  300
[health]
"""
RATE = 60.0


async def all_serve(cluster: ProcessCluster) -> None:
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
    for stage_name in rng.sample(("writes", "reads", "fills"), 2):
        cluster.power_off()
        await cluster.power_on()
        await cluster.nodes[rng.choice(cluster.names)].wait_for_log("recovery_stage", stage=stage_name)
    cluster.power_off()
    await cluster.power_on()


async def away(cluster: ProcessCluster, rng: random.Random) -> None:
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
    assert not any(node.find_logs("state_damaged") for node in cluster.nodes.values()), "a torn write is no damage"


async def swapped(cluster: ProcessCluster, rng: random.Random) -> None:
    one, other = rng.sample(cluster.names, 2)
    cluster.power_off(one)
    await cluster.nodes[one].wait_for_exit()
    disk.discard_unsynced(cluster.nodes[one].state)
    ours = cluster.folder / "ours"
    disk.copy_folder(cluster.nodes[one].state, ours)
    disk.copy_folder(cluster.nodes[other].state, cluster.nodes[one].state)
    await cluster.start(one)
    assert await cluster.nodes[one].wait_for_exit() == 2, "it took another's folder"
    said = [line.get("text", "") for line in cluster.nodes[one].lines[-1]]
    assert any(f"is of director '{other}'" in text for text in said), said
    disk.copy_folder(ours, cluster.nodes[one].state)
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


async def bad_net(cluster: ProcessCluster, rng: random.Random) -> None:
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


OWNERS = """
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


async def harm(cluster: ProcessCluster, rng: random.Random) -> None:
    """One fault, to its end."""
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
        for each in cluster.nodes.values():  # whichever writes next
            each.stop_at(BEFORE_SEND if kind == "before" else AFTER_SEND)
        async with trio.open_nursery() as nursery:

            async def first(each) -> None:
                await each.wait_until_stopped()
                nursery.cancel_scope.cancel()

            nursery.cancel_scope.deadline = trio.current_time() + 6.0
            for each in cluster.nodes.values():
                nursery.start_soon(first, each)
        for each in cluster.nodes.values():
            each.stop_at()
        await trio.sleep(span_s)
        for each in cluster.names:
            cluster.resume(each)


async def owners(seed: int) -> None:
    """A run of its own: five directors, four duties, twelve faults."""
    rng = random.Random(f"{seed} owners")
    async with open_cluster(5, 3, 1, seed, OWNERS) as cluster:
        cluster.change_settings = allow_probes
        await cluster.start()
        await cluster.wait_until_admitted()
        stood: list[str] = []

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
                        stood.append(f"s{number}")
                except (OSError, trio.BrokenResourceError):
                    pass  # that director was away

        for number in range(12):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(order, number)
                await harm(cluster, rng)
        cluster.links.heal()
        for node in cluster.nodes.values():
            node.set_clock()
        await cluster.start()
        lines = len(cluster.ledger.appends)
        await cluster.wait_until(
            lambda: sum(t.result == "ok" for t in cluster.ledger.appends[lines:]) >= 3, "lines go on"
        )
        counts = {}
        for name in cluster.names:
            found = await cluster.wait_for_answer(
                name,
                "/owners",
                lambda found: all(r["owner"] >= 0 for r in found["owners"])
                and found["orders"]["in_effect"] >= len(stood),
            )
            counts[name] = found["orders"]["in_effect"]
        cluster.front.running.cancel()
        cluster.check_invariants()
        taken = [t for t in cluster.ledger.appends if t.result == "ok"]
        assert [t.token for t in taken] == sorted(t.token for t in taken), "an old owner's line was taken"
        assert len({t.number for t in taken}) == len(taken), "a line was taken twice"
        old = sum(t.result == "old" for t in cluster.ledger.appends)
        print(
            f"owners {seed}: {len(taken)} lines taken, {old} of old owners refused, " f"{len(stood)} orders stood",
            flush=True,
        )


CASES: dict[str, Callable] = {
    "orders": orders,
    "thrice": thrice,
    "away": away,
    "frozen": frozen,
    "torn": torn,
    "swapped": swapped,
    "weak": weak,
    "vanished": vanished,
    "bad-net": bad_net,
    "owners": owners,
}
SHORT = "orders", "torn", "swapped"


async def run(case: str, seed: int, directors: int) -> None:
    """One run. Raises AssertionError with its report where it does not end well."""
    if case == "owners":
        return await owners(seed)
    async with open_cluster(directors, 3, 1, seed, OPERATORS, RATE) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        await cluster.wait_until(lambda: len(cluster.shared.executions) > 3, "writes ran")
        await CASES[case](cluster, random.Random(f"{seed} {case}"))
        await all_serve(cluster)
        cluster.front.running.cancel()
        cluster.check_invariants()
        twice = [rids for rids in cluster.shared.executions.values() if len(rids) != len(set(rids))]
        assert not twice, f"an id ran twice: {twice}"


def child(case: str, seed: int, directors: int) -> int:
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


def sweep(wanted: list[tuple[str, int]], directors: int, jobs: int) -> list[tuple[str, int, float, int]]:
    """(case, seed, seconds, exit code) of each; so many at once."""
    out, live, waiting = [], {}, list(wanted)
    while waiting or live:
        while waiting and len(live) < jobs:
            case, seed = waiting.pop(0)
            words = [
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
            live[subprocess.Popen(words, stderr=subprocess.PIPE, text=True)] = case, seed, time.monotonic()
        pid, status = os.waitpid(-1, 0)
        process = next(p for p in live if p.pid == pid)
        case, seed, began = live.pop(process)
        code = os.waitstatus_to_exitcode(status)
        said = process.stderr.read()
        process.stderr.close()
        process.returncode = code
        out.append((case, seed, time.monotonic() - began, code))
        if code:
            print(f"== {case}, seed {seed}: exit {code}\n{said}", flush=True)
    return out


PROCESS_TESTS = "test_process_cluster.py", "test_recovery_processes.py", "test_leases_processes.py"


def tests(times: int, jobs: int) -> int:
    """All tests with several processes, again and again; so many runs of a file at once."""
    waiting = [(n, name) for n in range(times) for name in PROCESS_TESTS]
    live, failed, began = {}, Counter(), time.monotonic()
    while waiting or live:
        while waiting and len(live) < jobs:
            n, name = waiting.pop(0)
            words = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", f"tests/{name}"]
            process = subprocess.Popen(
                words,
                env={**os.environ, "ROOKBEND_LONG": "1"},
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
            live[process] = n, name
        process = next(iter(live))
        said, _ = process.communicate()
        n, name = live.pop(process)
        if process.returncode:
            failed[name] += 1
            print(f"== {name}, run {n}:\n{said}", flush=True)
    print(f"{machine()}; {time.monotonic() - began:.0f} s; {times} runs of each file, {jobs} at once")
    print(figures(times=times, failed=dict(failed)))
    return 1 if failed else 0


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.recovery_sweep", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="three short cases, one seed, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="one run of one director; shows nothing")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 3))
    parser.add_argument("--directors", type=int, default=3)
    parser.add_argument(
        "--tests",
        type=int,
        default=0,
        help="run the tests with several processes so often, the long ones too, and no case",
    )
    parser.add_argument("--child", help=argparse.SUPPRESS)
    args = parser.parse_args(argv)
    if args.child:
        return child(args.child, args.first, args.directors)
    if args.tests:
        return tests(args.tests, args.jobs)
    cases, seeds, directors = args.cases.split(","), args.seeds, args.directors
    if args.quick or args.smallest:
        cases, seeds = (SHORT if args.quick else ("torn",)), 1
        directors = directors if args.quick else 1
    began = time.monotonic()
    wanted = [(case, args.first + n) for n in range(seeds) for case in cases]
    found = sweep(wanted, directors, args.jobs)
    failed = Counter(case for case, _, _, code in found if code)
    rows = [
        [
            case,
            sum(c == case for c, *_ in found),
            failed[case],
            sum(s for c, _, s, _ in found if c == case) / max(1, sum(c == case for c, *_ in found)),
        ]
        for case in cases
    ]
    print(
        f"{machine()}; {time.monotonic() - began:.0f} s; {directors} directors, {args.jobs} runs at once, "
        f"seeds {args.first} to {args.first + seeds - 1}"
    )
    print(table(["case", "runs", "failed", "seconds each"], rows))
    print(figures(runs=len(found), failed=sum(failed.values()), by_case=dict(failed), first=args.first))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
