"""The command line."""

from __future__ import annotations

import argparse
import gc
import os
import sys
from importlib import metadata

import trio

from rookbend import config as configuration
from rookbend import service

VERSION = "0.1.0"


def _load() -> tuple[configuration.Config, configuration.Fronts] | None:
    try:
        return configuration.load(os.environ), configuration.load_fronts(os.environ)
    except configuration.ConfigError as error:
        print(f"rookbend: {error}", file=sys.stderr)
        return None


def serve(args: argparse.Namespace) -> int:
    loaded = _load()
    if loaded is None:
        return 2
    config, fronts = loaded
    # Most objects die young by reference count; rare collections keep the pauses away from requests.
    gc.set_threshold(50_000, 20, 50)
    try:
        trio.run(service.serve, config, fronts, lambda: configuration.load(os.environ))
    except service.CannotListen as error:
        print(f"rookbend: {error}", file=sys.stderr)
        return 1
    return 0


def check_config(args: argparse.Namespace) -> int:
    loaded = _load()
    if loaded is None:
        return 2
    config, fronts = loaded
    members = sum(len(u.endpoints.members) for u in config.known.updates if u.endpoints)
    print(f"{config.name} would listen on {config.listen}: {len(config.settings.lanes)} classes, "
          f"{members} members told, {config.limits.memory_mb} MB, {config.limits.sockets} descriptors")
    for name, where in (("DNS", fronts.dns), ("agent-check", fronts.agent_check), ("health", fronts.health)):
        print(f"{name}: {where.listen or 'off'}")
    return 0


def version(args: argparse.Namespace) -> int:
    print(f"rookbend {VERSION}")
    for name in ("trio", "msgspec", "h11", "dnspython"):
        print(f"{name} {metadata.version(name)}")
    return 0


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="rookbend", description="A director in front of caches.")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    for name, run, text in (
        ("serve", serve, "serve as the director that NODE_CONFIG describes (the default)"),
        ("check-config", check_config, "read NODE_CONFIG, say what it holds, and exit"),
        ("version", version, "print the versions of the program and its libraries"),
    ):
        commands.add_parser(name, help=text, description=text).set_defaults(run=run)
    parser.set_defaults(run=serve)
    args = parser.parse_args(argv)
    return args.run(args)
