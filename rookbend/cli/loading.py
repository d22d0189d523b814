"""Loads the configuration that the `NODE_*` environment variables name."""

from __future__ import annotations

import os

from rookbend import config as configuration
from rookbend.cli.errors import UsageError
from rookbend.settings import Settings, SettingsError


def load_configuration() -> tuple[configuration.Config, Settings]:
    """Returns the configuration and the operators' settings. Raises `UsageError`."""
    try:
        return configuration.load_all(os.environ)
    except (configuration.ConfigError, SettingsError) as error:
        raise UsageError(str(error)) from None
