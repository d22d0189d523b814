"""Validates decimal numbers in texts from peers, clients and files."""

from __future__ import annotations

MAX_DIGITS = 18  # fits into 64 bits; int() raises ValueError on thousands of digits


def is_decimal(text: str | bytes) -> bool:
    """Whether a text consists of 1 to `MAX_DIGITS` ASCII digits.

    str.isdigit alone also accepts characters such as "²", which int() rejects.
    """
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
