"""Durable state: storage libraries compared, and the effect on the event loop.

    python -m benchmarks.state [--quick | --smallest]

1. commit: milliseconds of a durable commit of 1 and of 64 rows; kilobytes on disk after 1,000 members; milliseconds to
   open and read them; resident memory added. The sides alternate and are repeated, each in its own process: SQLite with
   apsw (which the program uses), SQLite with the standard library, lmdb (if it is installed).
2. loop: how late a trio loop wakes (p99) while the state writer is idle and with 20 durable writes per second, and CPU
   seconds.

Fixed: the rows (key of 24 bytes, value of 60), the file system, the seed.
"""

from __future__ import annotations

import argparse
import importlib.util
import json
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import trio

from benchmarks.measure import figures, machine, percentile, spread, table
from rookbend.testing.process_memory import read_memory

MEMBERS = 1000
SIDES = "apsw", "sqlite3", "lmdb"
ROOT = Path(__file__).parent.parent


def resident_kb() -> int:
    """The resident memory of this process in KiB."""
    memory = read_memory()
    assert memory is not None
    return memory.resident_kb


def open_store(side: str, folder: Path):
    """Opens a store that syncs each commit; returns its functions commit(rows) and read()."""
    if side == "lmdb":
        import lmdb

        env = lmdb.open(str(folder), map_size=1 << 28, sync=True)

        def commit(rows):
            with env.begin(write=True) as txn:
                for key, value in rows:
                    txn.put(key.encode(), value)

        def read():
            with env.begin() as txn:
                return sum(1 for _ in txn.cursor())

        return commit, read
    if side == "apsw":
        import apsw

        db = apsw.Connection(str(folder / "state.db"))
    else:
        import sqlite3

        db = sqlite3.connect(folder / "state.db", isolation_level=None)
    for pragma in ("locking_mode=EXCLUSIVE", "journal_mode=WAL", "synchronous=FULL"):
        db.execute(f"PRAGMA {pragma}").fetchall()
    db.execute("CREATE TABLE IF NOT EXISTS rows(key TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID")

    def commit(rows):
        db.execute("BEGIN")
        db.executemany("INSERT OR REPLACE INTO rows VALUES(?, ?)", rows)
        db.execute("COMMIT")

    return commit, lambda: len(db.execute("SELECT * FROM rows").fetchall())


def measure_commits(side: str, commits: int, folder: Path) -> dict:
    """Measures commits; runs in its own process, which prints the result."""
    before = resident_kb()
    commit, _ = open_store(side, folder)
    rows = [(f"member-{i:017d}", b"x" * 60) for i in range(MEMBERS)]
    commit(rows)
    results = {}
    for size in (1, 64):
        times = []
        for i in range(commits):
            began = time.perf_counter()
            commit([(key, b"%060d" % i) for key, _ in rows[i % 900 : i % 900 + size]])
            times.append((time.perf_counter() - began) * 1000)
        results[f"commit_{size}_ms"] = statistics.median(times)
        results[f"commit_{size}_p99_ms"] = percentile(times, 0.99)
    results["resident_kb"] = resident_kb() - before
    results["disk_kb"] = sum(f.stat().st_blocks * 512 for f in folder.iterdir()) / 1024
    return results


def reopen(side: str, folder: Path) -> dict:
    began = time.perf_counter()
    _, read = open_store(side, folder)
    assert read() == MEMBERS
    return {"open_ms": (time.perf_counter() - began) * 1000}


def run_child(*arguments: str) -> dict:
    """Runs one measurement in its own process; returns its result."""
    completed = subprocess.run(
        [sys.executable, "-m", "benchmarks.state", "--child", *arguments],
        cwd=ROOT,
        check=True,
        text=True,
        capture_output=True,
    )
    return json.loads(completed.stdout)


