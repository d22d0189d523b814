"""The base class of all protocol errors; each subclass is defined in the module of its parser."""

from __future__ import annotations


class ProtocolError(Exception):
    """Bytes that the protocol does not allow; the message describes the fault."""
