"""A client on a plain socket: the test decides when it reads, and can tell a close from a reset."""

import socket

import trio
import trio.testing

from rookbend.testing.open_loop_client import encode_frame
from tests.director_scenario import OBJ

SERVED, REFUSED = 0, 14
ANSWERED, CLOSING = 8, 3


def request(stream, chunk=0, budget=5000):
    return encode_frame(
        7, stream, {"method": "video", "obj": OBJ, "budget": str(budget), "chunk": str(chunk), "rid": f"{stream:016x}"}
    )


class RawClient:
    """A client that reads only when the test says so, and tells a close from a reset."""

    def __init__(self, harness):
        self.harness, self.sock, self.data = harness, trio.socket.socket(), b""

    async def connect(self, receive_buffer=None):
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await self.sock.connect(self.harness.service.address)
        return self

    async def send(self, data):
        await self.sock.send(data)
        await trio.testing.wait_all_tasks_blocked()

    async def read_to_end(self):
        """Returns all frames until the close as (type, stream, code). A reset raises ConnectionResetError."""
        with trio.fail_after(60):
            while more := await self.sock.recv(65536):
                self.data += more
        found, at = [], 0
        while at < len(self.data):
            size = int.from_bytes(self.data[at : at + 4], "big")
            kind, stream = self.data[at + 4], int.from_bytes(self.data[at + 5 : at + 9], "big")
            found.append((kind, stream, self.data[at + 9] if size > 5 else None))
            at += 4 + size
        return found
