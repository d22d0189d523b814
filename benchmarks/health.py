"""Health checks on loopback: how soon a draining member gets no new attempts, and what the checks cost.

    python -m benchmarks.health [--quick | --smallest] [--before CHECKOUT]

1. reaction: the time from an agent's `drain`, or from the coordinator's event, until the member reads its last attempt.
2. stalled: client latency and CPU per request with no agent and with 30% of the agents stalled in mid-reply, in
   several alternating turns of equal length in one run.
3. before: latency and CPU per request of the CHECKOUT version and of this version with health checks off and on.
4. cost: CPU per check, and bytes per member in the health registry and the scheduler.
5. platform: memory and start time with health checks off, beside those of the CHECKOUT version.
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

ROOT = Path(__file__).parent.parent
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
SETTLE_S = 1.5  # attempts are counted for this long after a member begins to drain


def director(fleet: MeasurementFleet, folder: Path, probes: bool, operators: str) -> tuple[DirectorProcess, tuple]:
    port = find_free_port()
    folder.mkdir(parents=True, exist_ok=True)
    return DirectorProcess(ROOT, folder, fleet.director_config(probes, port), operators), ("127.0.0.1", port)


def hot_objects(count: int) -> list[str]:
    rng = random.Random(SEED)
    return [f"{rng.getrandbits(64):016x}" for _ in range(count)]


async def reaction(members: int, seconds: float, rate: float, folder: Path) -> dict:
    """Drains the two busiest caches, one by its agent and one by the membership, and reverts it, repeatedly."""
    delays: dict[str, list[float]] = {"agent": [], "roster": []}
    after = {"agent": 0, "roster": 0}
    async with open_fleet(members) as fleet:
        for member in fleet.members:
            member.agent.behavior = READY
        node, address = director(
            fleet, folder, True, OPERATORS.format(port=fleet.agent_port, interval="1s" if members <= 100 else "4s")
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
                busiest = sorted(fleet.caches, key=lambda c: -sum(t > now - 1 for t in c.arrivals_s))
                drained = dict(zip(delays, busiest if turn % 2 else busiest[1::-1], strict=False))
                notified_s: dict[str, float] = {}
                await fleet.coordinator.send_members(drained["roster"].membership_entry("DRAINING"))
                notified_s["roster"] = time.monotonic()
                agent = drained["agent"].agent
                polled = trio.Event()

                def on_poll(data, polled=polled, notified_s=notified_s):
                    if "agent" not in notified_s:
                        notified_s["agent"] = time.monotonic()
                        polled.set()

                agent.on_poll, agent.behavior = on_poll, DRAIN
                await polled.wait()
                await trio.sleep(SETTLE_S)
                for source, cache in drained.items():
                    late = [t - notified_s[source] for t in cache.arrivals_s if t > notified_s[source]]
                    delays[source].append(max(late, default=0.0) * 1000)
                    after[source] += len(late)
                agent.on_poll, agent.behavior = (lambda data: None), READY
                await fleet.coordinator.send_members(drained["roster"].membership_entry())
                await trio.sleep(0.5)
            results = {
                "members": members,
                "served": sum(code == 0 for _, _, code in clients.timings),
                "answers": len(clients.timings),
                "late": clients.max_lateness_s,
                "delays": delays,
                "after": after,
            }
            nursery.cancel_scope.cancel()
    return results


async def stalled(members: int, turns: int, seconds: float, rate: float, folder: Path) -> dict:
    """Alternates turns in which all agents answer with turns in which 30% of them stall in mid-reply."""
    p99, median, cpu = ({0: [], 30: []} for _ in range(3))
    async with open_fleet(members) as fleet:
        for member in fleet.members:
            member.agent.behavior = READY
        node, address = director(fleet, folder, True, OPERATORS.format(port=fleet.agent_port, interval="1s"))
        async with running_directors(node), trio.open_nursery() as nursery:
            clients = OpenLoopClient(address, rate, hot_objects(200), SEED)
            nursery.start_soon(clients.run)
            await trio.sleep(2)
            rng = random.Random(SEED)
            chosen = rng.sample(fleet.caches, members * 3 // 10)
            for turn in range(2 * turns):
                percent = 30 if (turn + turn // 2) % 2 else 0  # 0 30 30 0 ...: a drift affects both equally
                for cache in chosen:
                    cache.agent.behavior = STALL if percent else READY
                await trio.sleep(1.5)
                begun, cpu_before = time.monotonic(), node.cpu_s()
                await trio.sleep(seconds)
                times = await clients.served_since(begun)
                used = node.cpu_s() - cpu_before
                p99[percent].append(percentile(times, 0.99))
                median[percent].append(percentile(times, 0.5))
                cpu[percent].append(used / len(times) * 1e6)
            nursery.cancel_scope.cancel()
    return {"p99": p99, "median": median, "cpu": cpu, "late": clients.max_lateness_s}


async def beside_before(members: int, turns: int, seconds: float, rate: float, before: Path, folder: Path) -> dict:
    """Three directors get requests in turns: the version before, and this version with health checks off and on."""
    results: dict[str, dict[str, list[float]]] = {}
    async with open_fleet(members) as fleet:
        for member in fleet.members:
            member.agent.behavior = READY
        nodes, clients_of = {}, {}
        for side, checkout, operators in (
            ("before", before, ""),
            ("off", ROOT, ""),
            ("on", ROOT, OPERATORS.format(port=fleet.agent_port, interval="1s")),
        ):
            port, cwd = find_free_port(), folder / side
            cwd.mkdir(parents=True)
            nodes[side] = DirectorProcess(checkout, cwd, fleet.director_config(True, port), operators)
            clients_of[side] = OpenLoopClient(("127.0.0.1", port), rate, hot_objects(200), SEED)
            results[side] = {"p99": [], "cpu": []}
        async with running_directors(*nodes.values()):
            for turn in range(turns):
                for side in sorted(nodes, reverse=bool(turn % 2)):
                    clients, node = clients_of[side], nodes[side]
                    with trio.move_on_after(1 + seconds):
                        async with trio.open_nursery() as nursery:
                            nursery.start_soon(clients.run)
                            await trio.sleep(1)  # time for the connections to open
                            begun, cpu, done = time.monotonic(), node.cpu_s(), len(clients.timings)
                            await trio.sleep(seconds - 0.1)
                            used, done = node.cpu_s() - cpu, len(clients.timings) - done
                    times = [elapsed_s * 1000 for due, elapsed_s, code in clients.timings if due >= begun and code == 0]
                    results[side]["p99"].append(percentile(times, 0.99))
                    results[side]["cpu"].append(used / done * 1e6)
                    clients.due_s.clear()
    return results


async def cost_of_checks(members: int, seconds: float, folder: Path) -> dict:
    """CPU per check: the difference between two simultaneous directors without clients, with checks on and off."""
    async with open_fleet(members) as fleet:
        for member in fleet.members:
            member.agent.behavior = READY
        on, _ = director(fleet, folder / "on", True, OPERATORS.format(port=fleet.agent_port, interval="1s"))
        off, _ = director(fleet, folder / "off", True, "")
        async with running_directors(on, off):
            await trio.sleep(2)
            before, polls = (on.cpu_s(), off.cpu_s()), sum(m.agent.polls for m in fleet.members)
            await trio.sleep(seconds)
            used = on.cpu_s() - before[0] - (off.cpu_s() - before[1])
            checks = sum(m.agent.polls for m in fleet.members) - polls
            resident = on.resident_kb() - off.resident_kb()
    return {"checks": checks, "us": used / checks * 1e6, "resident_kb": resident}


def bytes_per_member(count: int) -> float:
    """Memory of the registry's entries and the scheduler's jobs, with one check per member."""
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
    """Resident memory and seconds until ready, with health checks off."""
    sides = {"now": ROOT, **({"before": before} if before else {})}
    memory, seconds = ({side: [] for side in sides} for _ in range(2))
    for turn in range(rounds):
        for side in sorted(sides, reverse=bool(turn % 2)):
            config = {
                "name": "n0",
                "listen": f"127.0.0.1:{find_free_port()}",
                "seed": "7",
                "settings": MeasurementFleet(0).director_config(False, 0)["settings"],
            }
            cwd = folder / f"{side}{turn}"
            cwd.mkdir(parents=True)
            # Each version runs in the environment that its own build makes, if there is one: elsewhere, libraries of
            # tests and operators may be installed, and other libraries find and load those.
            python = sides[side] / ".venv" / "bin" / "python"
            node = DirectorProcess(sides[side], cwd, config, "", str(python) if python.exists() else sys.executable)
            seconds[side].append(node.start())
            time.sleep(0.2)
            memory[side].append(node.resident_kb() / 1024)
            node.stop()
    return {"memory": memory, "seconds": seconds}


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.health", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="small sizes, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the smallest size that runs; its figures mean nothing")
    parser.add_argument("--before", type=Path, help="a checkout of an earlier version, for parts 3 and 5")
    parser.add_argument("--part", choices=PARTS, help="run only this part")
    args = parser.parse_args(argv)
    parts = (args.part,) if args.part else PARTS
    args.quick |= args.smallest
    sizes = (10,) if args.smallest else (100,) if args.quick else (10, 100, 1000)
    members = sizes[0] if args.smallest else 100
    seconds = 0.3 if args.smallest else 2
    measured: dict = {"seed": SEED}
    print(machine())
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if "reaction" in parts:
            rows = []
            for size in sizes:
                length = 0.3 if args.smallest else 5 if args.quick else 40
                r = trio.run(reaction, size, length, 250, folder / f"r{size}")
                for source, delays in r["delays"].items():
                    rows.append(
                        [
                            size,
                            source,
                            len(delays),
                            percentile(delays, 0.5),
                            percentile(delays, 0.99),
                            max(delays),
                            r["after"][source],
                            f"{r['served']}/{r['answers']}",
                        ]
                    )
                    measured[f"reaction_max_ms_{source}_{size}"] = round(max(delays), 2)
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
                measured[f"stalled_{what}_ratio"] = round(high / low, 3)
            measured["client_late_ms"] = round(s["late"] * 1000, 1)
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
                    measured[f"{side}_{what}_ratio"] = round(now / then, 3)
        if "cost" in parts:
            c = trio.run(cost_of_checks, members if args.quick else 1000, seconds if args.quick else 12, folder / "c")
            per_member = bytes_per_member(1000)
            print(
                f"{c['checks']} checks, {c['us']:.0f} us of CPU a check; {per_member:.0f} bytes a member; "
                f"{c['resident_kb']} kB more resident"
            )
            measured.update(check_cpu_us=round(c["us"]), member_bytes=round(per_member), health_on_kb=c["resident_kb"])
        if "platform" in parts:
            p = platform_start(args.before, 2 if args.quick else 9, folder / "p")
            print(
                table(
                    ["off, version", "resident MB", "seconds to ready"],
                    [[side, spread(p["memory"][side]), spread(p["seconds"][side])] for side in p["memory"]],
                )
            )
            for side, values in p["memory"].items():
                measured[f"platform_mb_{side}"] = round(statistics.median(values), 2)
                measured[f"platform_start_s_{side}"] = round(statistics.median(p["seconds"][side]), 3)
    print(figures(**measured))
    return 0


if __name__ == "__main__":
    sys.exit(main())
