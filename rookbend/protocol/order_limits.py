"""Limits of the texts of an operator's order, in bytes of UTF-8.

Orders are sent between directors in datagrams of 256 bytes: an order within the limits fits, whatever its numbers.
"""

from __future__ import annotations

SCOPE_PREFIX = "@"  # a target with this prefix is a scope, not a member
MAX_TARGET_BYTES = 72  # a member, or a scope
MAX_ORDER_BYTES = 16
MAX_OPERATOR_BYTES = 40
MAX_ORDER_TEXT_BYTES = MAX_TARGET_BYTES + MAX_ORDER_BYTES + MAX_OPERATOR_BYTES


class OrderLimitError(ValueError):
    """A text of an order is too long or can't be printed; the message names the field and the limit."""


def check_text(field: str, text: str, max_bytes: int) -> None:
    """Raises OrderLimitError if the text is too long or not printable."""
    length = len(text.encode())
    if length > max_bytes:
        raise OrderLimitError(f"`{field}` has {length} bytes, {max_bytes} at most")
    if not text.isprintable():
        raise OrderLimitError(f"`{field}` holds a character that can't be printed")
