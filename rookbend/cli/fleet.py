"""`rookbend fleet`: what a running director knows of the others."""

from __future__ import annotations

import argparse
import json
import sys

from rookbend.cli.tables import ago, ask, plain, show_again

HELP = "show the directors of the fleet as one of them sees them"
EXAMPLE = "rookbend fleet --admin 127.0.0.1:9100 --watch"
HEAD = "DIRECTOR", "BOOT", "PHASE", "STAGE", "AGE", "HEARD", "MISSING"


def add(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--admin", default="127.0.0.1:9100", metavar="HOST:PORT",
                        help="the director's [admin] listener (default %(default)s)")
    parser.add_argument("--json", action="store_true", help="the table as it comes")
    parser.add_argument("--watch", action="store_true", help="again each second, until interrupted")


def rows(found: dict) -> list[list[str]]:
    def us(ms):
        return None if ms is None else ms * 1000

    def row(d: dict) -> list[str]:
        ours = d["number"] == found["me"]
        return [f"{'*' if ours else ''}{d['number']}", str(d["boot"]), d["phase"], d["stage"],
                ago(us(d["age_ms"])), "-" if ours else ago(us(d["heard_ms"])),
                d["missing"] or (f"doubted: {d['doubted']}" if d["doubted"] else "")]

    return [row(d) for d in found["directors"]]


def run(args: argparse.Namespace) -> int:
    if args.watch:
        return show_again(HEAD, lambda: rows(ask(args.admin, "GET", "/fleet")))
    found = ask(args.admin, "GET", "/fleet")
    if args.json:
        json.dump(found, sys.stdout, indent=2)
        print()
    else:
        print(plain(HEAD, rows(found)))
        print(f"{found['director']}: {found['happened']}, {found['up']} of {len(found['directors'])} up")
    return 0
