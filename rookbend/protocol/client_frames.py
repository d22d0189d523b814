"""The binary frames of the platform's client protocol (docs of the platform), as the director uses them.

frame     u32 length of what follows, u8 type, u32 stream, payload; integers are big-endian
request   fields, then the body
answer    u8 status, fields, then the body
fields    u8 count; each is u8 length, name, u16 length, value
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field

from rookbend.protocol.errors import ProtocolError

LENGTH_BYTES = 4
HEADER = struct.Struct(">IBI")
ANSWER_HEADER = struct.Struct(">IBIB")
ANSWER_HEADER_BYTES = ANSWER_HEADER.size - LENGTH_BYTES  # as counted in a frame's length
MIN_FRAME_BYTES = 5  # smallest length in a header; it does not count its own four bytes
MAX_FRAME_BYTES = 262_144
MAX_CONTROL_FRAME_BYTES = 4096  # of a frame that is no request
MAX_BUFFERED_BYTES = 65_536  # no valid request is longer: a longer frame is discarded as it arrives

# Frame types, as the platform numbers them.
READINESS_REQUEST_TYPE = 1
READINESS_TYPE = 2
GOAWAY_TYPE = 3  # the client must not send new requests on this connection
REQUEST_TYPE = 7
ANSWER_TYPE = 8
CANCEL_TYPE = 9

# Status codes of an answer.
STATUS_OK = 0
STATUS_FAILED = 2
STATUS_UNAVAILABLE = 14  # rejected without any effect, or not ready: a retry does no harm

# The platform's field names.
TRAFFIC_CLASS_FIELD = "method"
REQUEST_ID_FIELD = "rid"
KEY_FIELD = "obj"
TIMEOUT_MS_FIELD = "budget"
PART_FIELD = "chunk"
GROUP_FIELD = "tag"
IS_RETRY_FIELD = "again"
KNOWN_VERSION_FIELD = "known"
IDEMPOTENCY_KEY_FIELD = "token"
NOT_MODIFIED_FIELD = "valid"  # of an answer
RETRY_AFTER_MS_FIELD = "backoff"  # of an answer


@dataclass(slots=True)
class RequestFrame:
    """A request; `fields` is None if they can't be parsed, and only the stream is known."""

    stream: int
    fields: dict[str, str] | None = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class CancelFrame:
    """The client no longer waits for the request on this stream."""

    stream: int


@dataclass(slots=True)
class ReadinessFrame:
    """A query for the director's readiness."""

    stream: int


ClientFrame = RequestFrame | CancelFrame | ReadinessFrame


class FrameError(ProtocolError):
    """Malformed bytes from a client: the connection can't be used further. `frames` were complete before them."""

    def __init__(self, message: str, frames: Sequence[ClientFrame]) -> None:
        super().__init__(message)
        self.frames = frames


def read_fields(data: bytes | bytearray, offset: int) -> tuple[dict[str, str] | None, int]:
    """The fields that start at `offset`, and the offset of their end; None if the bytes hold no valid fields."""
    try:
        count = data[offset]
        offset += 1
        fields: dict[str, str] = {}
        for _ in range(count):
            name_end = offset + 1 + data[offset]
            value_start = name_end + 2
            value_end = value_start + (data[name_end] << 8 | data[name_end + 1])
            if value_end > len(data):
                return None, offset
            fields[str(data[offset + 1 : name_end], "utf-8")] = str(data[value_start:value_end], "utf-8")
            offset = value_end
        return fields, offset
    except (IndexError, UnicodeDecodeError):
        return None, offset


