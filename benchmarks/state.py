"""Durable state: two libraries side by side, and what it costs the loop.

    python -m benchmarks.state [--quick | --smallest]

1. commit: seconds of a durable commit of 1 and of 64 rows; bytes on disk after 1,000 members; seconds to open
   and read them; resident memory added. Sides, in turn and repeated, each in a process of its own: SQLite by
   apsw (what the program uses), SQLite by the standard library, lmdb (where it is installed).
2. loop: how late a trio loop wakes (p99) with the part idle and with 20 promises a second; and CPU a promise.

Held fixed: the rows (key of 24 bytes, value of 60), the folder's file system, the seed.
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

MEMBERS = 1000
SIDES = "apsw", "sqlite3", "lmdb"
HERE = Path(__file__).parent.parent


def resident_kb() -> int:
    with open("/proc/self/status", encoding="ascii") as f:
        return next(int(line.split()[1]) for line in f if line.startswith("VmRSS"))


def opened(side: str, folder: Path):
    """(commit(rows), read()) of a store that syncs each commit."""
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


def one(side: str, commits: int, folder: Path) -> dict:
    """Runs in a process of its own: what is printed is this."""
    before = resident_kb()
    commit, _ = opened(side, folder)
    rows = [(f"member-{i:017d}", b"x" * 60) for i in range(MEMBERS)]
    commit(rows)
    found = {}
    for size in (1, 64):
        times = []
        for i in range(commits):
            began = time.perf_counter()
            commit([(key, b"%060d" % i) for key, _ in rows[i % 900 : i % 900 + size]])
            times.append((time.perf_counter() - began) * 1000)
        found[f"commit_{size}_ms"] = statistics.median(times)
        found[f"commit_{size}_p99_ms"] = percentile(times, 0.99)
    found["resident_kb"] = resident_kb() - before
    found["disk_kb"] = sum(f.stat().st_blocks * 512 for f in folder.iterdir()) / 1024
    return found


def reopen(side: str, folder: Path) -> dict:
    began = time.perf_counter()
    _, read = opened(side, folder)
    assert read() == MEMBERS
    return {"open_ms": (time.perf_counter() - began) * 1000}


def child(*words: str) -> dict:
    ended = subprocess.run(
        [sys.executable, "-m", "benchmarks.state", "--child", *words],
        cwd=HERE,
        check=True,
        text=True,
        capture_output=True,
    )
    return json.loads(ended.stdout)


async def loop_delay(seconds: float, a_second: float, folder: Path) -> dict:
    """Lateness of a loop that wakes each 2 ms, while promises are kept, or none."""
    from rookbend.state.disk import Disk
    from rookbend.state.ledger import Ledger
    from rookbend.state.model import Identity
    from rookbend.state.writer import Writer

    disk = Disk(folder, Identity("n0", "fleet"))
    ledger, kept, waits = Ledger(1 << 20, disk.rows), 0, []
    token = trio.lowlevel.current_trio_token()

    def ended(number, fault):
        ledger.ended(0, number, fault)
        hand_over()

    def hand_over():
        if (batch := ledger.take(0)) is not None:
            writer.write(batch)

    writer = Writer(disk, lambda number, fault: token.run_sync_soon(ended, number, fault))
    late, cpu = [], time.process_time()
    due = begun = trio.current_time()
    next_put = begun
    while due < begun + seconds:
        due += 0.002
        await trio.sleep_until(due)
        late.append((trio.current_time() - due) * 1000)
        while a_second and next_put < due:
            kept += 1
            next_put += 1 / a_second
            at = time.perf_counter()
            ledger.put(
                kept,
                "order",
                f"k{kept % 200}",
                b"%060d" % kept,
                lambda safe, at=at: waits.append((time.perf_counter() - at) * 1000),
            )
            hand_over()
    used = time.process_time() - cpu
    writer.stop()
    disk.close()
    return {"p99": percentile(late, 0.99), "cpu": used, "kept": kept, "safe_ms": percentile(waits, 0.5)}


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.state", description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="fewer commits and turns, under 45 s")
    parser.add_argument("--smallest", action="store_true", help="the least that runs; shows nothing")
    parser.add_argument("--child", nargs="*", help=argparse.SUPPRESS)
    args = parser.parse_args(argv)
    if args.child:
        what, side, commits, folder = args.child
        here = Path(folder)
        print(json.dumps(one(side, int(commits), here) if what == "one" else reopen(side, here)))
        return 0
    sizes = (5, 1, 0.2) if args.smallest else (100, 2, 3.0) if args.quick else (400, 5, 10.0)
    commits, turns, seconds = sizes
    sides = [s for s in SIDES if importlib.util.find_spec(s)]
    found: dict[str, list[dict]] = {side: [] for side in sides}
    delays: dict[str, list[dict]] = {"idle": [], "promises": []}
    print(machine())
    with tempfile.TemporaryDirectory(dir=HERE) as name:
        for turn in range(turns):
            for side in sides if turn % 2 else reversed(sides):
                folder = Path(name) / f"{side}{turn}"
                folder.mkdir()
                row = child("one", side, str(commits), str(folder))
                found[side].append({**row, **child("reopen", side, "0", str(folder))})
            for what, rate in (("idle", 0.0), ("promises", 20.0)):
                delays[what].append(trio.run(loop_delay, seconds, rate, Path(name) / f"{what}{turn}"))
    columns = list(found[sides[0]][0])
    print(
        table(
            ["side", *columns],
            [[side, *(spread([r[c] for r in rows]) for c in columns)] for side, rows in found.items()],
        )
    )
    print(
        table(
            ["loop", "late p99 ms", "CPU s", "promises", "safe after ms"],
            [
                [
                    what,
                    spread([r["p99"] for r in rows]),
                    spread([r["cpu"] for r in rows]),
                    rows[-1]["kept"],
                    rows[-1]["safe_ms"],
                ]
                for what, rows in delays.items()
            ],
        )
    )
    idle, busy = (statistics.median(r["p99"] for r in delays[k]) for k in ("idle", "promises"))
    print(
        figures(
            turns=turns,
            commits=commits,
            members=MEMBERS,
            loop_p99_ratio=round(busy / idle, 3),
            **{
                f"{side}_{c}": round(statistics.median(r[c] for r in rows), 3)
                for side, rows in found.items()
                for c in columns
            },
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
