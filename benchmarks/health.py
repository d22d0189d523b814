"""Health on loopback: how soon a box that is said to drain gets nothing new, and what hearing costs.

    python -m benchmarks.health [--quick | --smallest] [--before CHECKOUT]

1. reaction: from an agent's `drain`, or the coordinator's event, to the last byte of an attempt that its member reads.
2. stalled: client latency and CPU a request with none and with 30% of the agents stalled in mid-reply, in
   turns of equal length, several of each in one run.
3. before: the same figures of the version before, of this one with health off, and on.
4. cost: CPU a check, and bytes a member in the registry and in the plan.
5. platform: memory and time to start with all of it off, beside another checkout (the version before).
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

import trio

from benchmarks.measure import figures, machine, percentile, spread, table
from rookbend.testing.director_process import DirectorProcess, find_free_port, running_directors
from rookbend.testing.health_agents import Behavior, ResponseMode
from rookbend.testing.measurement_fleet import MeasurementFleet, open_fleet
from rookbend.testing.open_loop_client import OpenLoopClient

HERE = Path(__file__).parent.parent
SEED = 7
OPERATORS = """
[background]
    rate 2000
    running 256
    descriptors 256
[health]
    max-out 50%
    slow-start 1s
    hold 100ms
[check agent]
    type agent
    port {port}
    interval {interval}
    fast 500ms
    answer-by 500ms
    stale 1m
