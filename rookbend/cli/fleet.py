"""`rookbend fleet`: the other directors as a running director sees them, and the holders of the fleet's leases."""

from __future__ import annotations

import argparse

from rookbend.cli import admin_client, fleet_leases
from rookbend.cli.admin_client import JsonObject
from rookbend.cli.tables import Rows, format_age_ms, format_table, print_json, watch_table

HELP = "show the directors of the fleet as one of them sees them, or show and move its leases"
EXAMPLE = "rookbend fleet --admin 127.0.0.1:9100 --watch"
HEADER = "DIRECTOR", "BOOT", "PHASE", "STAGE", "AGE", "HEARD", "MISSING"
SHOW = "show"
CHOICES = SHOW, "owners", "move", "pin", "unpin", "without"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the order with its operands, and the output options."""
    parser.add_argument(
        "word",
        nargs="?",
        default=SHOW,
        choices=CHOICES,
        help="owners: the holder of each scope; move, pin SCOPE DIRECTOR; unpin SCOPE; "
        "without DIRECTOR: the next holders if that director were gone",
    )
    parser.add_argument("what", nargs="*", help="the scope, as in `owners`, and the director's number")
    admin_client.add_admin_option(parser)
    parser.add_argument("--json", action="store_true", help="print the response as JSON")
    parser.add_argument("--watch", action="store_true", help="refresh every second until interrupted")


def _director_row(director: JsonObject, own_index: int) -> list[str]:
    is_own = director["number"] == own_index
    doubted = f"doubted: {director['doubted']}" if director["doubted"] else ""
    return [
        f"{'*' if is_own else ''}{director['number']}",
        str(director["boot"]),
        director["phase"],
        director["stage"],
        format_age_ms(director["age_ms"]),
        "-" if is_own else format_age_ms(director["heard_ms"]),
        director["missing"] or doubted,
    ]


def table_rows(table: JsonObject) -> Rows:
    """Converts the response of `/fleet` to rows under `HEADER`."""
    return [_director_row(director, table["me"]) for director in table["directors"]]


def run(args: argparse.Namespace) -> int:
    """Prints a table, or gives an order; returns exit code 0."""
    if args.word != SHOW:
        return fleet_leases.run(args.admin, args.word, args.what, args.json)
    if args.watch:
        return watch_table(HEADER, lambda: table_rows(admin_client.get(args.admin, "/fleet")))
    table = admin_client.get(args.admin, "/fleet")
    if args.json:
        print_json(table)
    else:
        print(format_table(HEADER, table_rows(table)))
        print(f"{table['director']}: {table['happened']}, {table['up']} of {len(table['directors'])} up")
    return 0
