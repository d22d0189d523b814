"""The command line: one small module a sub-command, imported when it is run.

A module has `HELP`, `EXAMPLE`, `add(parser)` and `run(args) -> exit code`.
"""

from __future__ import annotations

import argparse
import sys
from importlib import import_module

VERSION = "0.2.0"
COMMANDS = {
    "serve": "serve", "check-config": "check_config", "members": "members", "demo": "demo",
    "fleet": "fleet", "recovery": "recovery",
    "version": "version",
}


class UsageFault(Exception):
    """One line on what can't be used, for standard error; exit 2."""


def main(argv: list[str] | None = None) -> int:
    words = sys.argv[1:] if argv is None else argv
    parser = argparse.ArgumentParser(prog="rookbend", description="A director in front of caches.")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    # Only the module that is asked for is imported, or all of them for the page of help.
    named = next((w for w in words if not w.startswith("-")), None)
    wanted = [named] if named in COMMANDS else COMMANDS if words else ["serve"]
    for name in wanted:
        module = import_module(f"rookbend.cli.{COMMANDS[name]}")
        sub = commands.add_parser(
            name, help=module.HELP, description=module.HELP, epilog=f"example: {module.EXAMPLE}")
        module.add(sub)
        sub.set_defaults(run=module.run)
    if not words:
        words = ["serve"]
    args = parser.parse_args(words)
    if args.command is None:
        parser.print_help()
        return 2
    try:
        return args.run(args)
    except UsageFault as fault:
        print(f"rookbend: {fault}", file=sys.stderr)
        return 2
