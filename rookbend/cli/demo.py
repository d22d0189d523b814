"""`rookbend demo`: simulates a power loss of a fleet on this machine and reports the recovery."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from rookbend.cli.errors import UsageError

if TYPE_CHECKING:
    from rich.table import Table

    from rookbend.testing.demo import Plan

HELP = "start a fleet of directors on this machine, simulate a power loss, and show the recovery"
EXAMPLE = "rookbend demo --directors 3"
HEADER = "NAME", "WHAT", "STATE", "DONE"
MAX_DIRECTORS = 40
BAR_COLUMNS = 30

Report = dict[str, Any]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the size and times of the run, and the output options."""
    parser.add_argument(
        "--directors", type=int, default=3, metavar="N", help="number of directors (default %(default)s)"
    )
    parser.add_argument("--seed", type=int, default=7, help="seed of the random choices (default %(default)s)")
    parser.add_argument("--calm", type=float, default=8.0, metavar="S", help="seconds before the power loss")
    parser.add_argument(
        "--after",
        type=float,
        default=20.0,
        metavar="S",
        help="seconds observed after power returns, longer if a director is admitted later",
    )
    parser.add_argument("--json", action="store_true", help="print the report as one JSON object, no table")
    parser.add_argument("--keep", type=Path, metavar="DIR", help="keep configurations and logs in DIR")


def _format_second(report: Report, second: int, share: float | None) -> str:
    is_power_off = report["lost_at"] - 1 < second < report["back_at"]
    bar = "" if share is None else "#" * round(share * BAR_COLUMNS)
    percentage = "-" if share is None else f"{share:4.0%}"
    return f"  {second:3} {bar:{BAR_COLUMNS}} {percentage}{'  < power off' if is_power_off else ''}"


def format_report(report: Report) -> str:
    """Formats the report as text."""
    lines = [
        f"{report['directors']} directors, {report['requests']} requests, seed {report['seed']}; "
        f"power lost at {report['lost_at']:g} s, restored at {report['back_at']:g} s",
        "",
        "directors admitted again (seconds after power was restored):",
    ]
    lines += [f"  {name:4} {at_s:6.2f}" for name, at_s in report["return"]]
    lines += ["", "priority weight earned as a share of the weight of all requests, by second:"]
    lines += [_format_second(report, second, share) for second, share in enumerate(report["worth"])]
    overloads = ", ".join(f"{name} {count}" for name, count in report["falls"].items()) or "none"
    rules = ", ".join(f"{rule} {count or 'kept'}" for rule, count in report["rules"].items())
    lines += [
        "",
        f"overloads: {overloads}",
        f"rules (kept, or number of violations), checked on {report['seen']} events: {rules}",
    ]
    lines += [f"  {breach}" for breach in report["breaches"]]
    return "\n".join(lines)


def run(args: argparse.Namespace) -> int:
    """Runs the demonstration and prints the report; returns exit code 1 if a rule was violated."""
    import trio

    from rookbend.testing.demo import Demo, Plan

    if not 1 <= args.directors <= MAX_DIRECTORS:
        raise UsageError(f"--directors must be from 1 to {MAX_DIRECTORS}")
    plan = Plan(args.directors, seed=args.seed, before_outage_s=args.calm, after_return_s=args.after)
    if args.keep:
        args.keep.mkdir(parents=True, exist_ok=True)
    if args.json or not sys.stdout.isatty():
        report = trio.run(Demo(plan, lambda phase, rows: None).run, args.keep)
    else:
        report = run_with_table(plan, args.keep)
    print(json.dumps(report) if args.json else format_report(report))
    return 1 if report["breaches"] else 0


def run_with_table(plan: Plan, log_folder: Path | None) -> Report:
    """Runs the demonstration with a live table and returns the report. Raises `UsageError` without rich."""
    import trio

    from rookbend.testing.demo import Demo

    try:
        from rich.live import Live
        from rich.table import Table
    except ImportError:
        raise UsageError("the table needs rich: pip install 'rookbend[ops]', or use --json") from None

    def build_table(phase: str, rows: list[list[str]]) -> Table:
        table = Table(*HEADER, title=phase)
        for row in rows:
            table.add_row(*row)
        return table

    with Live(build_table("starting", []), auto_refresh=False, transient=True) as live:
        demo = Demo(plan, lambda phase, rows: live.update(build_table(phase, rows), refresh=True))
        return trio.run(demo.run, log_folder)
