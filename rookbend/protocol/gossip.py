"""Gossip between directors: msgpack in datagrams of at most 256 bytes, which may be lost, late or duplicated.

    "RB" version [type, fleet, number, incarnation, ...]

    Hello       identity, age and stage of the sender, digests of its rows; what it knows of the receiver; other peers
    RowRequest  requests rows of a kind, after a key
    RowBatch    rows of a kind, in the order of their keys; `more` if others follow

`fleet` is a hash of the fleet's name, `number` the sender's index in `peers`, `incarnation` a number drawn at each
start, which distinguishes two starts with the same boot number. Times are sent as ages, so that the Unix clocks of two
hosts are never compared. The order of the fields is the wire format.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

import msgspec

MAGIC = b"RB\x01"
MAX_DATAGRAM_BYTES = 256
MAX_AGE_MS = 10 * 365 * 86_400_000
INTEGER_LIMIT = 1 << 48
ROW_KINDS = "order", "purge", "drain"  # by their index on the wire


class GossipError(Exception):
    """Base of this protocol's errors."""


class GossipDecodeError(GossipError):
    """A datagram that is not of this protocol or holds integers out of range; the message says why."""


class DatagramTooLongError(GossipError):
    """A message that does not fit into one datagram."""

    def __init__(self, length: int):
        super().__init__(f"{length} bytes in a datagram, {MAX_DATAGRAM_BYTES} at most")
        self.length = length


class OriginLoad(NamedTuple):
    """The origin's load as the sender sees it: the fleet's rate in tenths of a call per second, 0: unlimited; the
    sender's recent calls, and of these the failed and the slow ones; the fastest call."""

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
    """A relayed row about a third director."""

    number: int
    boot_number: int
    heartbeat: int
    phase: int
    age_s: int


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A heartbeat. `heartbeat` grows with each Hello of an incarnation; `age_ms` is the incarnation's age;
    `purges_covered`: the sender knows every purge of its outage; `revision` is the membership's; `digests` are in the
    order of `ROW_KINDS`."""

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
    """Requests the rows of a kind whose keys follow `after`."""

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
    """The hash that stands for a fleet's name on the wire."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def is_gossip_datagram(data: bytes) -> bool:
    """Whether a datagram belongs to this protocol, of any version, and not to the router's."""
    return data.startswith(MAGIC[:2])


def encode(message: Message) -> bytes:
    """The datagram of a message. Raises DatagramTooLongError."""
    data = MAGIC + _encoder.encode(message)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramTooLongError(len(data))
    return data


def encode_hello(message: Hello, others: list[PeerSummary]) -> bytes:
    """The datagram of a Hello with as many of the summaries as fit, from the first on."""
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
    """The datagram of a RowBatch with as many rows as fit, from the first on; a row that never fits is skipped."""
    included: list[tuple[str, bytes]] = []
    best = encode(RowBatch(fleet, number, incarnation, kind, (), False))
    for index, row in enumerate(rows):
        more = index + 1 < len(rows)
        try:
            best = encode(RowBatch(fleet, number, incarnation, kind, (*included, row), more))
            included.append(row)
        except DatagramTooLongError:
            if included:
                return encode(RowBatch(fleet, number, incarnation, kind, tuple(included), True))
    return best


def decode(data: bytes) -> Message:
    """The message of a datagram. Raises GossipDecodeError."""
    if len(data) > MAX_DATAGRAM_BYTES or not data.startswith(MAGIC):
        raise GossipDecodeError("unsupported protocol version" if is_gossip_datagram(data) else "not a gossip datagram")
    try:
        message: Message = _decoder.decode(data[len(MAGIC) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise GossipDecodeError(str(error)) from None
    integers = [message.number, message.incarnation]
    if isinstance(message, Hello):
        if len(message.digests) != len(ROW_KINDS) or message.age_ms > MAX_AGE_MS:
            raise GossipDecodeError(f"invalid Hello: {len(message.digests)} digests, age {message.age_ms} ms")
        integers += _integers_of_hello(message)
    elif not 0 <= message.kind < len(ROW_KINDS):
        raise GossipDecodeError(f"unknown row kind {message.kind}")
    if min(integers) < 0 or max(integers) >= INTEGER_LIMIT:
        raise GossipDecodeError(f"integers out of range: {min(integers)} to {max(integers)}")
    return message


def _integers_of_hello(hello: Hello) -> list[int]:
    integers = [hello.boot_number, hello.heartbeat, hello.phase, hello.stage, hello.age_ms, hello.revision]
    integers += [*hello.digests, *hello.origin, *hello.known]
    for summary in hello.others:
        integers += [summary.number, summary.boot_number, summary.heartbeat, summary.phase, summary.age_s]
    return integers
