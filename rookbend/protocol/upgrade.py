"""The messages between two processes of one director over their Unix socket: one JSON object a line.

    successor    {"type":"ask","version":1,"name":"n3"}
    predecessor  {"type":"give","listeners":["tcp 10.0.0.4 7001"]}     the descriptors come with it, in this order
    successor    {"type":"serving"}
    both         {"type":"ban","member":"s-1","out":true}              an exclusion that one of them was asked for

A process of another version is given nothing, and starts by itself. The form is rookbend's own.
"""

from __future__ import annotations

import msgspec

from rookbend.protocol.errors import ProtocolError

VERSION = 1
MAX_LINE_BYTES = 1 << 16


class UpgradeError(ProtocolError):
    """The other process sent what is no message, or is not one that may be served."""


class RequestListeners(msgspec.Struct, tag="ask"):
    """A successor asks for the listening sockets."""

    version: int
    name: str


class GiveListeners(msgspec.Struct, tag="give"):
    """The predecessor's answer; the descriptors come with it, in the order of the names."""

    listeners: list[str] = []
    version: int = VERSION


class Serving(msgspec.Struct, tag="serving"):
    """The successor serves."""


class SetExclusion(msgspec.Struct, tag="ban"):
    """An operator excluded a member, or included it again."""

    member: str
    exclude: bool = msgspec.field(name="out")


Message = RequestListeners | GiveListeners | Serving | SetExclusion
_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


def encode(message: Message) -> bytes:
    """One line."""
    return msgspec.json.encode(message) + b"\n"


class MessageReader:
    """Fed bytes, gives messages; holds one incomplete line of `MAX_LINE_BYTES` at most."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[Message]:
        """The messages that these bytes complete; UpgradeError where one can't be read."""
        *lines, self._incomplete = (self._incomplete + data).split(b"\n")
        if len(self._incomplete) > MAX_LINE_BYTES:
            raise UpgradeError("a line without end")
        try:
            return [_decoder.decode(line) for line in lines]
        except msgspec.MsgspecError as error:
            raise UpgradeError(str(error)) from None
