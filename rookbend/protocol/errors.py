"""The root of the errors of all protocols; each is defined beside its parser."""

from __future__ import annotations


class ProtocolError(Exception):
    """Bytes that the protocol does not allow; the message says which, and what is wrong with them."""
