"""Clients that misuse the platform's client protocol: crowds that hold many connections, and single floods.

`python -m rookbend.testing.hostile_clients KIND HOST PORT --clients N --seconds S` plays one kind in a process of its
own, so that it competes with the director for no event loop but its own. It ends by itself.
"""

from __future__ import annotations

import argparse
import itertools
import os
import struct
from collections.abc import AsyncIterator, Callable, Iterator

import trio

from rookbend.testing.open_loop_client import REQUEST_FRAME, encode_frame

READINESS_FRAME = 1
HOSTILE_ID_PREFIX = "fffff"  # of the ids of all requests and objects
CANCEL_FRAME = 9
MAX_FIELDS = 255  # their count is one byte
WRITE_BODY_BYTES = 48_000
LARGE_FRAME_BYTES = 262_144
STREAMS = 32  # open requests that the protocol allows on one connection
PIECE_PAUSE_S = 0.26
HOLD_S = 1.5  # a client stays connected for this long after its last piece
BATCH_BYTES = 1 << 16
RECONNECT_PAUSE_S = 0.01

Pieces = AsyncIterator[bytes]


def request_fields(number: int, class_name: str = "video", budget_ms: int = 3000) -> dict[str, str]:
    """The fields of a sound request; its request id and object are new with every number and process."""
    identity = f"{HOSTILE_ID_PREFIX}{os.getpid() % 0x10000:04x}{number:07x}"
    return {"method": class_name, "rid": identity, "obj": identity, "budget": str(budget_ms)}


def write_frame(stream: int, number: int) -> bytes:
    """A sound write of the largest size."""
    return encode_frame(REQUEST_FRAME, stream, request_fields(number, "form"), bytes(WRITE_BODY_BYTES))


def many_fields_frame(stream: int, number: int) -> bytes:
    """A request whose head has as many fields as fit, all short, and each name new."""
    names = (f"{number % 0x10000:04x}{index:02x}" for index in range(MAX_FIELDS))
    return encode_frame(REQUEST_FRAME, stream, dict.fromkeys(names, "é"))


# Crowds: what one of many clients sends, a piece at a time. After the last piece it stays and sends nothing.


