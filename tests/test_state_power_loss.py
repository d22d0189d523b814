"""Durable state on a disk that loses unsynced writes, in a process that is killed."""

import subprocess
import sys

import pytest

from rookbend.testing.cluster import disk as faults
from rookbend.testing.cluster.process import SHIM
from tests.test_state import read

WRITES = """
import sys
from pathlib import Path
import faultydisk
from rookbend.state.disk import Disk
from rookbend.state.ledger import Ledger
from rookbend.state.model import Identity
disk = Disk(Path(sys.argv[1]), Identity("n0", "fleet"))
ledger = Ledger(1 << 20, disk.rows)
if sys.argv[2] == "unsynced":
    disk._db.execute("PRAGMA synchronous=OFF")
for i in range(10**9):
    ledger.put(i, "order", f"k{i}", b"x" * 400)
    batch = ledger.take(i)
    assert disk.write(batch) == ""
    ledger.ended(i, batch.number)
    print(f"k{i}", flush=True)
"""


def killed_after(tmp_path, count, mode):
    """The state folder and the keys that the process had reported as durable when it was killed."""
    (tmp_path / "stage").mkdir(exist_ok=True)
    folder = tmp_path / "state"
    env = {"PYTHONPATH": f"{SHIM}:{':'.join(sys.path)}", "ROOKBEND_STAGE": str(tmp_path / "stage")}
    with subprocess.Popen(
        [sys.executable, "-c", WRITES, folder, mode], env=env, text=True, stdout=subprocess.PIPE
    ) as child:
        reported = [child.stdout.readline().strip() for _ in range(count)]
        child.kill()
        reported += child.stdout.read().split()
    return folder, reported


@pytest.mark.parametrize(
    "loss",
    [faults.discard_unsynced, lambda f: faults.apply_torn_writes(f, 0.3), lambda f: faults.apply_torn_writes(f, 1.0)],
)
def test_rows_reported_as_durable_survive_a_power_loss_and_a_torn_write(tmp_path, loss):
    folder, reported = killed_after(tmp_path, 60, "synced")
    loss(folder)
    rows, disk = read(folder)
    assert not disk.moved_aside and not set(reported) - set(rows)


def test_the_faulty_disk_loses_unsynced_rows(tmp_path):
    folder, reported = killed_after(tmp_path, 60, "unsynced")
    assert faults.discard_unsynced(folder) > 0
    rows, _ = read(folder)
    assert set(reported) - set(rows), "the test above could not fail with a disk that loses nothing"