async def loop_delay(seconds: float, writes_per_s: float, folder: Path) -> dict:
    """Lateness of an event loop that wakes every 2 ms, with and without durable writes."""
    from rookbend.state.disk import Disk
    from rookbend.state.ledger import Ledger
    from rookbend.state.model import Identity
    from rookbend.state.writer import Writer

    disk = Disk(folder, Identity("n0", "fleet"))
    ledger, writes, waits_ms = Ledger(1 << 20, disk.rows), 0, []
    token = trio.lowlevel.current_trio_token()

    def write_ended(number, fault):
        ledger.ended(0, number, fault)
        write_next_batch()

    def write_next_batch():
        if (batch := ledger.take(0)) is not None:
            writer.write(batch)

    writer = Writer(disk, lambda number, fault: token.run_sync_soon(write_ended, number, fault))
    late, cpu = [], time.process_time()
    due = begun = trio.current_time()
    next_put = begun
    while due < begun + seconds:
        due += 0.002
        await trio.sleep_until(due)
        late.append((trio.current_time() - due) * 1000)
        while writes_per_s and next_put < due:
            writes += 1
            next_put += 1 / writes_per_s
            began = time.perf_counter()
            ledger.put(
                writes,
                "order",
                f"k{writes % 200}",
                b"%060d" % writes,
                lambda safe, began=began: waits_ms.append((time.perf_counter() - began) * 1000),
            )
            write_next_batch()
    used = time.process_time() - cpu
    writer.stop()
    disk.close()
    return {"p99": percentile(late, 0.99), "cpu": used, "kept": writes, "safe_ms": percentile(waits_ms, 0.5)}


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.state", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="fewer commits and turns, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the smallest size that runs; its figures mean nothing")
    parser.add_argument("--child", nargs="*", help=argparse.SUPPRESS)
    args = parser.parse_args(argv)
    if args.child:
        kind, side, commits, folder = args.child
        store = Path(folder)
        print(json.dumps(measure_commits(side, int(commits), store) if kind == "one" else reopen(side, store)))
        return 0
    sizes = (5, 1, 0.2) if args.smallest else (100, 2, 3.0) if args.quick else (400, 5, 10.0)
    commits, turns, seconds = sizes
    sides = [s for s in SIDES if importlib.util.find_spec(s)]
    results: dict[str, list[dict]] = {side: [] for side in sides}
    delays: dict[str, list[dict]] = {"idle": [], "writes": []}
    print(machine())
    with tempfile.TemporaryDirectory(dir=ROOT) as name:
        for turn in range(turns):
            for side in sides if turn % 2 else reversed(sides):
                folder = Path(name) / f"{side}{turn}"
                folder.mkdir()
                row = run_child("one", side, str(commits), str(folder))
                results[side].append({**row, **run_child("reopen", side, "0", str(folder))})
            for kind, rate in (("idle", 0.0), ("writes", 20.0)):
                delays[kind].append(trio.run(loop_delay, seconds, rate, Path(name) / f"{kind}{turn}"))
    columns = list(results[sides[0]][0])
    print(
        table(
            ["side", *columns],
            [[side, *(spread([r[c] for r in rows]) for c in columns)] for side, rows in results.items()],
        )
    )
    print(
        table(
            ["loop", "late p99 ms", "CPU s", "writes", "durable after ms"],
            [
                [
                    kind,
                    spread([r["p99"] for r in rows]),
                    spread([r["cpu"] for r in rows]),
                    rows[-1]["kept"],
                    rows[-1]["safe_ms"],
                ]
                for kind, rows in delays.items()
            ],
        )
    )
    idle, busy = (statistics.median(r["p99"] for r in delays[k]) for k in ("idle", "writes"))
    print(
        figures(
            turns=turns,
            commits=commits,
            members=MEMBERS,
            loop_p99_ratio=round(busy / idle, 3),
            **{
                f"{side}_{c}": round(statistics.median(r[c] for r in rows), 3)
                for side, rows in results.items()
                for c in columns
            },
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
