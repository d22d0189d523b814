"""Hosts router instances for the simulator: batches on standard input, replies on standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from rookbend.routing import Router
from rookbend.simulator_actions import write_action
from rookbend.simulator_codec import (
    HEADER,
    MAX_FRAME_BYTES,
    REPLY_HEADER,
    Record,
    StartInstance,
    StopInstance,
    WireError,
    read_batch,
)
from rookbend.simulator_settings import parse_settings


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Reads exactly `size` bytes. Raises `WireError` if the input ends before."""
    data = stream.read(size)
    if len(data) < size:
        raise WireError("input ends within a frame")
    return data


class RouterHost:
    """The router instances of one simulation, by number."""

    def __init__(self) -> None:
        self._routers: dict[int, Router] = {}

    def handle(self, now_us: int, instance: int, record: Record) -> list[bytes]:
        """Applies one record; returns the resulting actions as records. Raises `WireError` for unusable records."""
        if isinstance(record, StartInstance):
            self._routers[instance] = Router(parse_settings(record.settings_text), record.seed)
            return []
        if isinstance(record, StopInstance):
            self._routers.pop(instance, None)
            return []
        router = self._routers.get(instance)
        if router is None:
            raise WireError(f"event for router instance {instance}, which is not running")
        return [write_action(instance, action) for action in router.handle(now_us, record)]


def serve(stdin: BinaryIO, stdout: BinaryIO) -> None:
    """Answers every batch until the input ends. Raises `WireError` at the first violation of the wire format."""
    host = RouterHost()
    while header := stdin.read(HEADER.size):
        if len(header) < HEADER.size:
            raise WireError("input ends within a frame header")
        now_us, size, count, batch_number = HEADER.unpack(header)
        if not HEADER.size <= size <= MAX_FRAME_BYTES:
            raise WireError(f"invalid frame size: {size} bytes")
        replies: list[bytes] = []
        for instance, record in read_batch(read_exactly(stdin, size - HEADER.size), count):
            replies += host.handle(now_us, instance, record)
        body = b"".join(replies)
        stdout.write(REPLY_HEADER.pack(REPLY_HEADER.size + len(body), batch_number) + body)
        stdout.flush()


def main() -> int:
    """Serves standard input. Returns the exit code: 2 for malformed input, 1 if the output was closed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"rookbend: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
