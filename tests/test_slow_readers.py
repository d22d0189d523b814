"""A client that still receives its answers gets them whole, whatever ends its connection.

Guards against review case 8: a connection counted as idle once the kernel had the answers. It was closed 250 ms later, and
what the client sent next was met by a reset, which discarded the answers that it had not received yet.
"""

import fcntl
import socket
import struct

import dns.message
import pytest
import trio
import trio.testing

from rookbend.drain import GRACE_US
from rookbend.fronts.platform import INACTIVITY_LIMITS
from rookbend.net.client_listener import MIN_STALL_TIMEOUT_US, NEW_CLIENT_GRACE_US
from rookbend.protocol import dns_tcp
from tests.director_scenario import run_with_director
from tests.raw_client import ANSWERED, CLOSING, REFUSED, SERVED, RawClient, request
from tests.test_dns_tcp_client import READ, UNKNOWN

GRACE_S = GRACE_US / 1e6
IDLE_S = INACTIVITY_LIMITS.idle_us / 1e6
STALL_S = MIN_STALL_TIMEOUT_US / 1e6
BODY_BYTES = 200_000
RECEIVE_BUFFER = 4096
PIECE_BYTES = 4096
CROWD = 10
SIOCOUTQNSD = 0x894B  # linux/sockios.h: bytes of the send queue that were not sent yet
INVALID_BYTES = b"\x00\x00\x00\x01\xff"


def bytes_in_kernel(sock):
    (size,) = struct.unpack("i", fcntl.ioctl(sock, SIOCOUTQNSD, bytes(4)))
    return size


async def connect(harness):
    client = await RawClient(harness).connect(receive_buffer=RECEIVE_BUFFER)
    # Under a simulated clock, the acknowledgement that a small write would wait for comes too late.
    client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return client


async def client_with_an_unread_answer(harness, stream=1):
    """A client whose answer the kernel has taken, and that has read none of it."""
    client = await connect(harness)
    await client.send(request(stream, chunk=stream))
    await harness.actors["cache1"].expect(["do"])
    await harness.play(f"cache1 send ok rid={stream:016x} note=mem body={'x' * BODY_BYTES}")
    await trio.testing.wait_all_tasks_blocked()
    connection = list(harness.service.client_listener.open)[-1]
    assert not connection.socket.unsent_bytes and bytes_in_kernel(connection.socket.sock)
    return client


async def read_piece(client):
    client.data += await client.sock.recv(PIECE_BYTES)
    await trio.testing.wait_all_tasks_blocked()


def answers(frames):
    return sorted(frame for frame in frames if frame[0] == ANSWERED)


@pytest.mark.parametrize("crowd", [1, CROWD])
def test_a_shutdown_lets_clients_that_read_slowly_receive_their_answers(crowd):
    async def check(harness):
        clients = [await client_with_an_unread_answer(harness, stream) for stream in range(1, crowd + 1)]
        harness.service.stop()
        await trio.sleep(GRACE_S + 0.5)
        for number, client in enumerate(clients):
            await client.send(request(100 + number))
        for number, client in enumerate(clients):
            frames = await client.read_to_end()
            assert answers(frames) == [(ANSWERED, number + 1, SERVED), (ANSWERED, 100 + number, REFUSED)]
            assert frames.count((CLOSING, 0, None)) == 1
            client.sock.close()
        with trio.fail_after(4):
            await harness.done.wait()

    run_with_director(check)


def test_a_shutdown_ends_in_time_beside_a_client_that_never_reads():
    async def check(harness):
        client = await client_with_an_unread_answer(harness)
        harness.service.stop()
        with trio.fail_after(3 + GRACE_S):
            await harness.done.wait()
        assert answers(await client.read_to_end()) == [(ANSWERED, 1, SERVED)]

    run_with_director(check)


