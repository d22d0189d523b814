"""Sums the counters of a fleet from the logs of its directors.

A director writes its counters at exit (and on SIGUSR1) as one `counters` line. A file may hold several incarnations of
a director, each of which starts with a `ready` line. The last `counters` line of an incarnation is its total; a killed
one writes none. Every event is also counted by name, with `dropped=N` added, so that a line that stands for N dropped
lines counts for all of them.

    python -m rookbend.testing.counter_totals LOGDIR [--json]

Prints the fleet's totals, the busiest director for each counter, and the events by name.
"""

from __future__ import annotations

import argparse
import shlex
import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

DESCRIPTION = "Reads the logs of the directors of a fleet and sums their counters."
COUNTERS_EVENT = "counters"
READY_EVENT = "ready"


def parse_line(line: str) -> dict[str, str]:
    """Returns the fields of one log line, logfmt or JSON, or {} for any other line, such as one of a traceback."""
    line = line.strip()
    if line.startswith("{"):
        return _parse_json(line)
    try:
        words = shlex.split(line)
    except ValueError:
        return {}
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    return fields if "event" in fields else {}


def _parse_json(line: str) -> dict[str, str]:
    try:
        content = msgspec.json.decode(line)
    except msgspec.DecodeError:
        return {}
    if not isinstance(content, dict):
        return {}
    return {str(key): str(value) for key, value in content.items()}


@dataclass(frozen=True, slots=True)
class Maximum:
    """The highest value that a director reports, and the name of that director."""

    value: int
    director: str


class FleetTotals:
    """Totals of the logs of one fleet: counters summed over all incarnations, and events counted by name."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.maxima: dict[str, Maximum] = {}  # by counter
        self.directors = 0  # whose log has counters
        self.unreadable_lines = 0  # such as those of tracebacks

    def add_log(self, director: str, lines: Iterable[str]) -> None:
        """Adds the log of one director."""
        director_counters: Counter[str] = Counter()
        incarnation_counters: dict[str, int] = {}
        for line in lines:
            if not line.strip():
                continue
            fields = parse_line(line)
            event = fields.get("event")
            if event is None:
                self.unreadable_lines += 1
                continue
            self.events[event] += 1 + int(fields.get("dropped", 0) or 0)
            if event == COUNTERS_EVENT:
                incarnation_counters = {name: int(value) for name, value in fields.items() if value.isdigit()}
            elif event == READY_EVENT:
                # A new incarnation starts: the counters of the previous one are final.
                director_counters.update(incarnation_counters)
                incarnation_counters = {}
        director_counters.update(incarnation_counters)
        self._add_counters(director, director_counters)

    def _add_counters(self, director: str, counters: Counter[str]) -> None:
        self.directors += bool(counters)
        self.counters.update(counters)
        for name, value in counters.items():
            maximum = self.maxima.get(name)
            if maximum is None or value > maximum.value:
                self.maxima[name] = Maximum(value, director)

    def report(self) -> dict[str, Any]:
        """Returns the totals as the object that the program prints as JSON."""
        return {
            "directors": self.directors,
            "counters": dict(sorted(self.counters.items())),
            "busiest": {name: [maximum.value, maximum.director] for name, maximum in sorted(self.maxima.items())},
            "events": dict(self.events.most_common()),
            "unreadable_lines": self.unreadable_lines,
        }


def read_logs(folder: Path) -> FleetTotals:
    """Returns the totals of the `*.log` files of a folder, one file for each director."""
    totals = FleetTotals()
    for path in sorted(folder.glob("*.log")):
        with path.open(errors="replace") as lines:
            totals.add_log(path.stem, lines)
    return totals


def print_report(report: dict[str, Any]) -> None:
    """Prints the report as a table."""
    print(f"{report['directors']} directors, {report['unreadable_lines']} lines that are no event")
    for name, value in report["counters"].items():
        maximum, director = report["busiest"][name]
        print(f"  {name:16} {value:10}   most {maximum} ({director})")
    for event, count in report["events"].items():
        print(f"  event {event:28} {count:8}")


def main(argv: list[str] | None = None) -> int:
    """Prints the totals of a folder of logs; returns exit code 0."""
    parser = argparse.ArgumentParser(prog="python -m rookbend.testing.counter_totals", description=DESCRIPTION)
    parser.add_argument("logs", type=Path, help="a folder of director logs, one file for each director")
    parser.add_argument("--json", action="store_true", help="one JSON object instead of the table")
    args = parser.parse_args(argv)
    report = read_logs(args.logs).report()
    if args.json:
        print(msgspec.json.encode(report).decode())
    else:
        print_report(report)
    return 0


if __name__ == "__main__":
    sys.exit(main())
