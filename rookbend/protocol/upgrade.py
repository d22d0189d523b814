"""The messages between two processes of one director over their Unix socket: one JSON object per line.

    successor    {"type":"ask","version":1,"name":"n3"}
    predecessor  {"type":"give","listeners":["tcp 10.0.0.4 7001"]}     with the descriptors attached, in this order
    successor    {"type":"serving"}
    both         {"type":"ban","member":"s-1","out":true}              an exclusion that one of them received
    both         {"type":"ids","left_ms":{"9b1f03aa5c7e2d41":12000}}   writes that may have run, and how long each is
                                                                       remembered; to a process with "ids":true

A process of another version is given no sockets, and starts without them. The protocol is specific to rookbend.
"""

from __future__ import annotations

import msgspec

from rookbend.protocol.errors import ProtocolError

VERSION = 1
MAX_LINE_BYTES = 1 << 16


class UpgradeError(ProtocolError):
    """The other process sent an invalid message, or must not be served."""


class RequestListeners(msgspec.Struct, tag="ask"):
    """A successor requests the listening sockets."""

    version: int
    name: str
    shares_ids: bool = msgspec.field(name="ids", default=False)


class GiveListeners(msgspec.Struct, tag="give"):
    """The predecessor's answer; the descriptors are attached, in the order of the names."""

    listeners: list[str] = []
    version: int = VERSION
    shares_ids: bool = msgspec.field(name="ids", default=False)


class Serving(msgspec.Struct, tag="serving"):
    """Reports that the successor serves."""


class SetExclusion(msgspec.Struct, tag="ban"):
    """An operator excluded a member, or included it again."""

    member: str
    exclude: bool = msgspec.field(name="out")


class SharedIds(msgspec.Struct, tag="ids"):
    """Ids of writes that may have run at the sender, each with the time for which it is remembered, in milliseconds."""

    left_ms: dict[str, int]


Message = RequestListeners | GiveListeners | Serving | SetExclusion | SharedIds
_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message as one line."""
    return msgspec.json.encode(message) + b"\n"


class MessageReader:
    """Parses bytes into messages. Buffers one incomplete line of at most `MAX_LINE_BYTES`."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[Message]:
        """Returns the messages that are now complete. Raises UpgradeError if one can't be parsed."""
        *lines, self._incomplete = (self._incomplete + data).split(b"\n")
        if len(self._incomplete) > MAX_LINE_BYTES:
            raise UpgradeError("incomplete line is too long")
        try:
            return [_decoder.decode(line) for line in lines]
        except msgspec.MsgspecError as error:
            raise UpgradeError(str(error)) from None
