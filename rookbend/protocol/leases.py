"""The lease protocol between directors: msgpack in datagrams of up to 256 bytes, which may be lost, late or duplicated.

    "RO" version [kind, fleet, sender, incarnation, ...]

The datagrams share a socket with those of `rookbend.protocol.gossip`. Every request on behalf of the fleet carries the
fencing token of its scope. The messages are those of `rookbend.protocol.lease_messages`.
"""

from __future__ import annotations

import msgspec

from rookbend.protocol.lease_messages import (
    AppendEntry,
    EntriesFetched,
    Entry,
    LeaseRequest,
    LeaseVote,
    Message,
    ShardResults,
    SubmitOrder,
)
from rookbend.protocol.order_limits import MAX_ORDER_TEXT_BYTES

MAGIC = b"RO\x01"
MAGIC_ANY_VERSION = MAGIC[:2]
MAX_DATAGRAM_BYTES = 256
INTEGER_LIMIT = 1 << 62
ENTRY_NUMBER_LIMIT = 1 << 48  # far below INTEGER_LIMIT: numbers after it are still in range


class LeaseProtocolError(Exception):
    """A datagram that can't be decoded, or a message that does not fit into one."""


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def is_lease_datagram(data: bytes) -> bool:
    """Whether a datagram belongs to this protocol, of any version."""
    return data.startswith(MAGIC_ANY_VERSION)


def encode(message: Message) -> bytes:
    """The datagram of a message. Raises LeaseProtocolError if the message does not fit."""
    data = MAGIC + _encoder.encode(message)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise LeaseProtocolError(f"message too long for a datagram: {len(data)} bytes")
    return data


def encode_rows(message: LeaseRequest | LeaseVote | ShardResults, rows: list[tuple[int, ...]]) -> list[bytes]:
    """As many datagrams of the message as its rows need. Raises LeaseProtocolError if one row does not fit."""
    if not rows:
        return [encode(msgspec.structs.replace(message, rows=()))]
    datagrams: list[bytes] = []
    included: list[tuple[int, ...]] = []
    data = b""
    for row in rows:
        try:
            data = encode(msgspec.structs.replace(message, rows=(*included, row)))
            included.append(row)
        except LeaseProtocolError:
            if included:
                datagrams.append(data)
            included = [row]
            data = encode(msgspec.structs.replace(message, rows=(row,)))
    return [*datagrams, data]


def decode(data: bytes) -> Message:
    """Decodes a datagram; a message that is built from the result fits into a datagram again.

    Raises LeaseProtocolError on another protocol or version, a malformed message, or a field out of range.
    """
    if len(data) > MAX_DATAGRAM_BYTES or not data.startswith(MAGIC):
        raise LeaseProtocolError("unsupported protocol version" if is_lease_datagram(data) else "not a lease datagram")
    try:
        message = _decoder.decode(data[len(MAGIC) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise LeaseProtocolError(str(error)) from None
    if not _integers_in_range(msgspec.structs.astuple(message)):
        raise LeaseProtocolError("integer out of range")
    if not _order_in_range(message):
        raise LeaseProtocolError("text or number of an order out of range")
    return message


def _order_in_range(message: Message) -> bool:
    if isinstance(message, SubmitOrder):
        return _texts_fit(message)
    if isinstance(message, AppendEntry):
        entries: tuple[Entry, ...] = () if message.entry is None else (message.entry,)
    elif isinstance(message, EntriesFetched):
        entries = message.entries
    else:
        return True
    return message.committed < ENTRY_NUMBER_LIMIT and all(
        entry.number < ENTRY_NUMBER_LIMIT and _texts_fit(entry) for entry in entries
    )


def _texts_fit(order: SubmitOrder | Entry) -> bool:
    return len((order.target + order.order + order.operator).encode()) <= MAX_ORDER_TEXT_BYTES


def _integers_in_range(value: object) -> bool:
    if isinstance(value, tuple):
        return all(map(_integers_in_range, value))
    return not isinstance(value, int) or -1 <= value < INTEGER_LIMIT
