"""Output of the sub-commands: JSON, ages, and tables in plain text or live."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from rookbend.cli.admin_client import JsonObject
from rookbend.cli.errors import UsageError

if TYPE_CHECKING:
    from rich.table import Table

Rows = list[list[str]]

WATCH_INTERVAL_S = 1.0
_SECONDS_SHOWN_BELOW_S = 100
_MINUTES_SHOWN_BELOW_S = 6000


def print_json(content: JsonObject) -> None:
    """Prints a response as indented JSON."""
    json.dump(content, sys.stdout, indent=2)
    print()


def format_age(age_us: int | None) -> str:
    """Formats a time span in seconds, minutes or hours; None becomes "never"."""
    if age_us is None:
        return "never"
    seconds = age_us / 1e6
    if seconds < _SECONDS_SHOWN_BELOW_S:
        return f"{seconds:.1f}s"
    if seconds < _MINUTES_SHOWN_BELOW_S:
        return f"{seconds / 60:.0f}m"
    return f"{seconds / 3600:.0f}h"


def format_age_ms(age_ms: int | None) -> str:
    """Like `format_age`, for milliseconds."""
    return format_age(None if age_ms is None else age_ms * 1000)


def format_table(header: Sequence[str], rows: Rows) -> str:
    """Formats a table in plain text with aligned columns."""
    all_rows = [list(header), *rows]
    widths = [max(len(row[column]) for row in all_rows) for column in range(len(header))]
    lines = ("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in all_rows)
    return "\n".join(line.rstrip() for line in lines)


def watch_table(header: Sequence[str], read_rows: Callable[[], Rows]) -> int:
    """Refreshes the table every second until interrupted; returns exit code 0. Raises `UsageError` without rich."""
    try:
        from rich.live import Live
        from rich.table import Table
    except ImportError:
        raise UsageError("--watch needs rich: pip install 'rookbend[ops]'") from None

    def build_table() -> Table:
        table = Table(*header)
        for row in read_rows():
            table.add_row(*row)
        return table

    try:
        with Live(build_table(), auto_refresh=False) as live:
            while True:
                time.sleep(WATCH_INTERVAL_S)
                live.update(build_table(), refresh=True)
    except KeyboardInterrupt:
        return 0
