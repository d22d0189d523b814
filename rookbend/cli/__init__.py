"""The command line: one module per sub-command, imported only when it is needed.

A module has `HELP`, `EXAMPLE`, `add_arguments(parser)` and `run(args) -> exit code`.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable
from importlib import import_module

from rookbend.cli.errors import UsageError
from rookbend.cli.startup_signals import startup_signals

VERSION = "0.2.0"
DEFAULT_COMMAND = "serve"
# The module of each command.
COMMANDS = {
    "serve": "serve",
    "check-config": "check_config",
    "members": "members",
    "demo": "demo",
    "fleet": "fleet",
    "recovery": "recovery",
    "version": "version",
}


def commands_to_load(arguments: list[str]) -> list[str]:
    """The command that the arguments name; the default without arguments; otherwise all, for the help page."""
    if not arguments:
        return [DEFAULT_COMMAND]
    first_word = next((word for word in arguments if not word.startswith("-")), None)
    return [first_word] if first_word in COMMANDS else list(COMMANDS)


def build_parser(commands: Iterable[str]) -> argparse.ArgumentParser:
    """Builds the parser of these sub-commands; imports their modules."""
    parser = argparse.ArgumentParser(prog="rookbend", description="A request director in front of caches.")
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND")
    for name in commands:
        module = import_module(f"rookbend.cli.{COMMANDS[name]}")
        example = f"example: {module.EXAMPLE}"
        subparser = subparsers.add_parser(name, help=module.HELP, description=module.HELP, epilog=example)
        module.add_arguments(subparser)
        subparser.set_defaults(run=module.run)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs a sub-command and returns its exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    commands = commands_to_load(arguments)
    if commands == [DEFAULT_COMMAND]:
        startup_signals.arm()  # from here on, a stop signal ends a starting director with exit code 0
    parser = build_parser(commands)
    args = parser.parse_args(arguments or [DEFAULT_COMMAND])
    if args.command is None:
        parser.print_help()
        return 2
    try:
        exit_code: int = args.run(args)
    except UsageError as error:
        print(f"rookbend: {error}", file=sys.stderr)
        return 2
    return exit_code
