"""`rookbend fleet`: what a running director knows of the others, and who holds which lease of the fleet."""

from __future__ import annotations

import argparse

from rookbend.cli import admin_client, fleet_leases
from rookbend.cli.admin_client import JsonObject
from rookbend.cli.tables import Rows, format_age_ms, format_table, print_json, watch_table

HELP = "show the directors of the fleet as one of them sees them, or who owns its work"
EXAMPLE = "rookbend fleet --admin 127.0.0.1:9100 --watch"
HEADER = "DIRECTOR", "BOOT", "PHASE", "STAGE", "AGE", "HEARD", "MISSING"
SHOW = "show"
CHOICES = SHOW, "owners", "move", "pin", "unpin", "without"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """The order with its operands, and how to print."""
    parser.add_argument(
        "word",
        nargs="?",
        default=SHOW,
        choices=CHOICES,
        help="owners: who owns which work; move, pin SCOPE PLACE; unpin SCOPE; "
        "without PLACE: whose it would be if that director were gone",
    )
    parser.add_argument("what", nargs="*", help="the scope, as in `owners`, and the director's place")
    admin_client.add_admin_option(parser)
    parser.add_argument("--json", action="store_true", help="the table as it comes")
    parser.add_argument("--watch", action="store_true", help="again each second, until interrupted")


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
    """The response of `/fleet` as rows under `HEADER`."""
    return [_director_row(director, table["me"]) for director in table["directors"]]


def run(args: argparse.Namespace) -> int:
    """Prints a table, or gives an order; exit code 0."""
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
