"""A coordinator whose stream a test scripts byte by byte, including where it falls silent."""

import json

import msgspec
import trio

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(index, body, number=None) -> bytes:
    data = body if isinstance(body, str) else json.dumps({"index": index, **body})
    return f"id: {index if number is None else number}\ndata: {data}\n\n".encode()


class ScriptedCoordinator:
    """Accepts calls and sends nothing by itself: the test writes the bytes of each answer."""

    def __init__(self, harness):
        self.harness = harness
        self.send_calls, self.calls = trio.open_memory_channel(100)

    async def open(self):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.harness.nursery.start_soon(trio.serve_listeners, self.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        self.harness.config = msgspec.structs.replace(self.harness.config, coordinator=f"127.0.0.1:{port}")
        self.harness.service.reload()
        return self

    async def serve(self, stream):
        head = (await stream.receive_some()).decode()
        last = next(line.split(": ")[1] for line in head.split("\r\n") if line.startswith("Last-Event-ID"))
        self.send_calls.send_nowait((trio.current_time(), int(last), stream))
        await trio.sleep_forever()

    async def next_call(self):
        """The next call: its time, its last index, and the stream to answer on."""
        with trio.fail_after(60):
            return await self.calls.receive()

    def members(self, *names, **phases):
        return [self.harness.member(name, phases.get(name, "SERVING")) for name in names]


def full_membership(coordinator, index, *names, revision=1, **phases):
    return event(
        index, {"endpoints": {"revision": revision, "complete": True, "members": coordinator.members(*names, **phases)}}
    )


def member_change(coordinator, index, name, phase, **more):
    member = {**coordinator.members(name, **{name: phase})[0], **more}
    return event(index, {"endpoints": {"members": [member]}})
