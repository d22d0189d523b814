"""The binary frames of the platform's client protocol (docs of the platform), seen from the director.

frame     u32 length of what follows, u8 type, u32 stream, payload; integers are big-endian
request   fields, then the body
answer    u8 status, fields, then the body
fields    u8 count; each is u8 length, name, u16 length, value
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass, field

from rookbend.protocol.errors import ProtocolError

LENGTH_BYTES = 4
HEADER = struct.Struct(">IBI")
ANSWER_HEADER = struct.Struct(">IBIB")
ANSWER_HEADER_BYTES = ANSWER_HEADER.size - LENGTH_BYTES  # as a frame's length counts them
MIN_FRAME_BYTES = 5  # of the length in a header: without its own four bytes
MAX_FRAME_BYTES = 262_144
MAX_BUFFERED_BYTES = 65_536  # no request of a client is longer: a longer frame is discarded as it comes

# Frame types, as the platform numbers them.
READINESS_REQUEST_TYPE = 1
READINESS_TYPE = 2
GOAWAY_TYPE = 3  # the client is to send no new request on this connection
REQUEST_TYPE = 7
ANSWER_TYPE = 8
CANCEL_TYPE = 9

# Status codes of an answer.
STATUS_OK = 0
STATUS_FAILED = 2
STATUS_UNAVAILABLE = 14  # rejected without any effect, or not ready: another try does no harm

# The platform's names of fields, by what they carry.
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
    """A request; `fields` is None where they can't be read: the stream is known all the same."""

    stream: int
    fields: dict[str, str] | None = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class CancelFrame:
    """The client no longer waits for the request on this stream."""

    stream: int


@dataclass(slots=True)
class ReadinessFrame:
    """A query whether the director is ready."""

    stream: int


ClientFrame = RequestFrame | CancelFrame | ReadinessFrame


class FrameError(ProtocolError):
    """Bytes that are no frames of a client: the connection can't go on. `frames` came whole before them."""

    def __init__(self, message: str, frames: Sequence[ClientFrame]) -> None:
        super().__init__(message)
        self.frames = frames


def read_fields(data: bytes, at: int) -> tuple[dict[str, str] | None, int]:
    """The fields that begin at `at`, and where they end; None where the bytes don't hold them."""
    try:
        count = data[at]
        at += 1
        fields: dict[str, str] = {}
        for _ in range(count):
            name_end = at + 1 + data[at]
            value_start = name_end + 2
            value_end = value_start + (data[name_end] << 8 | data[name_end + 1])
            if value_end > len(data):
                return None, at
            fields[str(data[at + 1 : name_end], "utf-8")] = str(data[value_start:value_end], "utf-8")
            at = value_end
        return fields, at
    except (IndexError, UnicodeDecodeError):
        return None, at


class FrameParser:
    """Fed a client's bytes, returns its frames. Buffers one incomplete frame of MAX_BUFFERED_BYTES at most."""

    def __init__(self) -> None:
        self._buffer = b""
        self._discard_bytes = 0  # of a frame too long to buffer that are still to come

    @property
    def has_partial(self) -> bool:
        """Whether a frame has begun that is not complete."""
        return bool(self._buffer) or self._discard_bytes > 0

    def feed(self, data: bytes) -> list[ClientFrame]:
        """The frames that are complete now. Raises FrameError, whose `frames` are still good."""
        if self._buffer:
            data = self._buffer + data
        size = len(data)
        frames: list[ClientFrame] = []
        at = min(self._discard_bytes, size)
        self._discard_bytes -= at
        while size - at >= LENGTH_BYTES:
            length = int.from_bytes(data[at : at + LENGTH_BYTES], "big")
            if not MIN_FRAME_BYTES <= length <= MAX_FRAME_BYTES:
                raise FrameError(f"a frame cannot be {length} bytes long", frames)
            end = at + LENGTH_BYTES + length
            if end > size:
                if length > MAX_BUFFERED_BYTES and size - at >= HEADER.size:
                    # Guards the memory: the stream is answered as failed, the rest is never buffered.
                    frames.append(self._oversized_request(data, at, frames))
                    self._discard_bytes = end - size
                    at = size
                break
            _, frame_type, stream = HEADER.unpack_from(data, at)
            if frame_type == REQUEST_TYPE and stream and length > MAX_BUFFERED_BYTES:
                frames.append(RequestFrame(stream, None))
            elif frame_type == REQUEST_TYPE and stream:
                payload = data[at + HEADER.size : end]
                fields, fields_end = read_fields(payload, 0)
                frames.append(RequestFrame(stream, fields, payload[fields_end:] if fields is not None else b""))
            elif frame_type == CANCEL_TYPE and stream:
                frames.append(CancelFrame(stream))
            elif frame_type == READINESS_REQUEST_TYPE:
                frames.append(ReadinessFrame(stream))
            else:
                raise FrameError(f"a client cannot send type {frame_type} on stream {stream}", frames)
            at = end
        self._buffer = data[at:] if at else data
        return frames

    @staticmethod
    def _oversized_request(data: bytes, at: int, frames: list[ClientFrame]) -> RequestFrame:
        length, frame_type, stream = HEADER.unpack_from(data, at)
        if frame_type != REQUEST_TYPE or not stream:
            raise FrameError(f"type {frame_type} on stream {stream} cannot be {length} bytes long", frames)
        return RequestFrame(stream, None)


def write_fields(fields: dict[str, str]) -> bytes:
    """Fields as they stand in an answer."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        name_bytes, value_bytes = name.encode(), value.encode()
        parts.append(bytes((len(name_bytes),)) + name_bytes + len(value_bytes).to_bytes(2, "big") + value_bytes)
    return b"".join(parts)


NO_FIELDS = write_fields({})


def write_answer(
    stream: int, status: int, fields: bytes = NO_FIELDS, body_size: int = 0, frame_type: int = ANSWER_TYPE
) -> bytes:
    """An answer up to its body, whose bytes follow as they are."""
    return ANSWER_HEADER.pack(ANSWER_HEADER_BYTES + len(fields) + body_size, frame_type, stream, status) + fields


def write_readiness(stream: int, is_ready: bool) -> bytes:
    """The answer to a ReadinessFrame."""
    return write_answer(stream, STATUS_OK if is_ready else STATUS_UNAVAILABLE, frame_type=READINESS_TYPE)


def write_goaway() -> bytes:
    """Notifies the client to send no new request on this connection."""
    return HEADER.pack(MIN_FRAME_BYTES, GOAWAY_TYPE, 0)
