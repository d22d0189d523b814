"""An open-loop client for benchmarks: it sends requests in the platform's frames at a rate independent of responses."""

from __future__ import annotations

import itertools
import random
import struct
import time
from typing import NamedTuple

import trio

SERVED = 0  # a response's code
REQUEST_FRAME = 7
MAX_REQUESTS_IN_FLIGHT = 32  # on one connection, by the protocol
FIRST_SERVED_TIMEOUT_S = 60.0
_SERVED_POLL_S = 0.05
_BOUND_RETRY_S = 0.001
_LENGTH_BYTES = 4
_ANSWER_FIELDS_OFFSET = 7  # behind the type, the stream, the code and the number of fields


def encode_frame(kind: int, stream: int, fields: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Encodes a frame as the platform's clients do; it has no field count if `fields` is None."""
    data = b"" if fields is None else _encode_fields(fields)
    return struct.pack(">IBI", 5 + len(data) + len(body), kind, stream) + data + body


def _encode_fields(fields: dict[str, str]) -> bytes:
    data = bytes([len(fields)])
    for name, value in fields.items():
        data += bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode()
    return data


def decode_answer(data: bytes) -> tuple[dict[str, str], bytes]:
    """The fields and the body of an answer; `data` is its frame without the length."""
    fields: dict[str, str] = {}
    offset = _ANSWER_FIELDS_OFFSET
    for _ in range(data[offset - 1]):
        name_end = offset + 1 + data[offset]
        value_start = name_end + 2
        value_end = value_start + int.from_bytes(data[name_end:value_start], "big")
        fields[data[offset + 1 : name_end].decode()] = data[value_start:value_end].decode()
        offset = value_end
    return fields, data[offset:]


class RequestTiming(NamedTuple):
    """A completed request: its due time (monotonic), the duration from then, and the code of the response."""

    due_s: float
    duration_s: float
    code: int


class OpenLoopClient:
    """Sends each request at its due time, regardless of earlier responses, and measures its duration from then."""

    def __init__(
        self, address: tuple[str, int], rate: float, objects: list[str], seed: int, method: str = "video"
    ) -> None:
        self.address = address
        self.rate = rate
        self.objects = objects
        self.method = method
        self.random = random.Random(seed)
        self.due_s: dict[int, float] = {}  # of requests in flight, by stream
        self.timings: list[RequestTiming] = []
        self.max_lateness_s = 0.0  # the longest delay of a request by this process

    async def run(self) -> None:
        """Sends requests until cancelled."""
        connection = await trio.open_tcp_stream(*self.address)
        async with connection, trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, connection)
            due_s = time.monotonic()
            for stream in itertools.count(1):
                due_s += self.random.expovariate(self.rate)
                await trio.sleep(max(0.0, due_s - time.monotonic()))
                self.max_lateness_s = max(self.max_lateness_s, time.monotonic() - due_s)
                while len(self.due_s) >= MAX_REQUESTS_IN_FLIGHT:
                    await trio.sleep(_BOUND_RETRY_S)
                self.due_s[stream] = due_s
                await connection.send_all(self._encode_request(stream))

    def _encode_request(self, stream: int) -> bytes:
        fields = {
            "method": self.method,
            "rid": f"{self.random.getrandbits(32):08x}{stream:08x}",
            "budget": "4000",
            "obj": self.random.choice(self.objects),
        }
        return encode_frame(REQUEST_FRAME, stream, fields)

    async def served_since(self, begun_s: float) -> list[float]:
        """The durations, in milliseconds, of the served requests that were due at `begun_s` or later.

        Waits until there is one, since a busy machine may serve none within a short measurement. Raises
        trio.TooSlowError if there is none for FIRST_SERVED_TIMEOUT_S.
        """
        with trio.fail_after(FIRST_SERVED_TIMEOUT_S):
            while True:
                served = [timing for timing in self.timings if timing.due_s >= begun_s and timing.code == SERVED]
                if served:
                    return [timing.duration_s * 1000 for timing in served]
                await trio.sleep(_SERVED_POLL_S)

    async def _receive(self, connection: trio.SocketStream) -> None:
        data = b""
        async for block in connection:
            data += block
            while (frame_bytes := _complete_frame_bytes(data)) is not None:
                stream = int.from_bytes(data[5:9], "big")
                code = data[9]
                data = data[frame_bytes:]
                due_s = self.due_s.pop(stream, None)
                if due_s is not None:
                    self.timings.append(RequestTiming(due_s, time.monotonic() - due_s, code))


def _complete_frame_bytes(data: bytes) -> int | None:
    """Returns the size of the first frame including its length field, or None while the frame is incomplete."""
    if len(data) < _LENGTH_BYTES:
        return None
    frame_bytes = _LENGTH_BYTES + int.from_bytes(data[:_LENGTH_BYTES], "big")
    return frame_bytes if len(data) >= frame_bytes else None
