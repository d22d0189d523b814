"""Texts that are a number in decimal digits, as peers, callers and files write them."""

from __future__ import annotations

MAX_DIGITS = 18  # fits into 64 bits; Python refuses to convert thousands


def is_decimal(text: str | bytes) -> bool:
    """Whether a text is one to `MAX_DIGITS` ASCII digits; str.isdigit alone takes others, as "²", which int refuses."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
