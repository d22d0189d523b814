"""`rookbend demo`: a fleet on this machine loses its power and returns."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from rookbend.cli import UsageError

HELP = "start a fleet of directors on this machine, cut its power, and show how it returns"
EXAMPLE = "rookbend demo --directors 3"
HEAD = "NAME", "WHAT", "STATE", "DONE"
BAR = 30


def add(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--directors", type=int, default=3, metavar="N", help="default %(default)s")
    parser.add_argument("--seed", type=int, default=7, help="repeats a run's draws (default %(default)s)")
    parser.add_argument("--calm", type=float, default=8.0, metavar="S", help="seconds before the power goes")
    parser.add_argument("--after", type=float, default=20.0, metavar="S", help="seconds watched after")
    parser.add_argument("--json", action="store_true", help="the report as one JSON object, no table")
    parser.add_argument("--keep", type=Path, metavar="DIR", help="leave configurations and logs there")


def told(report: dict) -> str:
    """The report for people."""
    lines = [
        f"{report['directors']} directors, {report['requests']} requests, seed {report['seed']}; "
        f"the power went at {report['lost_at']:g} s and came back at {report['back_at']:g} s",
        "",
        "order of return (seconds after the power):",
    ]
    lines += [f"  {name:4} {at:6.2f}" for name, at in report["return"]]
    lines += ["", "worth earned of the worth asked for, by second:"]
    for second, share in enumerate(report["worth"]):
        mark = "  < dark" if report["lost_at"] - 1 < second < report["back_at"] else ""
        drawn = "" if share is None else "#" * round(share * BAR)
        lines.append(f"  {second:3} {drawn:{BAR}} {'-' if share is None else f'{share:4.0%}'}{mark}")
    falls = ", ".join(f"{name} {n}" for name, n in report["falls"].items()) or "none"
    lines += [
        "",
        f"pushed over: {falls}",
        f"rules, on {report['seen']} things seen: "
        + ", ".join(f"{rule} {n or 'kept'}" for rule, n in report["rules"].items()),
    ]
    lines += [f"  {breach}" for breach in report["breaches"]]
    return "\n".join(lines)


def run(args: argparse.Namespace) -> int:
    import trio

    from rookbend.testing.demo import Demo, Plan

    if not 1 <= args.directors <= 40:
        raise UsageError("--directors: 1 to 40")
    plan = Plan(args.directors, seed=args.seed, calm_s=args.calm, after_s=args.after)
    if args.keep:
        args.keep.mkdir(parents=True, exist_ok=True)
    if args.json or not sys.stdout.isatty():
        report = trio.run(Demo(plan, lambda act, rows: None).run, args.keep)
    else:
        report = shown(plan, args.keep)
    print(json.dumps(report) if args.json else told(report))
    return 1 if report["breaches"] else 0


def shown(plan, keep: Path | None) -> dict:
    """Runs it with a live table."""
    import trio

    from rookbend.testing.demo import Demo

    try:
        from rich.live import Live
        from rich.table import Table
    except ImportError:
        raise UsageError("the table needs rich: pip install 'rookbend[ops]', or use --json") from None

    def drawn(act: str, rows: list[list[str]]) -> Table:
        table = Table(*HEAD, title=act)
        for row in rows:
            table.add_row(*row)
        return table

    with Live(drawn("starting", []), auto_refresh=False, transient=True) as live:
        return trio.run(Demo(plan, lambda act, rows: live.update(drawn(act, rows), refresh=True)).run, keep)
