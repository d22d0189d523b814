"""`rookbend recovery`: the recovery status of a director, and orders that control its recovery."""

from __future__ import annotations

import argparse

from rookbend.cli import admin_client
from rookbend.cli.admin_client import JsonObject
from rookbend.cli.tables import print_json

HELP = "explain the recovery stage of a director, or hold, resume or skip a stage"
EXAMPLE = "rookbend recovery --admin 127.0.0.1:9100 explain"
EXPLAIN = "explain"
CHOICES = EXPLAIN, "hold", "resume", "skip"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the order and the output options."""
    parser.add_argument("word", nargs="?", choices=CHOICES, default=EXPLAIN, help="default: explain")
    admin_client.add_admin_option(parser)
    parser.add_argument("--json", action="store_true", help="print the response as JSON")


def format_status(status: JsonObject) -> str:
    """Formats the response of `/recovery` as text."""
    waits_for = f"; waits for {status['waits_for']}" if status["waits_for"] else ""
    lines = [
        f"{status['director']}: {status['stage']} for {status['for_ms'] / 1000:.1f} s{waits_for}",
        f"failure class: {status['happened']}; {status['up_share']:.0%} of the fleet is up",
        "purges during the outage: " + ("open" if status["gap"] == "open" else f"received from {status['gap']}"),
    ]
    if status["fleet_rate"] is None:
        lines.append("calls to the origin are not limited")
    else:
        lines.append(
            f"calls to the origin: {status['fleet_rate']:g} per second for the fleet, "
            f"{status['our_rate']:.2f} for this director; {status['origin_bad']:.0%} of recent calls failed"
        )
    if status["drains"]:
        lines.append(f"drained by an earlier or the present membership: {', '.join(status['drains'])}")
    return "\n".join(lines)


def run(args: argparse.Namespace) -> int:
    """Gives the order, if there is one, and prints the status; returns exit code 0."""
    if args.word != EXPLAIN:
        admin_client.post(args.admin, "/recovery", {"order": args.word})
    status = admin_client.get(args.admin, "/recovery")
    if args.json:
        print_json(status)
    else:
        print(format_status(status))
    return 0
