"""Counts across a fleet: reads the logs of many directors and adds up what they say.

A director writes its counters at exit (and on SIGUSR1) as one `counters` line. A file may hold several lives
of a director, each begun by `ready`: a life's last `counters` line is its total, and one killed writes none.
Every other event is counted by name, with `dropped=N` added back, so that a line kept for many dropped ones
counts for all of them.

    python -m rookbend.testing.counter_totals LOGDIR [--json]

Prints the fleet's totals, the busiest director for each counter, and the events by name.
"""

from __future__ import annotations

import argparse
import shlex
import sys
from collections import Counter
from pathlib import Path

import msgspec


def fields_of(line: str) -> dict[str, str]:
    """The fields of one log line, logfmt or JSON; {} for a line that is neither (a traceback, say)."""
    line = line.strip()
    if line.startswith("{"):
        try:
            value = msgspec.json.decode(line)
        except msgspec.DecodeError:
            return {}
        return {str(k): str(v) for k, v in value.items()} if isinstance(value, dict) else {}
    try:
        words = shlex.split(line)
    except ValueError:
        return {}
    pairs = dict(word.split("=", 1) for word in words if "=" in word)
    return pairs if "event" in pairs else {}


class Tally:
    """Totals of one fleet's logs: counters summed over every life, events counted by name."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.most: dict[str, tuple[int, str]] = {}  # counter: (highest of one director, which)
        self.directors = 0  # logs that held counters
        self.faults = 0  # lines that are no event: tracebacks and the like

    def read(self, name: str, lines) -> None:
        mine: Counter[str] = Counter()
        life: dict[str, int] = {}
        for line in lines:
            if not line.strip():
                continue
            fields = fields_of(line)
            event = fields.get("event")
            if event is None:
                self.faults += 1
                continue
            self.events[event] += 1 + int(fields.get("dropped", 0) or 0)
            if event == "counters":
                life = {k: int(v) for k, v in fields.items() if v.isdigit()}
            elif event == "ready" and life:
                mine.update(life)  # a new life: the last one's totals are final
                life = {}
        mine.update(life)
        self.directors += bool(mine)
        self.counters.update(mine)
        for key, value in mine.items():
            if value > self.most.get(key, (-1, ""))[0]:
                self.most[key] = (value, name)

    def report(self) -> dict:
        return {
            "directors": self.directors,
            "counters": dict(sorted(self.counters.items())),
            "busiest": {k: list(v) for k, v in sorted(self.most.items())},
            "events": dict(self.events.most_common()),
            "unreadable_lines": self.faults,
        }


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m rookbend.testing.counter_totals", description=__doc__.splitlines()[0]
    )
    parser.add_argument("logs", type=Path, help="a folder of director logs, one file a director")
    parser.add_argument("--json", action="store_true", help="one JSON object instead of the table")
    args = parser.parse_args(argv)
    tally = Tally()
    for path in sorted(args.logs.glob("*.log")):
        with path.open(errors="replace") as lines:
            tally.read(path.stem, lines)
    report = tally.report()
    if args.json:
        print(msgspec.json.encode(report).decode())
        return 0
    print(f"{report['directors']} directors, {report['unreadable_lines']} lines that are no event")
    for key, value in report["counters"].items():
        most, who = report["busiest"][key]
        print(f"  {key:16} {value:10}   most {most} ({who})")
    for event, count in report["events"].items():
        print(f"  event {event:28} {count:8}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
