"""Connections that writes open at the origin behind a fleet of directors, compared with an earlier version.

    python -m benchmarks.fleet [--quick] [--before REV]

Each director is a process on loopback with its own clients, which send `form` requests open-loop at a low
rate, as the clients of each director of a large fleet do. The stand-in origin counts the connections that it
accepts. The sides are this checkout and the version REV, which git extracts into a temporary folder (default
1913c51, the last version before fleet growth). Turns (single measurements) alternate between the sides and are
repeated. Fixed: the number of directors, their clients' rate and seed, and the length of a turn.

Figures: origin connections per write, writes served per write sent, CPU seconds per director.
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import trio

from benchmarks.measure import figures, machine, spread, table
from rookbend.testing.director_process import DirectorProcess, find_free_port, running_directors
from rookbend.testing.measurement_fleet import open_fleet
from rookbend.testing.open_loop_client import OpenLoopClient

ROOT = Path(__file__).parent.parent
SEED = 11
BEFORE = "1913c51"
RATE = 3.0  # writes per second of each director's clients


def checkout(rev: str, into: Path) -> Path:
    """Extracts the sources of REV from git into a folder; both versions use the libraries of this environment."""
    into.mkdir(parents=True, exist_ok=True)
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", rev, "rookbend"], check=True, capture_output=True
    ).stdout
    subprocess.run(["tar", "-x", "-C", str(into)], input=archive, check=True)
    return into


async def measure(code: Path, directors: int, seconds: float, folder: Path) -> dict:
    async with open_fleet(2) as fleet:
        nodes, addresses = [], []
        for number in range(directors):
            port = find_free_port()
            working_folder = folder / f"n{number}"
            working_folder.mkdir(parents=True, exist_ok=True)
            nodes.append(DirectorProcess(code, working_folder, fleet.director_config(False, port, number, directors)))
            addresses.append(("127.0.0.1", port))
        origin = fleet.origin
        async with running_directors(*nodes):
            before = origin.connections
            clients = [
                OpenLoopClient(a, RATE, ["%016x" % i for i in range(1, 50)], SEED + i, "form")
                for i, a in enumerate(addresses)
            ]
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as nursery:
                    for c in clients:
                        nursery.start_soon(c.run)
            await trio.sleep(0.5)  # until the last responses have arrived
            cpu = [node.cpu_s() for node in nodes]
            opened = origin.connections - before
        sent = sum(len(c.timings) + len(c.due_s) for c in clients)
        served = sum(1 for c in clients for _, _, code in c.timings if code == 0)
    return {
        "writes": sent,
        "served": served / max(sent, 1),
        "connections": opened,
        "per_write": opened / max(sent, 1),
        "cpu_s": statistics.mean(cpu),
    }


SIZES = {
    "smallest": (1, 1.0, 1),
    "quick": (4, 3.0, 2),
    "full": (16, 10.0, 3),
}  # directors, seconds per turn, turns per side


async def main(size: str, rev: str) -> None:
    directors, seconds, rounds = SIZES[size]
    with tempfile.TemporaryDirectory() as tmp:
        sides = {"before": checkout(rev, Path(tmp) / "before"), "now": ROOT}
        runs: dict[str, list[dict]] = {side: [] for side in sides}
        began = time.monotonic()
        for number in range(rounds):
            for side, code in sides.items() if number % 2 == 0 else reversed(sides.items()):
                runs[side].append(await measure(code, directors, seconds, Path(tmp) / f"{side}{number}"))
    rows = []
    for side, results in runs.items():
        rows.append(
            [
                side,
                spread([r["per_write"] for r in results]),
                spread([r["served"] for r in results]),
                spread([float(r["writes"]) for r in results]),
                spread([r["cpu_s"] for r in results]),
            ]
        )
    print(
        f"{machine()}; {directors} directors, {RATE} writes a second each, {seconds} s a turn, "
        f"{rounds} turns a side, seed {SEED}, before = {rev}; {time.monotonic() - began:.0f} s"
    )
    print(table(["side", "origin connections a write", "served a write", "writes", "CPU s a director"], rows))
    median = {side: statistics.median(r["per_write"] for r in results) for side, results in runs.items()}
    served = {side: statistics.median(r["served"] for r in results) for side, results in runs.items()}
    print(
        figures(
            directors=directors,
            seconds=seconds,
            rounds=rounds,
            seed=SEED,
            before=rev,
            per_write=median,
            served=served,
            ratio=median["before"] / max(median["now"], 1e-9),
        )
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="python -m benchmarks.fleet", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="4 directors, two turns a side (under 45 s)")
    parser.add_argument("--smallest", action="store_true", help="the smallest size that runs; its figures mean nothing")
    parser.add_argument("--before", default=BEFORE, help="the git revision to compare with")
    args = parser.parse_args()
    trio.run(main, "smallest" if args.smallest else "quick" if args.quick else "full", args.before)
    sys.exit(0)
