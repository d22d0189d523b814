"""A fleet of directors before one origin: the connections that writes cost it, now and in a version before.

    python -m benchmarks.fleet [--quick] [--before REV]

Directors are processes of their own on loopback, each with clients of its own that send `form`
open-loop at a low rate, as every director of a large fleet does. The stand-in origin counts the
connections it accepts.
Sides: this checkout, and the version REV (default 1913c51, the last before fleet growth) taken from git into
a folder of its own; turns alternate between the sides and are repeated. Held fixed: the number of directors,
their clients' rate and seed, the length of a turn.

Figures: connections at the origin a write (counts), writes served a write sent, CPU seconds a director.
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

HERE = Path(__file__).parent.parent
SEED = 11
BEFORE = "1913c51"
RATE = 3.0  # writes a second, of each director's clients


def checkout(rev: str, into: Path) -> Path:
    """The sources of REV in a folder, read by git; the current environment's libraries serve both."""
    into.mkdir(parents=True, exist_ok=True)
    archive = subprocess.run(
        ["git", "-C", str(HERE), "archive", rev, "rookbend"], check=True, capture_output=True
    ).stdout
    subprocess.run(["tar", "-x", "-C", str(into)], input=archive, check=True)
    return into


async def turn(code: Path, directors: int, seconds: float, folder: Path) -> dict:
    async with open_fleet(2) as made:
        nodes, addresses = [], []
        for me in range(directors):
            port = find_free_port()
            place = folder / f"n{me}"
            place.mkdir(parents=True, exist_ok=True)
            nodes.append(DirectorProcess(code, place, made.director_config(False, port, me, directors)))
            addresses.append(("127.0.0.1", port))
        origin = made.origin
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
            await trio.sleep(0.5)  # the last answers
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


SIZES = {"smallest": (1, 1.0, 1), "quick": (4, 3.0, 2), "full": (16, 10.0, 3)}  # directors, seconds, turns


async def main(size: str, rev: str) -> None:
    directors, seconds, rounds = SIZES[size]
    with tempfile.TemporaryDirectory() as tmp:
        sides = {"before": checkout(rev, Path(tmp) / "before"), "now": HERE}
        found: dict[str, list[dict]] = {side: [] for side in sides}
        began = time.monotonic()
        for number in range(rounds):
            for side, code in sides.items() if number % 2 == 0 else reversed(sides.items()):
                found[side].append(await turn(code, directors, seconds, Path(tmp) / f"{side}{number}"))
    rows = []
    for side, turns in found.items():
        rows.append(
            [
                side,
                spread([t["per_write"] for t in turns]),
                spread([t["served"] for t in turns]),
                spread([float(t["writes"]) for t in turns]),
                spread([t["cpu_s"] for t in turns]),
            ]
        )
    print(
        f"{machine()}; {directors} directors, {RATE} writes a second each, {seconds} s a turn, "
        f"{rounds} turns a side, seed {SEED}, before = {rev}; {time.monotonic() - began:.0f} s"
    )
    print(table(["side", "origin connections a write", "served a write", "writes", "CPU s a director"], rows))
    median = {side: statistics.median(t["per_write"] for t in turns) for side, turns in found.items()}
    served = {side: statistics.median(t["served"] for t in turns) for side, turns in found.items()}
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
    parser.add_argument("--smallest", action="store_true", help="the least that runs; shows nothing")
    parser.add_argument("--before", default=BEFORE, help="the version to compare with, a git revision")
    args = parser.parse_args()
    trio.run(main, "smallest" if args.smallest else "quick" if args.quick else "full", args.before)
    sys.exit(0)
