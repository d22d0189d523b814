"""Hosts router instances for the simulator: batches on standard input, replies on standard output."""

from __future__ import annotations

import sys

from rookbend import wire
from rookbend.logic import Router


def read_exactly(stream, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise wire.WireError("the input ends inside a frame")
    return data


def serve(stdin, stdout) -> None:
    """Answers every batch until the input ends."""
    routers: dict[int, Router] = {}
    while True:
        first = stdin.read(wire.HEADER.size)
        if not first:
            return
        if len(first) < wire.HEADER.size:
            raise wire.WireError("the input ends inside a frame header")
        now, size, count, number = wire.HEADER.unpack(first)
        if not wire.HEADER.size <= size <= wire.MAX_FRAME:
            raise wire.WireError(f"a frame cannot be {size} bytes long")
        events = wire.read_batch(read_exactly(stdin, size - wire.HEADER.size), count)
        out = []
        for instance, event in events:
            kind = type(event)
            if kind is wire.Attach:
                routers[instance] = Router(wire.parse_settings(event.info), event.seed)
            elif kind is wire.Retire:
                routers.pop(instance, None)
            else:
                router = routers.get(instance)
                if router is None:
                    raise wire.WireError(f"an event for instance {instance}, which has not started")
                for action in router.handle(now, event):
                    out.append(wire.write_action(instance, action))
        body = b"".join(out)
        stdout.write(wire.REPLY_HEADER.pack(wire.REPLY_HEADER.size + len(body), number) + body)
        stdout.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"rookbend: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
