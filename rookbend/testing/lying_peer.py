"""Mutates the fields of a datagram but not its msgpack encoding, like a faulty peer or one of another version."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any

import msgspec

from rookbend.protocol import gossip

MAGIC_BYTES = len(gossip.MAGIC)  # the lease protocol's magic has the same length
NUMBERS = (
    *(0, 1, -1, -2, 2, 3, 5, 7, 127, 255),
    *(1 << 16, (1 << 31) - 1, 1 << 32, 1 << 48, 1 << 61, (1 << 62) - 1, 1 << 62),
)
TEXTS = "", "x", "x" * 40, "x" * 90, "x" * 150, "@orders", "@checks/3", "@nope/9", "drain", "pin3", "pin99", "unpin"
OTHER_VALUES = None, True, False, b"x", 1.5
NEARBY_OFFSETS = -1, 1, 2, 1000
MAX_CHANGES = 3

Path = tuple[int, ...]


def _paths(value: object, path: Path = ()) -> Iterator[Path]:
    yield path
    if isinstance(value, list):
        for index, item in enumerate(value):
            yield from _paths(item, (*path, index))


def _replacement(generator: random.Random, old: Any) -> Any:
    choice = generator.random()
    if choice < 0.15:
        return generator.choice((*NUMBERS, *TEXTS, *OTHER_VALUES))
    if isinstance(old, bool) or old is None:
        return generator.choice(OTHER_VALUES)
    if isinstance(old, int):
        return old + generator.choice(NEARBY_OFFSETS) if choice < 0.4 else generator.choice(NUMBERS)
    if isinstance(old, str):
        return generator.choice(TEXTS)
    if isinstance(old, list):
        return old * generator.choice((0, 2, 3))
    if isinstance(old, bytes) and choice < 0.8:
        return _mutate_nested(generator, old)
    return generator.choice(OTHER_VALUES)


def _mutate_nested(generator: random.Random, data: bytes) -> bytes:
    """Mutates a value that is encoded as bytes; bytes that are not msgpack become random ones."""
    try:
        message = msgspec.msgpack.decode(data)
    except msgspec.MsgspecError:
        return generator.randbytes(len(data))
    return msgspec.msgpack.encode(_mutate_message(generator, message))


def _mutate_message(generator: random.Random, message: Any) -> Any:
    paths = [path for path in _paths(message) if path]
    if not paths:
        return _replacement(generator, message)
    *parents, last = generator.choice(paths)
    holder = message
    for index in parents:
        holder = holder[index]
    holder[last] = _replacement(generator, holder[last])
    return message


def mutate_datagram(generator: random.Random, data: bytes) -> bytes:
    """Returns the datagram with one to MAX_CHANGES values replaced, truncated to the maximum size of a datagram.

    Replacements are boundary values, nearby values, values of other types and lists of other lengths.
    """
    message = msgspec.msgpack.decode(data[MAGIC_BYTES:])
    for _ in range(generator.randint(1, MAX_CHANGES)):
        message = _mutate_message(generator, message)
    return (data[:MAGIC_BYTES] + msgspec.msgpack.encode(message))[: gossip.MAX_DATAGRAM_BYTES]
