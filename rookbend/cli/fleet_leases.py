"""The lease commands of `rookbend fleet`: the table of holders, and orders on one scope."""

from __future__ import annotations

from rookbend.cli import admin_client
from rookbend.cli.admin_client import JsonObject
from rookbend.cli.errors import UsageError
from rookbend.cli.tables import Rows, format_age_ms, format_table, print_json
from rookbend.core.decimal_text import is_decimal

HEADER = "SCOPE", "OWNER", "TOKEN", "UNTIL", "PINNED", "NEXT", "WITHOUT OWNER"
UNPIN = "unpin"
WITHOUT = "without"
ORDERS = "move", "pin", UNPIN


def _format_holder(index: int | None, own_index: int) -> str:
    if index is None or index < 0:
        return "?"
    return f"{'*' if index == own_index else ''}{index}"


def _lease_row(lease: JsonObject, own_index: int) -> list[str]:
    return [
        lease["scope"],
        _format_holder(lease["owner"], own_index),
        str(lease["token"]),
        "" if lease["left_ms"] is None else f"{lease['left_ms'] / 1000:.1f}s",
        "" if lease["pinned"] is None else str(lease["pinned"]),
        ", ".join(map(str, lease["next"])),
        "" if lease["ownerless_ms"] is None else format_age_ms(lease["ownerless_ms"]),
    ]


def table_rows(table: JsonObject) -> Rows:
    """Converts the response of `/owners` to rows under `HEADER`."""
    return [_lease_row(lease, table["me"]) for lease in table["owners"]]


def _submit_order(admin: str, order: str, operands: list[str]) -> None:
    operand_count = 1 if order == UNPIN else 2
    if len(operands) != operand_count or not all(is_decimal(operand) for operand in operands[1:]):
        raise UsageError(f"{order} needs a scope" + ("" if order == UNPIN else " and a director's number"))
    body: JsonObject = {"order": order, "scope": operands[0]}
    if order != UNPIN:
        body["place"] = int(operands[1])
    admin_client.post(admin, "/owners", body)
    print(f"{' '.join(operands)}: {order}")


def _read_table(admin: str, command: str, operands: list[str]) -> JsonObject:
    if command != WITHOUT:
        return admin_client.get(admin, "/owners")
    if len(operands) != 1 or not is_decimal(operands[0]):
        raise UsageError("without needs a director's number")
    return admin_client.post(admin, "/owners", {"order": WITHOUT, "place": int(operands[0])})


def _format_summary(table: JsonObject) -> str:
    voters = ", ".join(map(str, table["voters"]))
    if table["voters_before"]:
        voters += f" (and {', '.join(map(str, table['voters_before']))} until all voters have adopted the change)"
    return f"{table['director']}: voters {voters}; {table['orders']['stand']} fleet orders committed"


def run(admin: str, command: str, operands: list[str], as_json: bool) -> int:
    """Gives an order on a scope, or prints the table; returns exit code 0. Raises `UsageError`."""
    if command in ORDERS:
        _submit_order(admin, command, operands)
        return 0
    table = _read_table(admin, command, operands)
    if as_json:
        print_json(table)
        return 0
    print(format_table(HEADER, table_rows(table)))
    print(_format_summary(table))
    return 0
