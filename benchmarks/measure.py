"""What all measurements share: the machine's size, percentiles, a table, the line of figures."""

from __future__ import annotations

import json
import math
import os
import platform
import statistics


def machine() -> str:
    with open("/proc/meminfo", encoding="ascii") as f:
        memory = int(f.readline().split()[1]) >> 20
    return f"{os.cpu_count()} cores, {memory} GiB, Python {platform.python_version()}"


def percentile(values: list[float], share: float) -> float:
    """The least value that `share` of all are not above; NaN of nothing."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else math.nan


def spread(values: list[float]) -> str:
    """median (least to most)."""
    return f"{statistics.median(values):.3g} ({min(values):.3g} to {max(values):.3g})"


def table(head: list[str], rows: list[list]) -> str:
    every = [head, *[[f"{c:.4g}" if isinstance(c, float) else str(c) for c in row] for row in rows]]
    widths = [max(len(row[i]) for row in every) for i in range(len(head))]
    return "\n".join("  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)) for row in every)


def figures(**found) -> str:
    return json.dumps(found, sort_keys=True)
