"""Gossip between directors: msgpack in datagrams of 256 bytes at most; they may be lost, late or duplicated.

    "RB" version [type, fleet, number, incarnation, ...]

    Hello       identity, age and stage of the sender, digests of its rows; what it knows of the receiver; other peers
    RowRequest  requests rows of a kind, from a key on
    RowBatch    rows of a kind, in the order of their keys; `more` where others follow

`fleet` is a hash of the fleet's name, `number` the sender's place in `peers`, `incarnation` a number drawn at each
start, which tells two starts with one boot number apart. Times travel as ages, so that no two Unix clocks are
compared. The order of the fields is the format on the wire.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

import msgspec

MAGIC = b"RB\x01"
MAX_DATAGRAM_BYTES = 256
MAX_AGE_MS = 10 * 365 * 86_400_000
INTEGER_LIMIT = 1 << 48
ROW_KINDS = "order", "purge", "drain"  # by the index that travels


class GossipError(Exception):
    """Base of this protocol's errors."""


class GossipDecodeError(GossipError):
    """A datagram that is none of this exchange, or holds figures out of range; says why."""


class DatagramTooLongError(GossipError):
    """A message that does not fit into one datagram."""

    def __init__(self, length: int):
        super().__init__(f"{length} bytes, {MAX_DATAGRAM_BYTES} at most")
        self.length = length


class OriginLoad(NamedTuple):
    """What the sender sees of the origin: the fleet's rate in tenths of a call a second, 0: unlimited; its recent
    calls, and of these the failed and the slow ones; the fastest call."""

    rate_tenths: int
    calls: int
    failures: int
    slow_calls: int
    fastest_ms: int


class KnownIncarnation(NamedTuple):
    """The highest boot number that the sender knows of the receiver, and its incarnation; 0: none."""

    boot_number: int = 0
    incarnation: int = 0


class PeerSummary(msgspec.Struct, array_like=True, frozen=True):
    """A row on a third director, relayed."""

    number: int
    boot_number: int
    heartbeat: int
    phase: int
    age_s: int


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A heartbeat. `heartbeat` grows with each Hello of an incarnation; `age_ms` is the incarnation's;
    `purges_covered`: it knows every purge of its outage; `revision` is the membership's; `digests` by `ROW_KINDS`."""

    fleet: int
    number: int
    incarnation: int
    boot_number: int
    heartbeat: int
    phase: int
    stage: int
    age_ms: int
    purges_covered: bool
    revision: int
    digests: tuple[int, ...]
    origin: OriginLoad
    known: KnownIncarnation = KnownIncarnation()
    others: tuple[PeerSummary, ...] = ()


class RowRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Requests the rows of a kind behind the key `after`."""

    fleet: int
    number: int
    incarnation: int
    kind: int
    after: str


class RowBatch(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Rows of a kind in the order of their keys; `more`: others follow."""

    fleet: int
    number: int
    incarnation: int
    kind: int
    rows: tuple[tuple[str, bytes], ...]
    more: bool


Message = Hello | RowRequest | RowBatch

_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def fleet_number(name: str) -> int:
    """The hash of a fleet's name that travels."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def is_gossip_datagram(data: bytes) -> bool:
    """Whether a datagram belongs to this exchange, of any version, and not to the router's."""
    return data.startswith(MAGIC[:2])


def encode(message: Message) -> bytes:
    """The datagram of a message. Raises DatagramTooLongError."""
    data = MAGIC + _encoder.encode(message)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramTooLongError(len(data))
    return data


def encode_hello(message: Hello, others: list[PeerSummary]) -> bytes:
    """The datagram of a Hello with as many of the summaries, from the first, as fit."""
    low = 0
    high = len(others)
    best = encode(message)
    while low < high:
        middle = (low + high + 1) // 2
        try:
            best = encode(msgspec.structs.replace(message, others=tuple(others[:middle])))
            low = middle
        except DatagramTooLongError:
            high = middle - 1
    return best


def encode_rows(fleet: int, number: int, incarnation: int, kind: int, rows: list[tuple[str, bytes]]) -> bytes:
    """The datagram of a RowBatch with as many rows, from the first, as fit; a row that never fits is skipped."""
    taken: list[tuple[str, bytes]] = []
    best = encode(RowBatch(fleet, number, incarnation, kind, (), False))
    for index, row in enumerate(rows):
        more = index + 1 < len(rows)
        try:
            best = encode(RowBatch(fleet, number, incarnation, kind, (*taken, row), more))
            taken.append(row)
        except DatagramTooLongError:
            if taken:
                return encode(RowBatch(fleet, number, incarnation, kind, tuple(taken), True))
    return best


def decode(data: bytes) -> Message:
    """The message of a datagram. Raises GossipDecodeError."""
    if len(data) > MAX_DATAGRAM_BYTES or not data.startswith(MAGIC):
        raise GossipDecodeError("another version" if is_gossip_datagram(data) else "not of this exchange")
    try:
        message: Message = _decoder.decode(data[len(MAGIC) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise GossipDecodeError(str(error)) from None
    integers = [message.number, message.incarnation]
    if isinstance(message, Hello):
        if len(message.digests) != len(ROW_KINDS) or message.age_ms > MAX_AGE_MS:
            raise GossipDecodeError(f"{len(message.digests)} digests, age {message.age_ms} ms")
        integers += _integers_of_hello(message)
    elif not 0 <= message.kind < len(ROW_KINDS):
        raise GossipDecodeError(f"unknown kind of row {message.kind}")
    if min(integers) < 0 or max(integers) >= INTEGER_LIMIT:
        raise GossipDecodeError(f"figures out of range: {min(integers)} to {max(integers)}")
    return message


def _integers_of_hello(hello: Hello) -> list[int]:
    integers = [hello.boot_number, hello.heartbeat, hello.phase, hello.stage, hello.age_ms, hello.revision]
    integers += [*hello.digests, *hello.origin, *hello.known]
    for summary in hello.others:
        integers += [summary.number, summary.boot_number, summary.heartbeat, summary.phase, summary.age_s]
    return integers
