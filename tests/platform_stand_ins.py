"""The actors of the scenario language: clients, members and the coordinator, on real loopback sockets."""

import json
import struct

import trio
import trio.testing

from rookbend.testing.open_loop_client import encode_frame

TIMEOUT_S = 60
OBJ = "7f3a9c21e0b4d655"
OUTCOMES = {0: "served", 14: "refused", 2: "failed"}


def pairs(words):
    return dict(w.split("=", 1) for w in words if "=" in w)


class Actor:
    """A stand-in for a process outside the director. What it receives goes into `observed`, one list of words each."""

    def __init__(self, harness):
        self.harness = harness
        self.send_observed, self.observed = trio.open_memory_channel(1000)
        self.streams = []

    def record(self, *words):
        self.send_observed.send_nowait([str(w) for w in words])

    async def expect(self, words):
        with trio.move_on_after(TIMEOUT_S):
            observed = await self.observed.receive()
            assert set(words) <= set(observed), f"expected {words}, observed {observed}"
            return
        raise AssertionError(f"expected {words}, observed nothing")

    async def expect_nothing(self):
        await trio.testing.wait_all_tasks_blocked()
        assert not self.observed.statistics().current_buffer_used, f"observed {self.observed.receive_nowait()}"

    async def close(self):
        while self.streams:
            await self.streams.pop().aclose()


class Client(Actor):
    async def open(self):
        stream = await trio.open_tcp_stream(*self.harness.service.address)
        self.streams.append(stream)
        self.harness.nursery.start_soon(self.read, stream)

    async def send(self, words):
        if not self.streams:
            await self.open()
        kind, args = words[0], pairs(words)
        if kind == "raw":
            data = bytes.fromhex(words[1])
        elif kind == "request":
            body = args.pop("body", "").encode()
            args.setdefault("rid", f"{int(words[1]):016x}")
            data = encode_frame(7, int(words[1]), {"method": words[2], "obj": OBJ, "budget": "1500", **args}, body)
        else:
            data = encode_frame({"cancel": 9, "ready?": 1}[kind], int(words[1]), {} if kind == "ready?" else None)
        await self.streams[-1].send_all(data)

    async def read(self, stream):
        data = b""
        try:
            async for received in stream:
                data += received
                while len(data) >= 4 and len(data) >= 4 + (size := int.from_bytes(data[:4], "big")):
                    self.handle_frame(data[4 : 4 + size])
                    data = data[4 + size :]
            self.record("closed")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    def handle_frame(self, data):
        kind, stream = data[0], int.from_bytes(data[1:5], "big")
        if kind == 3:
            return self.record("closing")
        fields, at = [], 7
        for _ in range(data[6]):
            n = at + 1 + data[at]
            v = n + 2 + int.from_bytes(data[n : n + 2], "big")
            fields.append(f"{data[at + 1:n].decode()}={data[n + 2:v].decode()}")
            at = v
        self.record(*(["ready"] if kind == 2 else []), OUTCOMES[data[5]], stream, *fields, data[at:].decode())


class MemberServer(Actor):
    """A cache, a parent or the origin: records `do` and `undo`, and answers the newest `do` or the one that rid= names."""

    async def open(self):
        listeners = await trio.open_tcp_listeners(self.harness.ports.get(self, 0), host=self.host)
        self.harness.ports[self] = listeners[0].socket.getsockname()[1]
        self.listener = listeners[0]
        self.received_attempts, self.stalled = {}, set()
        self.reading = trio.Event()  # while not set, no connection is read
        self.reading.set()
        self.serving = trio.CancelScope()
        self.harness.nursery.start_soon(self.serve, listeners)

    async def serve(self, listeners):
        with self.serving:
            await trio.serve_listeners(self.read, listeners)

    async def crash(self):
        """Ends as a killed process does: connections are reset, and new ones are refused until `open` is called again."""
        self.reset_on_close()
        self.streams.clear()
        self.serving.cancel()  # closes the listener and the connections that it accepted
        await trio.testing.wait_all_tasks_blocked()

    def reset_on_close(self):
        """Makes closing a connection send a reset from now on."""
        for stream in self.streams:
            if stream.socket.fileno() >= 0:
                stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def read(self, stream):
        self.streams.append(stream)
        data = b""
        try:
            while received := await self.receive(stream):
                data += received if stream not in self.stalled else b""
                while b"\r\n" in data:
                    line, rest = data.split(b"\r\n", 1)
                    verb, rid, *values = line.decode().split(" ")
                    if verb == "do":
                        size = int(values[1])
                        if len(rest) < size + 2:
                            break
                        body, rest = rest[:size].decode(), rest[size + 2 :]
                        self.received_attempts[rid] = self.received_attempts["-"] = (stream, rid)
                        self.record("do", f"rid={rid}", *values[0].split(","), f"body={body}")
                    elif verb != "pad":
                        self.record(verb, f"rid={rid}")
                    data = rest
            if stream in self.stalled:
                await trio.sleep_forever()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def receive(self, stream):
        await trio.lowlevel.wait_readable(stream.socket)
        await self.reading.wait()
        return await stream.receive_some()

    async def has_received(self, verb):
        """Empties `observed`; returns whether a `verb` was in it."""
        await trio.testing.wait_all_tasks_blocked()
        observed = [self.observed.receive_nowait() for _ in range(self.observed.statistics().current_buffer_used)]
        return any(words[0] == verb for words in observed)

    async def send(self, words):
        if words[0] == "pause":  # stops reading from all connections
            self.reading = trio.Event()
            return
        if words[0] == "resume":
            return self.reading.set()
        args = pairs(words)
        stream, rid = self.received_attempts[args.pop("rid", "-")]
        if words[0] == "stall":  # ignores further data and the end of that connection
            return self.stalled.add(stream)
        body = args.pop("body", "")
        rid = args.pop("as", rid)
        fields = ",".join(f"{k}={v}" for k, v in args.items()) or "-"
        data = {"garbage": "%%\r\n", "short": f"{rid} ok - 500\r\nhel"}.get(
            words[0], f"{rid} {words[0]} {fields} {len(body)}\r\n{body}\r\n"
        )
        await stream.send_all(data.encode())

    async def close(self):
        self.reset_on_close()
        await super().close()


class Coordinator(Actor):
    async def open(self):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port, self.index = listeners[0].socket.getsockname()[1], 1
        self.lock = trio.Lock()
        self.answering = trio.Event()  # until it is set, calls are accepted and not answered
        self.answering.set()
        self.harness.nursery.start_soon(trio.serve_listeners, self.read, listeners)

    async def read(self, stream):
        self.streams.append(stream)
        head = (await stream.receive_some()).decode()
        self.record("call", *(line.replace(": ", "=") for line in head.split("\r\n")))
        if not self.answering.is_set():
            await self.answering.wait()
        await self.write(stream, b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n")
        try:
            while True:
                await trio.sleep(1)
                await self.write(stream, b":\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def send(self, words):
        self.index = int(pairs(words).get("index", self.index + 1))
        if words[0] == "purge":
            event = {"evict": {"ref": words[1], "unix_ms": int(self.harness.unix() * 1000)}}
        else:
            event = {"endpoints": {"members": [self.harness.member(words[1], words[0])]}}
        text = f"id: {self.index}\ndata: {json.dumps({'index': self.index, **event})}\n\n"
        await self.write(self.streams[-1], text.encode())

    async def write(self, stream, data):
        async with self.lock:
            await stream.send_all(data)