def test_a_client_that_still_receives_an_answer_is_not_evicted():
    async def check(harness):
        harness.service.client_listener.max_clients = 1
        client = await client_with_an_unread_answer(harness)
        await trio.sleep(2 * NEW_CLIENT_GRACE_US / 1e6)
        newcomer = await RawClient(harness).connect()
        await trio.sleep(2 * NEW_CLIENT_GRACE_US / 1e6)
        await client.send(request(2, chunk=2))
        await harness.play("cache1 expect do\ncache1 send ok rid=0000000000000002 note=mem body=hello")
        frames = await client.read_to_end()  # once it has everything, it makes room for the newcomer
        assert answers(frames) == [(ANSWERED, 1, SERVED), (ANSWERED, 2, SERVED)]
        client.sock.close()
        await newcomer.send(request(3, chunk=3))
        await harness.play("cache1 expect do rid=0000000000000003")

    run_with_director(check)


def test_a_client_that_reads_an_answer_for_longer_than_it_may_be_idle_keeps_its_connection():
    async def check(harness):
        client = await client_with_an_unread_answer(harness)
        for _ in range(int(IDLE_S) + 2):
            await trio.sleep(1)
            await read_piece(client)
        await client.send(request(2, chunk=2))
        await harness.play("cache1 expect do\ncache1 send ok rid=0000000000000002 note=mem body=hello")
        frames = await client.read_to_end()
        assert answers(frames) == [(ANSWERED, 1, SERVED), (ANSWERED, 2, SERVED)]

    run_with_director(check)


def test_a_client_that_stops_reading_loses_its_place_in_time():
    async def check(harness):
        await client_with_an_unread_answer(harness)
        await trio.sleep(STALL_S + 1)
        assert not harness.service.client_listener.open

    run_with_director(check)


def test_a_client_that_sends_on_after_invalid_bytes_receives_its_earlier_answers():
    async def check(harness):
        client = await client_with_an_unread_answer(harness)
        await client.send(INVALID_BYTES)
        for _ in range(4):
            await trio.sleep(0.25)
            await client.send(INVALID_BYTES)
        assert (ANSWERED, 1, SERVED) in await client.read_to_end()
        client.sock.close()
        await trio.sleep(1)
        assert not harness.service.client_listener.open

    run_with_director(check)


def test_a_client_that_sends_for_ever_after_the_close_loses_its_place_in_time():
    async def check(harness):
        client = await connect(harness)
        await client.send(INVALID_BYTES)
        closed_s = trio.current_time()
        with pytest.raises(OSError):
            while trio.current_time() < closed_s + 10:
                await client.send(b"x")
                await trio.sleep(0.1)
        assert trio.current_time() < closed_s + 4
        assert not harness.service.client_listener.open

    run_with_director(check)


async def read_to_end(sock):
    data = b""
    while more := await sock.recv(PIECE_BYTES):
        data += more
    return data


@pytest.mark.parametrize("server, data", [(0, b"agent-send\n"), (1, b"GET /health HTTP/1.0\r\n\r\nGET /health")])
def test_a_balancer_that_sends_more_than_is_read_receives_its_answer(server, data):
    # Guards against a reset by a close over unread bytes, which discards the answer.
    async def check(harness):
        with trio.socket.socket() as sock:
            await sock.connect(harness.service.balancer[server].address)
            await sock.send(data)
            await trio.sleep(0.1)
            await sock.send(data)
            await trio.sleep(0.1)
            await sock.send(data)  # fails after a reset
            assert await read_to_end(sock)

    run_with_director(check)


def dns_query(name, number):
    return dns_tcp.frame(dns.message.make_query(name, "A", id=number).to_wire())


def test_a_client_of_dns_over_tcp_that_sends_on_receives_its_replies():
    async def check(harness):
        with trio.socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            await sock.connect(harness.service.dns.address)
            count = 200
            for number in range(count):
                await sock.send(dns_query(UNKNOWN, number))
            await trio.testing.wait_all_tasks_blocked()
            harness.service.stop()
            await trio.sleep(GRACE_S + 0.5)
            await sock.send(dns_query(READ, count))
            replies = dns_tcp.MessageReader().feed(await read_to_end(sock))
            assert [int.from_bytes(wire[:2], "big") for wire in replies] == list(range(count + 1))
        await harness.play("director expect")

    run_with_director(check)
