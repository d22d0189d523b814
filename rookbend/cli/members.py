"""`rookbend members`: the table of members of a running director, and orders to it."""

from __future__ import annotations

import argparse
import getpass
import http.client
import json
import sys
import time

from rookbend.cli import UsageFault

HELP = "show the members of a running director, or give an order on one"
EXAMPLE = "rookbend members --admin 127.0.0.1:9100 drain s-00c41f7a"
ORDERS = {"drain": "drain", "maintain": "maintain", "ready": "ready"}
ANSWER_BY_S = 5
WATCH_S = 1.0


def add(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("order", nargs="?", choices=sorted(ORDERS), help="an order on one member")
    parser.add_argument("member", nargs="?", help="the member's name in the roster")
    parser.add_argument("--admin", default="127.0.0.1:9100", metavar="HOST:PORT",
                        help="the director's [admin] listener (default %(default)s)")
    parser.add_argument("--json", action="store_true", help="the table as it comes")
    parser.add_argument("--watch", action="store_true", help="again each second, until interrupted")
    parser.add_argument("--evidence", action="store_true", help="a line more for each piece of evidence")


def ask(admin: str, method: str, path: str, body: dict | None = None) -> dict:
    """One request to the director. Raises UsageFault where it can't be asked, or says no."""
    host, _, port = admin.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_BY_S)
        connection.request(method, path, json.dumps(body) if body else None,
                           {"Content-Type": "application/json"} if body else {})
        answer = connection.getresponse()
        found = json.loads(answer.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise UsageFault(f"no director at {admin}: {error}") from None
    if answer.status != 200:
        raise UsageFault(found.get("fault", f"status {answer.status}"))
    return found


def age(us: int | None) -> str:
    if us is None:
        return "never"
    seconds = us / 1e6
    if seconds < 100:
        return f"{seconds:.1f}s"
    return f"{seconds / 60:.0f}m" if seconds < 6000 else f"{seconds / 3600:.0f}h"


def rows(found: dict, evidence: bool) -> list[list[str]]:
    out = []
    for m in found["members"]:
        state = m["state"] + ("!" if m["panic"] else "")
        out.append([m["member"], m["role"], state, f"{m['weight']}%", m["cause"], age(m["age_us"]),
                    m["reason"]])
        if not evidence:
            continue
        out.append(["", "roster", m["roster"], "", "", age(m["roster_age_us"]), ""])
        if m["order"] != "ready":
            out.append(["", "order", m["order"], "", "", "", f"by {m['order_by']}"])
        for c in m["checks"]:
            said = "down" if c["down"] else c["admin"] or c["outcome"] or "unheard"
            reason = " ".join(filter(None, (c["reason"], c["trouble"], "stale" if c["stale"] else "")))
            out.append(["", c["check"], said, f"{c['weight']}%", "", age(c["age_us"]), reason])
        if m["hold_us"] or m["flaps"]:
            out.append(["", "hold", "", "", "", age(m["hold_us"]), f"flaps: {m['flaps']}"])
    return out


HEAD = "MEMBER", "ROLE", "STATE", "WEIGHT", "CAUSE", "AGE", "REASON"


def plain(table: list[list[str]]) -> str:
    every = [list(HEAD), *table]
    widths = [max(len(row[i]) for row in every) for i in range(len(HEAD))]
    lines = ("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in every)
    return "\n".join(line.rstrip() for line in lines)


def watch(args: argparse.Namespace) -> int:
    try:
        from rich.live import Live
        from rich.table import Table
    except ImportError:
        raise UsageFault("--watch needs rich: pip install 'rookbend[ops]'") from None

    def drawn() -> Table:
        table = Table(*HEAD)
        for row in rows(ask(args.admin, "GET", "/members"), args.evidence):
            table.add_row(*row)
        return table

    try:
        with Live(drawn(), auto_refresh=False) as live:
            while True:
                time.sleep(WATCH_S)
                live.update(drawn(), refresh=True)
    except KeyboardInterrupt:
        return 0


def run(args: argparse.Namespace) -> int:
    if args.order:
        if not args.member:
            raise UsageFault(f"{args.order} needs a member")
        ask(args.admin, "POST", "/orders",
            {"member": args.member, "order": ORDERS[args.order], "by": getpass.getuser()})
        print(f"{args.member}: {args.order}")
        return 0
    if args.watch:
        return watch(args)
    found = ask(args.admin, "GET", "/members")
    if args.json:
        json.dump(found, sys.stdout, indent=2)
        print()
    else:
        print(plain(rows(found, args.evidence)))
    return 0
