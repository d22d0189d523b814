"""Errors of the command line."""

from __future__ import annotations


class UsageError(Exception):
    """A usage or configuration error, printed as one line on standard error; the exit code is 2."""
