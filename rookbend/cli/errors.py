"""The error of the command line."""

from __future__ import annotations


class UsageError(Exception):
    """What can't be used, in one line for standard error; the exit code is 2."""