async def slow_write(client: int) -> Pieces:
    """Half of a large write, more of it after a pause, and then nothing."""
    frame = write_frame(1, client)
    yield frame[: len(frame) // 2]
    await trio.sleep(PIECE_PAUSE_S)
    yield frame[len(frame) // 2 : -1]


async def half_large_frame(client: int) -> Pieces:
    """Half of the longest frame of the protocol, and then nothing."""
    yield struct.pack(">IBI", LARGE_FRAME_BYTES, REQUEST_FRAME, 1) + bytes(LARGE_FRAME_BYTES // 2)


async def unfinished_fields(client: int) -> Pieces:
    """Many heads of short fields, of which the last is unfinished."""
    frames = b"".join(many_fields_frame(stream, client * STREAMS + stream) for stream in range(1, STREAMS + 1))
    yield frames[:-1]


async def whole_writes(client: int) -> Pieces:
    """As many large writes as may be open at a time."""
    for stream in range(1, STREAMS + 1):
        yield write_frame(stream, client * STREAMS + stream)


async def unread_answers(client: int) -> Pieces:
    """As many reads as may be open at a time, again and again, of which no answer is read."""
    for round_number in itertools.count(1):
        numbers = range(round_number * STREAMS, (round_number + 1) * STREAMS)
        yield b"".join(
            encode_frame(REQUEST_FRAME, number, request_fields(client * LARGE_FRAME_BYTES + number))
            for number in numbers
        )
        await trio.sleep(PIECE_PAUSE_S)


async def idle(client: int) -> Pieces:
    """Nothing at all."""
    for piece in ():
        yield piece


CROWDS: dict[str, Callable[[int], Pieces]] = {
    "slow-write": slow_write,
    "half-large-frame": half_large_frame,
    "unfinished-fields": unfinished_fields,
    "whole-writes": whole_writes,
    "idle": idle,
}
# Their clients keep their places for as long as their answers wait to be read.
CROWDS_THAT_READ_NOTHING: dict[str, Callable[[int], Pieces]] = {"unread-answers": unread_answers}
ALL_CROWDS = {**CROWDS, **CROWDS_THAT_READ_NOTHING}


# Floods: the frames that one client sends as fast as the connection takes them.


def empty_requests() -> Iterator[bytes]:
    """The smallest frames of a request, without a field list."""
    return (encode_frame(REQUEST_FRAME, number) for number in itertools.count(1))


def unknown_classes() -> Iterator[bytes]:
    """Requests for classes that no settings name, a new one each time."""
    return (
        encode_frame(REQUEST_FRAME, number, request_fields(number, f"class{number}")) for number in itertools.count(1)
    )


def many_fields() -> Iterator[bytes]:
    """Requests with as many short fields as a head takes."""
    return (many_fields_frame(number, number) for number in itertools.count(1))


def readiness_requests() -> Iterator[bytes]:
    """Queries for readiness."""
    return (encode_frame(READINESS_FRAME, number, {}) for number in itertools.count(1))


def cancelled_requests() -> Iterator[bytes]:
    """Sound requests, each cancelled at once."""
    for number in itertools.count(1):
        yield encode_frame(REQUEST_FRAME, number, request_fields(number))
        yield encode_frame(CANCEL_FRAME, number)


def sound_requests() -> Iterator[bytes]:
    """Sound requests, far more than the director may have open for one client."""
    return (encode_frame(REQUEST_FRAME, number, request_fields(number)) for number in itertools.count(1))


def expired_requests() -> Iterator[bytes]:
    """Sound requests whose time is over as they arrive."""
    return (encode_frame(REQUEST_FRAME, number, request_fields(number, budget_ms=0)) for number in itertools.count(1))


FLOODS: dict[str, Callable[[], Iterator[bytes]]] = {
    "empty-requests": empty_requests,
    "unknown-classes": unknown_classes,
    "many-fields": many_fields,
    "readiness-requests": readiness_requests,
    "cancelled-requests": cancelled_requests,
    "sound-requests": sound_requests,
    "expired-requests": expired_requests,
}


async def _read_until_closed(stream: trio.SocketStream) -> None:
    try:
        while await stream.receive_some():
            pass
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass


async def _hold_connection(address: tuple[str, int], pieces: Pieces) -> None:
    """Sends the pieces on one connection, then waits until the director closes it, HOLD_S at most. Reads answers only
    after the last piece."""
    try:
        async with await trio.open_tcp_stream(*address) as stream:
            async for piece in pieces:
                await stream.send_all(piece)
            with trio.move_on_after(HOLD_S):
                await _read_until_closed(stream)
    except (OSError, trio.BrokenResourceError):
        pass


async def play_crowd(kind: str, address: tuple[str, int], clients: int) -> None:
    """Keeps `clients` connections of this kind busy until cancelled: one that has ended is replaced."""
    numbers = itertools.count()

    async def reconnect() -> None:
        while True:
            await _hold_connection(address, ALL_CROWDS[kind](next(numbers)))
            await trio.sleep(RECONNECT_PAUSE_S)

    async with trio.open_nursery() as nursery:
        for _ in range(clients):
            nursery.start_soon(reconnect)


async def play_flood(kind: str, address: tuple[str, int], is_reading: bool) -> None:
    """Sends one flood on one connection after another until cancelled."""
    frames = FLOODS[kind]()
    while True:
        try:
            async with await trio.open_tcp_stream(*address) as stream, trio.open_nursery() as nursery:
                if is_reading:
                    nursery.start_soon(_read_until_closed, stream)
                while True:
                    await stream.send_all(_batch(frames))
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.sleep(RECONNECT_PAUSE_S)


def _batch(frames: Iterator[bytes]) -> bytes:
    batch = bytearray()
    while len(batch) < BATCH_BYTES:
        batch += next(frames)
    return bytes(batch)


async def play(kind: str, address: tuple[str, int], clients: int, seconds: float, is_reading: bool = True) -> None:
    """Plays one kind for so many seconds, with `clients` connections at a time."""
    with trio.move_on_after(seconds):
        if kind in ALL_CROWDS:
            await play_crowd(kind, address, clients)
        async with trio.open_nursery() as nursery:
            for _ in range(clients):
                nursery.start_soon(play_flood, kind, address, is_reading)


def main() -> None:
    """Reads the command line and plays."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=sorted({*ALL_CROWDS, *FLOODS}))
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    parser.add_argument("--clients", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--unread", action="store_true", help="the clients of a flood read no answers")
    args = parser.parse_args()
    trio.run(play, args.kind, (args.host, args.port), args.clients, args.seconds, not args.unread)


if __name__ == "__main__":
    main()
