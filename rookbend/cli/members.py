"""`rookbend members`: the members of a running director, and operators' orders on them."""

from __future__ import annotations

import argparse
import getpass

from rookbend.cli import admin_client
from rookbend.cli.admin_client import JsonObject
from rookbend.cli.errors import UsageError
from rookbend.cli.tables import Rows, format_age, format_table, print_json, watch_table

HELP = "show the members of a running director, or give an order on one"
EXAMPLE = "rookbend members --admin 127.0.0.1:9100 drain s-00c41f7a"
HEADER = "MEMBER", "ROLE", "STATE", "WEIGHT", "CAUSE", "AGE", "REASON"
ORDERS = "drain", "maintain", "ready"
NO_ORDER = "ready"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the order and its member, and the output options."""
    parser.add_argument("order", nargs="?", choices=ORDERS, help="an order on one member")
    parser.add_argument("member", nargs="?", help="the member's name in the membership")
    admin_client.add_admin_option(parser)
    parser.add_argument("--fleet", action="store_true", help="apply the order in the whole fleet")
    parser.add_argument("--json", action="store_true", help="print the response as JSON")
    parser.add_argument("--watch", action="store_true", help="refresh every second until interrupted")
    parser.add_argument("--evidence", action="store_true", help="add a line for each piece of evidence")


def _member_row(member: JsonObject) -> list[str]:
    return [
        member["member"],
        member["role"],
        member["state"] + ("!" if member["panic"] else ""),
        f"{member['weight']}%",
        member["cause"],
        format_age(member["age_us"]),
        member["reason"],
    ]


def _check_row(check: JsonObject) -> list[str]:
    state = "down" if check["down"] else check["admin"] or check["outcome"] or "unheard"
    reasons = check["reason"], check["trouble"], "stale" if check["stale"] else ""
    reason = " ".join(filter(None, reasons))
    return ["", check["check"], state, f"{check['weight']}%", "", format_age(check["age_us"]), reason]


def _evidence_rows(member: JsonObject) -> Rows:
    rows = [["", "roster", member["roster"], "", "", format_age(member["roster_age_us"]), ""]]
    if member["order"] != NO_ORDER:
        rows.append(["", "order", member["order"], "", "", "", f"by {member['order_by']}"])
    rows += [_check_row(check) for check in member["checks"]]
    if member["hold_us"] or member["flaps"]:
        rows.append(["", "hold", "", "", "", format_age(member["hold_us"]), f"flaps: {member['flaps']}"])
    return rows


def table_rows(table: JsonObject, with_evidence: bool) -> Rows:
    """Converts the response of `/members` to rows under `HEADER`."""
    rows = []
    for member in table["members"]:
        rows.append(_member_row(member))
        if with_evidence:
            rows += _evidence_rows(member)
    return rows


def _submit_order(args: argparse.Namespace) -> int:
    if not args.member:
        raise UsageError(f"{args.order} needs a member")
    order = {"member": args.member, "order": args.order, "by": getpass.getuser()}
    if args.fleet:
        order["fleet"] = True
    admin_client.post(args.admin, "/orders", order)
    print(f"{args.member}: {args.order}" + (", for the whole fleet" if args.fleet else ""))
    return 0


def run(args: argparse.Namespace) -> int:
    """Gives the order, or prints the table; returns exit code 0."""
    if args.order:
        return _submit_order(args)
    if args.watch:
        return watch_table(HEADER, lambda: table_rows(admin_client.get(args.admin, "/members"), args.evidence))
    table = admin_client.get(args.admin, "/members")
    if args.json:
        print_json(table)
    else:
        print(format_table(HEADER, table_rows(table, args.evidence)))
    return 0
