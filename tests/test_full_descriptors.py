"""A director process whose file descriptors are nearly used up by clients that are idle or write for ever."""

import resource
from contextlib import suppress

import trio

from rookbend.protocol.client_frames import MAX_BUFFERED_BYTES
from rookbend.testing.director_process import DirectorProcess, find_free_port, running_directors
from rookbend.testing.measurement_fleet import open_fleet
from rookbend.testing.open_loop_client import encode_frame

SOCKETS = 128
IDLE = 200
MAX_CLIENTS = SOCKETS // 3
TIMEOUT_S = 20


class Client:
    """One connection: sends requests and reads their answers, one at a time."""

    def __init__(self, stream):
        self.stream, self.data, self.number = stream, b"", 0

    async def answer_code(self, kind, fields):
        """Sends a request or a readiness query; returns the code of its answer."""
        self.number += 1
        await self.stream.send_all(encode_frame(kind, self.number, fields))
        with trio.fail_after(TIMEOUT_S):
            while len(self.data) < 4 or len(self.data) < 4 + int.from_bytes(self.data[:4], "big"):
                more = await self.stream.receive_some()
                assert more, "closed without an answer"
                self.data += more
        size = int.from_bytes(self.data[:4], "big")
        answer, self.data = self.data[4 : 4 + size], self.data[4 + size :]
        return answer[5]


def request_fields(number):
    return {"method": "video", "obj": f"{number:016x}", "rid": f"{number:016x}", "budget": "4000"}


async def connect(port):
    with trio.fail_after(TIMEOUT_S):
        return Client(await trio.open_tcp_stream("127.0.0.1", port))


def test_idle_clients_do_not_block_new_clients_members_or_discovery(tmp_path):
    async def main():
        async with open_fleet(caches=2) as fleet:
            port, config_port = find_free_port(), find_free_port()
            config = fleet.director_config(False, port)
            config["limits"]["sockets"] = SOCKETS
            config["coordinator"] = f"127.0.0.1:{config_port}"  # nothing listens there: discovery is down
            director = DirectorProcess(".", tmp_path, config)
            async with running_directors(director):
                resource.prlimit(director.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
                idle = [await connect(port) for _ in range(IDLE)]
                for client in idle[-20:]:
                    assert await client.answer_code(1, {}) == 0  # these send one query and stay connected
                for i in range(1, 6):
                    newcomer = await connect(port)
                    assert await newcomer.answer_code(1, {}) == 0
                    assert await newcomer.answer_code(7, request_fields(i)) == 0
                assert not fleet.coordinator.streams
                listeners = await trio.open_tcp_listeners(config_port, host="127.0.0.1")
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(trio.serve_listeners, fleet.coordinator.serve, listeners)
                    with trio.fail_after(TIMEOUT_S):
                        while not fleet.coordinator.streams:
                            await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()
                assert await (await connect(port)).answer_code(7, request_fields(99)) == 0
                for client in idle:
                    await client.stream.aclose()

    trio.run(main)


async def write_for_ever(client):
    """Writes most of the longest request that is buffered, then a byte at a time, until the director closes."""
    with suppress(trio.BrokenResourceError):
        await client.stream.send_all(MAX_BUFFERED_BYTES.to_bytes(4, "big") + bytes([7, 0, 0, 0, 1]) + bytes(60_000))
        while True:
            await trio.sleep(0.15)
            await client.stream.send_all(b"\0")


def test_clients_that_write_for_ever_do_not_block_new_clients_and_hold_bounded_memory(tmp_path):
    async def main():
        async with open_fleet(caches=2) as fleet:
            port = find_free_port()
            config = fleet.director_config(False, port)
            config["limits"]["sockets"] = SOCKETS
            director = DirectorProcess(".", tmp_path, config)
            async with running_directors(director), trio.open_nursery() as nursery:
                resource.prlimit(director.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
                assert await (await connect(port)).answer_code(7, request_fields(1)) == 0
                resident_kb = director.resident_kb()
                for _ in range(IDLE):
                    nursery.start_soon(write_for_ever, await connect(port))
                for number in range(2, 22):
                    newcomer = await connect(port)
                    assert await newcomer.answer_code(7, request_fields(number)) == 0
                    assert director.resident_kb() - resident_kb <= MAX_CLIENTS * 2 * MAX_BUFFERED_BYTES / 1024
                nursery.cancel_scope.cancel()

    trio.run(main)
