"""Reading what `NODE_*` names, for the sub-commands that need it."""

from __future__ import annotations

import os

from rookbend import config as configuration
from rookbend.cli import UsageFault
from rookbend.settings import Fault, Settings


def load() -> tuple[configuration.Config, Settings]:
    try:
        return configuration.load_all(os.environ)
    except (configuration.ConfigError, Fault) as error:
        raise UsageFault(str(error)) from None