"""
DRAIN, READY = Behavior(text=b"drain\n"), Behavior(text=b"ready up 100%\n")
STALL = Behavior(ResponseMode.STALL, b"up ready 100%\n")
PARTS = "reaction", "stalled", "before", "cost", "platform"
SETTLE_S = 1.5  # an attempt to a box that was drained this long ago is looked for no more


def director(made: MeasurementFleet, folder: Path, probes: bool, operators: str) -> tuple[DirectorProcess, tuple]:
    port = find_free_port()
    folder.mkdir(parents=True, exist_ok=True)
    return DirectorProcess(HERE, folder, made.director_config(probes, port), operators), ("127.0.0.1", port)


def hot_objects(count: int) -> list[str]:
    rng = random.Random(SEED)
    return [f"{rng.getrandbits(64):016x}" for _ in range(count)]


async def reaction(members: int, seconds: float, rate: float, folder: Path) -> dict:
    """Drains the boxes that are read most, now by their agent, now by the membership, and back."""
    delays: dict[str, list[float]] = {"agent": [], "roster": []}
    after = {"agent": 0, "roster": 0}
    async with open_fleet(members) as made:
        for box in made.members:
            box.agent.behavior = READY
        node, address = director(
            made, folder, True, OPERATORS.format(port=made.agent_port, interval="1s" if members <= 100 else "4s")
        )
        async with running_directors(node), trio.open_nursery() as nursery:
            clients = OpenLoopClient(address, rate, hot_objects(24), SEED)
            nursery.start_soon(clients.run)
            await trio.sleep(2)
            until = time.monotonic() + seconds
            for turn in range(10**6):
                if time.monotonic() > until:
                    break
                now = time.monotonic()
                busy = sorted(made.caches, key=lambda b: -sum(t > now - 1 for t in b.arrivals_s))
                drained = dict(zip(delays, busy if turn % 2 else busy[1::-1], strict=False))
                told: dict[str, float] = {}
                await made.coordinator.send_members(drained["roster"].membership_entry("DRAINING"))
                told["roster"] = time.monotonic()
                agent = drained["agent"].agent
                heard = trio.Event()

                def on_asked(data, heard=heard, told=told):
                    if "agent" not in told:
                        told["agent"] = time.monotonic()
                        heard.set()

                agent.on_poll, agent.behavior = on_asked, DRAIN
                await heard.wait()
                await trio.sleep(SETTLE_S)
                for way, box in drained.items():
                    late = [t - told[way] for t in box.arrivals_s if t > told[way]]
                    delays[way].append(max(late, default=0.0) * 1000)
                    after[way] += len(late)
                agent.on_poll, agent.behavior = (lambda data: None), READY
                await made.coordinator.send_members(drained["roster"].membership_entry())
                await trio.sleep(0.5)
            found = {
                "members": members,
                "served": sum(code == 0 for _, _, code in clients.timings),
                "answers": len(clients.timings),
                "late": clients.max_lateness_s,
                "delays": delays,
                "after": after,
            }
            nursery.cancel_scope.cancel()
    return found


async def stalled(members: int, turns: int, seconds: float, rate: float, folder: Path) -> dict:
    """Turn and turn about: all agents answer; 30% stop in mid-reply."""
    p99, median, cpu = ({0: [], 30: []} for _ in range(3))
    async with open_fleet(members) as made:
        for box in made.members:
            box.agent.behavior = READY
        node, address = director(made, folder, True, OPERATORS.format(port=made.agent_port, interval="1s"))
        async with running_directors(node), trio.open_nursery() as nursery:
            clients = OpenLoopClient(address, rate, hot_objects(200), SEED)
            nursery.start_soon(clients.run)
            await trio.sleep(2)
            rng = random.Random(SEED)
            chosen = rng.sample(made.caches, members * 3 // 10)
            for turn in range(2 * turns):
                share = 30 if (turn + turn // 2) % 2 else 0  # 0 30 30 0 ...: a drift falls on both
                for box in chosen:
                    box.agent.behavior = STALL if share else READY
                await trio.sleep(1.5)
                begun, cpu_before = time.monotonic(), node.cpu_s()
                await trio.sleep(seconds)
                used = node.cpu_s() - cpu_before
                times = [taken * 1000 for due, taken, code in clients.timings if due >= begun and code == 0]
                p99[share].append(percentile(times, 0.99))
                median[share].append(percentile(times, 0.5))
                cpu[share].append(used / len(times) * 1e6)
            nursery.cancel_scope.cancel()
    return {"p99": p99, "median": median, "cpu": cpu, "late": clients.max_lateness_s}


async def beside_before(members: int, turns: int, seconds: float, rate: float, before: Path, folder: Path) -> dict:
    """The version before, health off, health on: three directors side by side, asked in turns."""
    found: dict[str, dict[str, list[float]]] = {}
    async with open_fleet(members) as made:
        for box in made.members:
            box.agent.behavior = READY
        nodes, asked = {}, {}
        for side, checkout, operators in (
            ("before", before, ""),
            ("off", HERE, ""),
            ("on", HERE, OPERATORS.format(port=made.agent_port, interval="1s")),
        ):
            port, where = find_free_port(), folder / side
            where.mkdir(parents=True)
            nodes[side] = DirectorProcess(checkout, where, made.director_config(True, port), operators)
            asked[side] = OpenLoopClient(("127.0.0.1", port), rate, hot_objects(200), SEED)
            found[side] = {"p99": [], "cpu": []}
        async with running_directors(*nodes.values()):
            for turn in range(turns):
                for side in sorted(nodes, reverse=bool(turn % 2)):
                    clients, node = asked[side], nodes[side]
                    with trio.move_on_after(1 + seconds):
                        async with trio.open_nursery() as nursery:
                            nursery.start_soon(clients.run)
                            await trio.sleep(1)  # connections are there by then
                            begun, cpu, done = time.monotonic(), node.cpu_s(), len(clients.timings)
                            await trio.sleep(seconds - 0.1)
                            used, done = node.cpu_s() - cpu, len(clients.timings) - done
                    times = [taken * 1000 for due, taken, code in clients.timings if due >= begun and code == 0]
                    found[side]["p99"].append(percentile(times, 0.99))
                    found[side]["cpu"].append(used / done * 1e6)
                    clients.due_s.clear()
    return found


async def cost_of_checks(members: int, seconds: float, folder: Path) -> dict:
    """CPU a check: a director without clients, checks on and off, in two processes side by side."""
    async with open_fleet(members) as made:
        for box in made.members:
            box.agent.behavior = READY
        on, _ = director(made, folder / "on", True, OPERATORS.format(port=made.agent_port, interval="1s"))
        off, _ = director(made, folder / "off", True, "")
        async with running_directors(on, off):
            await trio.sleep(2)
            before, asked = (on.cpu_s(), off.cpu_s()), sum(b.agent.polls for b in made.members)
            await trio.sleep(seconds)
            used = on.cpu_s() - before[0] - (off.cpu_s() - before[1])
            checks = sum(b.agent.polls for b in made.members) - asked
            resident = on.resident_kb() - off.resident_kb()
    return {"checks": checks, "us": used / checks * 1e6, "resident_kb": resident}


def bytes_a_member(count: int) -> float:
    """Of the board's rows and the plan's jobs, one check each."""
    from rookbend.core.model import Endpoint
    from rookbend.health.events import MembershipReceived
    from rookbend.health.model import CheckPolicy, HealthPolicy
    from rookbend.health.registry import HealthRegistry
    from rookbend.interface import Member
    from rookbend.scheduling import Budget, Scheduler

    entries = [Endpoint(Member(i, zone=1), f"m{i}", ("127.0.0.1", i % 65536)) for i in range(1, count + 1)]
    registry = HealthRegistry(HealthPolicy((CheckPolicy("agent", True),)), lambda e: "cache")
    scheduler = Scheduler(1, Budget(1, 1))
    tracemalloc.start()
    registry.handle(1, MembershipReceived(True, entries))
    for i in range(1, count + 1):
        scheduler.schedule(("check", i, "agent"), i)
    registry._actions = []
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / count


def platform_start(before: Path | None, rounds: int, folder: Path) -> dict:
    """Resident memory and seconds to be ready with all of it off."""
    sides = {"now": HERE, **({"before": before} if before else {})}
    memory, seconds = ({side: [] for side in sides} for _ in range(2))
    for turn in range(rounds):
        for side in sorted(sides, reverse=bool(turn % 2)):
            config = {
                "name": "n0",
                "listen": f"127.0.0.1:{find_free_port()}",
                "seed": "7",
                "settings": MeasurementFleet(0).director_config(False, 0)["settings"],
            }
            where = folder / f"{side}{turn}"
            where.mkdir(parents=True)
            # Each in the environment that its own build makes, where there is one: libraries of tests and
            # operators that happen to be installed are found and loaded by others.
            own = sides[side] / ".venv" / "bin" / "python"
            node = DirectorProcess(sides[side], where, config, "", str(own) if own.exists() else sys.executable)
            seconds[side].append(node.start())
            time.sleep(0.2)
            memory[side].append(node.resident_kb() / 1024)
            node.stop()
    return {"memory": memory, "seconds": seconds}


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.health", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="small sizes, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the least that runs; shows nothing")
    parser.add_argument("--before", type=Path, help="a checkout of the version before, for parts 3 and 5")
    parser.add_argument("--part", choices=PARTS, help="one part alone")
    args = parser.parse_args(argv)
    parts = (args.part,) if args.part else PARTS
    args.quick |= args.smallest
    sizes = (10,) if args.smallest else (100,) if args.quick else (10, 100, 1000)
    members = sizes[0] if args.smallest else 100
    seconds = 0.3 if args.smallest else 2
    found: dict = {"seed": SEED}
    print(machine())
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if "reaction" in parts:
            rows = []
            for size in sizes:
                length = 0.3 if args.smallest else 5 if args.quick else 40
                r = trio.run(reaction, size, length, 250, folder / f"r{size}")
                for way, delays in r["delays"].items():
                    rows.append(
                        [
                            size,
                            way,
                            len(delays),
                            percentile(delays, 0.5),
                            percentile(delays, 0.99),
                            max(delays),
                            r["after"][way],
                            f"{r['served']}/{r['answers']}",
                        ]
                    )
                    found[f"reaction_max_ms_{way}_{size}"] = round(max(delays), 2)
            print(
                table(
                    ["members", "told by", "drains", "median ms", "p99 ms", "max ms", "attempts after", "served"], rows
                )
            )
        if "stalled" in parts:
            s = trio.run(stalled, members, 2 if args.quick else 6, seconds if args.quick else 8, 250, folder / "s")
            print(
                table(
                    ["stalled %", "median ms", "p99 ms", "CPU us a request"],
                    [[k, *(spread(s[what][k]) for what in ("median", "p99", "cpu"))] for k in (0, 30)],
                )
            )
            for what in ("median", "p99", "cpu"):
                low, high = (statistics.median(s[what][k]) for k in (0, 30))
                found[f"stalled_{what}_ratio"] = round(high / low, 3)
            found["client_late_ms"] = round(s["late"] * 1000, 1)
        if "before" in parts and args.before:
            r = trio.run(
                beside_before,
                members,
                2 if args.quick else 6,
                seconds if args.quick else 5,
                250,
                args.before,
                folder / "b",
            )
            print(
                table(
                    ["side", "p99 ms", "CPU us a request"],
                    [[side, spread(r[side]["p99"]), spread(r[side]["cpu"])] for side in r],
                )
            )
            for side in ("off", "on"):
                for what in ("p99", "cpu"):
                    now, then = (statistics.median(r[k][what]) for k in (side, "before"))
                    found[f"{side}_{what}_ratio"] = round(now / then, 3)
        if "cost" in parts:
            c = trio.run(cost_of_checks, members if args.quick else 1000, seconds if args.quick else 12, folder / "c")
            per_member = bytes_a_member(1000)
            print(
                f"{c['checks']} checks, {c['us']:.0f} us of CPU a check; {per_member:.0f} bytes a member; "
                f"{c['resident_kb']} kB more resident"
            )
            found.update(check_cpu_us=round(c["us"]), member_bytes=round(per_member), health_on_kb=c["resident_kb"])
        if "platform" in parts:
            p = platform_start(args.before, 2 if args.quick else 9, folder / "p")
            print(
                table(
                    ["off, version", "resident MB", "seconds to ready"],
                    [[side, spread(p["memory"][side]), spread(p["seconds"][side])] for side in p["memory"]],
                )
            )
            for side, values in p["memory"].items():
                found[f"platform_mb_{side}"] = round(statistics.median(values), 2)
                found[f"platform_start_s_{side}"] = round(statistics.median(p["seconds"][side]), 3)
    print(figures(**found))
    return 0


if __name__ == "__main__":
    sys.exit(main())
