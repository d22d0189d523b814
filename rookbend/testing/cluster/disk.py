"""The effects of power losses and damage on a director's state folder, applied while its process does not run.

While the process runs, `shim/faultydisk.py` keeps unsynced writes out of the real files.
"""

from __future__ import annotations

import shutil
import struct
from pathlib import Path

WRITE_HEADER = struct.Struct("=qi")
UNSYNCED_SUFFIX = ".unsynced"


def discard_unsynced(folder: Path) -> int:
    """Discards unsynced writes. Returns their size in bytes, record headers included."""
    gone = 0
    for unsynced_file in folder.glob(f"*{UNSYNCED_SUFFIX}"):
        gone += unsynced_file.stat().st_size
        unsynced_file.unlink()
    return gone


def apply_torn_writes(folder: Path, part: float) -> int:
    """Applies the first `part` of the unsynced writes in their order, and only half of the last one. Returns the bytes
    written. A real disk may reorder writes too, but SQLite's checksums detect both alike."""
    written = 0
    for unsynced_file in folder.glob(f"*{UNSYNCED_SUFFIX}"):
        data, position, records = unsynced_file.read_bytes(), 0, []
        while position + WRITE_HEADER.size <= len(data):
            offset, length = WRITE_HEADER.unpack_from(data, position)
            position += WRITE_HEADER.size
            records.append((offset, None if length < 0 else data[position : position + length]))
            position += max(length, 0)
        applied = records[: max(1, int(len(records) * part))]
        with open(unsynced_file.with_name(unsynced_file.name.removesuffix(UNSYNCED_SUFFIX)), "r+b") as file:
            for index, (offset, chunk) in enumerate(applied):
                if chunk is None:
                    file.truncate(offset)
                    continue
                if index == len(applied) - 1:
                    chunk = chunk[: len(chunk) // 2]
                file.seek(offset)
                file.write(chunk)
                written += len(chunk)
        unsynced_file.unlink()
    return written


def copy_folder(folder: Path, to: Path) -> None:
    """Copies a state folder without unsynced writes, to take or to restore a backup."""
    if to.exists():
        shutil.rmtree(to)
    shutil.copytree(folder, to, ignore=shutil.ignore_patterns(f"*{UNSYNCED_SUFFIX}"))


def corrupt_database(folder: Path) -> None:
    """Overwrites the first 100 bytes of the database and removes its -wal and -shm files."""
    path = folder / "state.db"
    data = bytearray(path.read_bytes())
    data[:100] = b"\xff" * 100
    path.write_bytes(data)
    for journal in ("-wal", "-shm"):
        (folder / f"state.db{journal}").unlink(missing_ok=True)
