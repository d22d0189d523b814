"""Hosts router instances for the simulator: batches on standard input, replies on standard output."""

from __future__ import annotations

import sys

from rookbend import simulator_codec, simulator_settings
from rookbend.routing import Router


def read_exactly(stream, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise simulator_codec.WireError("the input ends inside a frame")
    return data


def serve(stdin, stdout) -> None:
    """Answers every batch until the input ends."""
    routers: dict[int, Router] = {}
    while True:
        first = stdin.read(simulator_codec.HEADER.size)
        if not first:
            return
        if len(first) < simulator_codec.HEADER.size:
            raise simulator_codec.WireError("the input ends inside a frame header")
        now, size, count, number = simulator_codec.HEADER.unpack(first)
        if not simulator_codec.HEADER.size <= size <= simulator_codec.MAX_FRAME:
            raise simulator_codec.WireError(f"a frame cannot be {size} bytes long")
        events = simulator_codec.read_batch(read_exactly(stdin, size - simulator_codec.HEADER.size), count)
        out = []
        for instance, event in events:
            kind = type(event)
            if kind is simulator_codec.Attach:
                routers[instance] = Router(simulator_settings.parse_settings(event.info), event.seed)
            elif kind is simulator_codec.Retire:
                routers.pop(instance, None)
            else:
                router = routers.get(instance)
                if router is None:
                    raise simulator_codec.WireError(f"an event for instance {instance}, which has not started")
                for action in router.handle(now, event):
                    out.append(simulator_codec.write_action(instance, action))
        body = b"".join(out)
        stdout.write(simulator_codec.REPLY_HEADER.pack(simulator_codec.REPLY_HEADER.size + len(body), number) + body)
        stdout.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except simulator_codec.WireError as error:
        print(f"rookbend: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
