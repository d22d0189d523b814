"""What directors tell one another: msgpack in datagrams of 256 bytes at most, lossy, late and doubled.

    "RB" version [kind, fleet, number, life, ...]

    Hello   who I am, how long I have been up, where I stand, what I hold; what I know of you; rows of others
    Ask     the rows of a kind that I lack, from a key on
    Piece   rows of a kind, in order of their keys; `more` where others follow

`fleet` is a hash of the fleet's name; `number` the sender's place in `peers`; `life` a number drawn at each
start, which tells two lives apart that claim one boot number. Times travel as ages, so that no two Unix
clocks are compared. What can't be read is `FleetError`, and costs the sender's datagram."""

from __future__ import annotations

from hashlib import blake2b

import msgspec

MAGIC = b"RB\x01"
MOST_BYTES = 256
AGE_MOST_MS = 10 * 365 * 86_400_000


class FleetError(Exception):
    """No datagram of this exchange."""


class Seen(msgspec.Struct, array_like=True, frozen=True):
    """A row on another director, passed on: what the sender holds true of it."""

    number: int
    boot: int
    beat: int
    phase: int
    age_s: int


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    fleet: int
    number: int
    life: int
    boot: int
    beat: int  # grows with each Hello of a life
    phase: int
    stage: int
    age_ms: int  # since this life began
    covered: bool  # knows of every purge since it was dark
    revision: int  # of the membership
    digests: tuple[int, ...]  # of what it holds, by `KINDS`
    # The fleet's rate in tenths, 0: free; calls to the origin of late, of these bad, slow; the fastest, ms.
    origin: tuple[int, int, int, int, int]
    yours: tuple[int, int] = (0, 0)  # the highest boot number it knows of you, and that life
    others: tuple[Seen, ...] = ()


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=2):
    fleet: int
    number: int
    life: int
    kind: int
    after: str


class Piece(msgspec.Struct, array_like=True, frozen=True, tag=3):
    fleet: int
    number: int
    life: int
    kind: int
    rows: tuple[tuple[str, bytes], ...]
    more: bool


Message = Hello | Ask | Piece
KINDS = "order", "purge", "drain"  # what is asked of others, by place

_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def fleet_number(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def is_ours(data: bytes) -> bool:
    """Whether a datagram belongs to this exchange, and not to the decision module."""
    return data.startswith(MAGIC[:2])


def encode(message: Message) -> bytes:
    """Raises FleetError where it would not fit."""
    data = MAGIC + _encoder.encode(message)
    if len(data) > MOST_BYTES:
        raise FleetError(f"{len(data)} bytes")
    return data


def hello(message: Hello, others: list[Seen]) -> bytes:
    """The datagram with as many of the others' rows as fit."""
    low, high = 0, len(others)
    best = encode(message)
    while low < high:
        middle = (low + high + 1) // 2
        try:
            best = encode(msgspec.structs.replace(message, others=tuple(others[:middle])))
            low = middle
        except FleetError:
            high = middle - 1
    return best


def pieces(fleet: int, number: int, life: int, kind: int, rows: list[tuple[str, bytes]]) -> bytes:
    """A datagram with as many rows, from the first, as fit; a row that can never fit is passed over."""
    taken: list[tuple[str, bytes]] = []
    best = encode(Piece(fleet, number, life, kind, (), False))
    for at, row in enumerate(rows):
        try:
            best = encode(Piece(fleet, number, life, kind, (*taken, row), at + 1 < len(rows)))
            taken.append(row)
        except FleetError:
            if taken:
                return encode(Piece(fleet, number, life, kind, tuple(taken), True))
    return best


def decode(data: bytes) -> Message:
    """Raises FleetError: no such datagram, or one whose figures can't be."""
    if len(data) > MOST_BYTES or not data.startswith(MAGIC):
        raise FleetError("another version" if is_ours(data) else "not ours")
    try:
        message = _decoder.decode(data[len(MAGIC) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise FleetError(str(error)) from None
    figures = (message.number, message.life)
    if isinstance(message, Hello):
        figures += (
            message.boot,
            message.beat,
            message.phase,
            message.stage,
            message.age_ms,
            message.revision,
            *message.digests,
            *message.origin,
            *message.yours,
        )
        if len(message.digests) != len(KINDS) or message.age_ms > AGE_MOST_MS:
            raise FleetError("figures that can't be")
        for seen in message.others:
            figures += (seen.number, seen.boot, seen.beat, seen.phase, seen.age_s)
    elif not 0 <= message.kind < len(KINDS):
        raise FleetError("an unknown kind of row")
    if min(figures) < 0 or max(figures) >= 1 << 48:
        raise FleetError("figures that can't be")
    return message
