"""The memory of a process, as the kernel reports it (proc(5), `status`)."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple


class ProcessMemory(NamedTuple):
    """In KiB: the resident memory, its peak, and the part of it that is no file."""

    resident_kb: int
    resident_peak_kb: int
    private_kb: int


def read_memory(pid: int | str = "self") -> ProcessMemory | None:
    """The memory of a process, by default of this one; None once it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return None
    values = dict(line.split(":", 1) for line in lines)
    if "VmRSS" not in values:
        return None  # it has ended, and nobody has waited for it
    resident, peak, private = (int(values[name].split()[0]) for name in ("VmRSS", "VmHWM", "RssAnon"))
    return ProcessMemory(resident, peak, private)
