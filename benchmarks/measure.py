"""Helpers that all benchmarks share: the machine's size, percentiles, tables and the line of figures."""

from __future__ import annotations

import json
import math
import os
import platform
import statistics


def machine() -> str:
    """The number of cores, the memory and the Python version of this machine."""
    with open("/proc/meminfo", encoding="ascii") as f:
        memory = int(f.readline().split()[1]) >> 20
    return f"{os.cpu_count()} cores, {memory} GiB, Python {platform.python_version()}"


def percentile(values: list[float], fraction: float) -> float:
    """The least value that at least `fraction` of all values do not exceed (nearest rank); NaN without values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)] if ordered else math.nan


def spread(values: list[float]) -> str:
    """The values as `median (minimum to maximum)`."""
    return f"{statistics.median(values):.3g} ({min(values):.3g} to {max(values):.3g})"


def table(head: list[str], rows: list[list]) -> str:
    """A table of right-aligned columns."""
    lines = [head, *[[f"{c:.4g}" if isinstance(c, float) else str(c) for c in row] for row in rows]]
    widths = [max(len(row[i]) for row in lines) for i in range(len(head))]
    return "\n".join("  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)) for row in lines)


def figures(**values) -> str:
    """The figures as JSON on one line, which each benchmark prints last."""
    return json.dumps(values, sort_keys=True)
