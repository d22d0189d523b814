"""The platform's binary frames, seen from the director: requests in, answers out."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

HEAD = struct.Struct(">IBI")
ANSWER = struct.Struct(">IBIB")
LEAST, MOST = 5, 262_144  # what a frame's length may be
HELD_MOST = 65_536  # no request of a client is longer: a longer frame is passed over unread

REQUEST, ANSWERED, CANCEL, READY_ASKED, READY, CLOSING = 7, 8, 9, 1, 2, 3
SERVED, REFUSED, FAILED = 0, 14, 2
NOT_READY = 14


class FrameError(Exception):
    """Bytes that are no frames of a client: the connection can't go on."""


@dataclass(slots=True)
class RequestFrame:
    """`fields` is None where they can't be read: the stream is known all the same."""

    stream: int
    fields: dict[str, str] | None = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class CancelFrame:
    stream: int


@dataclass(slots=True)
class ReadyFrame:
    stream: int


def read_fields(data, at: int) -> tuple[dict[str, str] | None, int]:
    """The fields at `at` and where they end; None where the bytes don't hold them."""
    try:
        count = data[at]
        at += 1
        fields = {}
        for _ in range(count):
            end = at + 1 + data[at]
            value = end + 2
            stop = value + (data[end] << 8 | data[end + 1])
            if stop > len(data):
                return None, at
            fields[str(data[at + 1 : end], "utf-8")] = str(data[value:stop], "utf-8")
            at = stop
        return fields, at
    except (IndexError, UnicodeDecodeError):
        return None, at


class FrameParser:
    """Fed a client's bytes, gives its frames. Holds one incomplete frame of HELD_MOST bytes at most."""

    def __init__(self):
        self._held = b""
        self._pass_over = 0  # bytes of a frame too long to hold that are still to come

    @property
    def has_partial(self) -> bool:
        """Whether a frame has begun that is not complete."""
        return bool(self._held) or self._pass_over > 0

    def feed(self, data: bytes) -> list[RequestFrame | CancelFrame | ReadyFrame]:
        """The frames that are complete. On a FrameError, `events` of it are still good."""
        if self._held:
            data = self._held + data
        size, events = len(data), []
        at = min(self._pass_over, size)
        self._pass_over -= at
        while size - at >= 4:
            length = int.from_bytes(data[at : at + 4], "big")
            if not LEAST <= length <= MOST:
                raise self._error(events, f"a frame cannot be {length} bytes long")
            end = at + 4 + length
            if end > size:
                if length > HELD_MOST and size - at >= HEAD.size:
                    # Guards the memory: the stream is told of its failure, the rest is never held.
                    events.append(self._too_long(data, at, events))
                    self._pass_over = end - size
                    at = size
                break
            _, kind, stream = HEAD.unpack_from(data, at)
            if kind == REQUEST and stream and length > HELD_MOST:
                events.append(RequestFrame(stream, None))
            elif kind == REQUEST and stream:
                fields, body = read_fields(data[at + 9 : end], 0)
                rest = data[at + 9 + body : end] if fields is not None else b""
                events.append(RequestFrame(stream, fields, rest))
            elif kind == CANCEL and stream:
                events.append(CancelFrame(stream))
            elif kind == READY_ASKED:
                events.append(ReadyFrame(stream))
            else:
                raise self._error(events, f"a client cannot send type {kind} on stream {stream}")
            at = end
        self._held = data[at:] if at else data
        return events

    def _too_long(self, data: bytes, at: int, events: list) -> RequestFrame:
        length, kind, stream = HEAD.unpack_from(data, at)
        if kind != REQUEST or not stream:
            raise self._error(events, f"type {kind} on stream {stream} cannot be {length} bytes long")
        return RequestFrame(stream, None)

    @staticmethod
    def _error(events: list, text: str) -> FrameError:
        error = FrameError(text)
        error.events = events
        return error


def write_fields(fields: dict[str, str]) -> bytes:
    out = [bytes((len(fields),))]
    for name, value in fields.items():
        n, v = name.encode(), value.encode()
        out.append(bytes((len(n),)) + n + len(v).to_bytes(2, "big") + v)
    return b"".join(out)


NO_FIELDS = write_fields({})


def write_answer(stream: int, code: int, fields: bytes = NO_FIELDS, body_size: int = 0, kind: int = ANSWERED) -> bytes:
    """The answer up to its body, whose bytes follow as they are."""
    return ANSWER.pack(6 + len(fields) + body_size, kind, stream, code) + fields


def write_closing() -> bytes:
    return HEAD.pack(LEAST, CLOSING, 0)
