"""`rookbend recovery`: why a director is at its stage, and orders to it."""

from __future__ import annotations

import argparse

from rookbend.cli import admin_client
from rookbend.cli.admin_client import JsonObject
from rookbend.cli.tables import print_json

HELP = "explain where a director stands in its recovery, or hold, resume, skip a stage"
EXAMPLE = "rookbend recovery --admin 127.0.0.1:9100 explain"
EXPLAIN = "explain"
CHOICES = EXPLAIN, "hold", "resume", "skip"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """The order, and how to print."""
    parser.add_argument("word", nargs="?", choices=CHOICES, default=EXPLAIN, help="default: explain")
    admin_client.add_admin_option(parser)
    parser.add_argument("--json", action="store_true", help="the answer as it comes")


def format_status(status: JsonObject) -> str:
    """The response of `/recovery` for people."""
    waits_for = f"; waits for {status['waits_for']}" if status["waits_for"] else ""
    lines = [
        f"{status['director']}: {status['stage']} for {status['for_ms'] / 1000:.1f} s{waits_for}",
        f"what happened: {status['happened']}; {status['up_share']:.0%} of the fleet is up",
        "purges of the dark time: " + ("open" if status["gap"] == "open" else f"told by {status['gap']}"),
    ]
    if status["fleet_rate"] is None:
        lines.append("nothing is limited")
    else:
        lines.append(
            f"towards the origin: {status['fleet_rate']:g} calls a second of the fleet, "
            f"{status['our_rate']:.2f} of ours; {status['origin_bad']:.0%} of late ended badly"
        )
    if status["drains"]:
        lines.append(f"out by lists from before or of now: {', '.join(status['drains'])}")
    return "\n".join(lines)


def run(args: argparse.Namespace) -> int:
    """Gives the order, if there is one, and prints the status; exit code 0."""
    if args.word != EXPLAIN:
        admin_client.post(args.admin, "/recovery", {"order": args.word})
    status = admin_client.get(args.admin, "/recovery")
    if args.json:
        print_json(status)
    else:
        print(format_status(status))
    return 0
