"""`rookbend version`: prints versions."""

from __future__ import annotations

import argparse
from importlib import metadata

from rookbend.cli import VERSION

HELP = "print the versions of the program and its libraries"
EXAMPLE = "rookbend version"
LIBRARIES = ("trio", "msgspec", "h11", "structlog", "dnspython", "h2", "protobuf", "prometheus-client", "rich", "apsw")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no arguments."""


def run(args: argparse.Namespace) -> int:
    """Prints one line for the program and each library; returns exit code 0."""
    print(f"rookbend {VERSION}")
    for name in LIBRARIES:
        try:
            print(f"{name} {metadata.version(name)}")
        except metadata.PackageNotFoundError:
            print(f"{name} not installed")
    return 0