class FrameParser:
    """Parses a client's bytes into frames. Buffers one incomplete frame of at most MAX_BUFFERED_BYTES."""

    def __init__(self) -> None:
        self._buffer: bytes | bytearray = b""
        self._discard_bytes = 0  # still to be received of a frame that is too long to buffer

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete frame was received."""
        return bool(self._buffer) or self._discard_bytes > 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes held of an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[ClientFrame]:
        """Returns the frames that are now complete. Raises FrameError, whose `frames` are still valid."""
        self.receive_data(data)
        return self.next_frames(sys.maxsize)

    def clear(self) -> None:
        """Drops all bytes, since the connection has ended."""
        self._buffer = b""

    def discard_incomplete_request(self) -> int:
        """Discards what was received of an incomplete request, and the rest of it as it arrives; returns its stream.

        Returns 0 and keeps the bytes if there is no such request, or if its stream is not known yet.
        """
        buffer = self._buffer
        if len(buffer) < HEADER.size:
            return 0
        length, frame_type, stream = HEADER.unpack_from(buffer)
        end = LENGTH_BYTES + int(length)
        if frame_type != REQUEST_TYPE or not stream or not len(buffer) < end <= LENGTH_BYTES + MAX_FRAME_BYTES:
            return 0
        self._discard_bytes = end - len(buffer)
        self._buffer = b""
        return int(stream)

    def receive_data(self, data: bytes) -> None:
        """Adds received bytes; `next_frames` parses them."""
        if self._discard_bytes:
            discarded = min(self._discard_bytes, len(data))
            self._discard_bytes -= discarded
            data = data[discarded:]
        if not self._buffer:
            self._buffer = data
        elif isinstance(self._buffer, bytearray):
            self._buffer += data
        else:
            self._buffer = bytearray(self._buffer) + data

    def next_frames(self, limit: int) -> list[ClientFrame]:
        """Returns at most `limit` complete frames; fewer only if no more are complete.

        Raises FrameError, whose `frames` are still valid.
        """
        data, size, offset = self._buffer, len(self._buffer), 0
        frames: list[ClientFrame] = []
        while len(frames) < limit and size - offset >= LENGTH_BYTES:
            length = int.from_bytes(data[offset : offset + LENGTH_BYTES], "big")
            if not MIN_FRAME_BYTES <= length <= MAX_FRAME_BYTES:
                raise FrameError(f"invalid frame length: {length} bytes", frames)
            end = offset + LENGTH_BYTES + length
            if length > MAX_CONTROL_FRAME_BYTES and size - offset >= HEADER.size:
                self._require_request(data, offset, frames)
            if end > size:
                if length > MAX_BUFFERED_BYTES and size - offset >= HEADER.size:
                    # Bounds memory: the stream is answered as failed, and the rest of the frame is never buffered.
                    frames.append(RequestFrame(HEADER.unpack_from(data, offset)[2], None))
                    self._discard_bytes = end - size
                    offset = size
                break
            frames.append(self._read_frame(data, offset, end, frames))
            offset = end
        if offset:
            self._buffer = data[offset:]
        return frames

    @staticmethod
    def _read_frame(data: bytes | bytearray, offset: int, end: int, frames: list[ClientFrame]) -> ClientFrame:
        length, frame_type, stream = HEADER.unpack_from(data, offset)
        if frame_type == REQUEST_TYPE and stream:
            if length > MAX_BUFFERED_BYTES:
                return RequestFrame(stream, None)
            payload = data[offset + HEADER.size : end]
            fields, fields_end = read_fields(payload, 0)
            return RequestFrame(stream, fields, bytes(payload[fields_end:]) if fields is not None else b"")
        if frame_type == CANCEL_TYPE and stream:
            return CancelFrame(stream)
        if frame_type == READINESS_REQUEST_TYPE:
            return ReadinessFrame(stream)
        raise FrameError(f"unexpected frame of type {frame_type} on stream {stream}", frames)

    @staticmethod
    def _require_request(data: bytes | bytearray, offset: int, frames: list[ClientFrame]) -> None:
        length, frame_type, stream = HEADER.unpack_from(data, offset)
        if frame_type != REQUEST_TYPE or not stream:
            raise FrameError(f"frame of type {frame_type} on stream {stream} is too long: {length} bytes", frames)


def write_fields(fields: dict[str, str]) -> bytes:
    """The encoded fields of an answer."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        name_bytes, value_bytes = name.encode(), value.encode()
        parts.append(bytes((len(name_bytes),)) + name_bytes + len(value_bytes).to_bytes(2, "big") + value_bytes)
    return b"".join(parts)


NO_FIELDS = write_fields({})


def write_answer(
    stream: int, status: int, fields: bytes = NO_FIELDS, body_size: int = 0, frame_type: int = ANSWER_TYPE
) -> bytes:
    """An answer up to its body; the caller sends the body's bytes after it."""
    return ANSWER_HEADER.pack(ANSWER_HEADER_BYTES + len(fields) + body_size, frame_type, stream, status) + fields


def write_readiness(stream: int, is_ready: bool) -> bytes:
    """The answer to a ReadinessFrame."""
    return write_answer(stream, STATUS_OK if is_ready else STATUS_UNAVAILABLE, frame_type=READINESS_TYPE)


def write_goaway() -> bytes:
    """The frame that tells the client to send no new requests on this connection."""
    return HEADER.pack(MIN_FRAME_BYTES, GOAWAY_TYPE, 0)
