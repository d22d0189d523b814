"""The framing of DNS messages over TCP (RFC 1035, 4.2.2): each message is preceded by its length in two bytes."""

from __future__ import annotations

LENGTH_BYTES = 2


def frame(message: bytes) -> bytes:
    """The message with its length prefix."""
    return len(message).to_bytes(LENGTH_BYTES, "big") + message


class MessageReader:
    """Splits the bytes of one connection into messages."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete message was received."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the messages that are complete."""
        self._buffer += data
        messages = []
        while len(self._buffer) >= LENGTH_BYTES:
            end = LENGTH_BYTES + int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if len(self._buffer) < end:
                break
            messages.append(self._buffer[LENGTH_BYTES:end])
            self._buffer = self._buffer[end:]
        return messages
