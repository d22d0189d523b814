"""`rookbend serve`: runs the director."""

from __future__ import annotations

import argparse
import gc
import os
import sys

import trio

from rookbend import config as configuration
from rookbend import service
from rookbend.cli.errors import UsageError
from rookbend.cli.loading import load_configuration
from rookbend.cli.startup_signals import startup_signals

HELP = "serve as the director that NODE_CONFIG describes (the default)"
EXAMPLE = "NODE_CONFIG=config.json rookbend serve"
# Reference counting frees most objects. Rare collections reduce pauses in the handling of requests.
GC_THRESHOLDS = (50_000, 20, 50)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no arguments."""


def run(args: argparse.Namespace) -> int:
    """Serves until a stop signal; returns exit code 0, or 1 if the director can't listen on an address."""
    config, operator_settings = load_configuration()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        trio.run(
            service.serve,
            config,
            operator_settings,
            lambda previous: configuration.load_all(os.environ, previous),
            startup_signals.disarm,
        )
    except configuration.ConfigError as error:
        raise UsageError(str(error)) from None
    except service.ListenError as error:
        print(f"rookbend: {error}", file=sys.stderr)
        return 1
    startup_signals.ignore()
    return 0
