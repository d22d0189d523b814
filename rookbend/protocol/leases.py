"""What directors tell one another about who owns what: msgpack in datagrams of 256 bytes at most, lossy, late
and doubled, like those of `protocol.fleet` and beside them.

    "RO" version [kind, fleet, number, life, ...]

Every act on behalf of the fleet carries its scope's token. What can't be read is `OwnershipError`."""

from __future__ import annotations

import msgspec

MAGIC = b"RO\x01"
MOST_BYTES = 256
MOST_FIGURE = 1 << 62


class OwnershipError(Exception):
    """No datagram of this exchange."""


class Words(msgspec.Struct, array_like=True, frozen=True):
    """What all of them begin with: a hash of the fleet's name, the sender's place in `peers`, its life."""

    fleet: int
    number: int
    life: int


class Ask(Words, frozen=True, tag=1):
    """For grants, or for their renewal: rows of (scope, token, round). Without rows: for the highest token.
    `voters` is the digest of the newest voters that the sender goes by."""

    voters: int
    top: int
    rows: tuple[tuple[int, int, int], ...]


class Vote(Words, frozen=True, tag=2):
    """Rows of (scope, round, granted, highest token, whom it is granted to, milliseconds it is yet)."""

    voters: int
    top: int
    to_life: int
    rows: tuple[tuple[int, int, bool, int, int, int], ...]


class Release(Words, frozen=True, tag=3):
    """The sender has stopped: rows of (scope, token, successor or -1)."""

    rows: tuple[tuple[int, int, int], ...]


class Take(Words, frozen=True, tag=4):
    """To a successor: these scopes are free for it, above these tokens."""

    rows: tuple[tuple[int, int], ...]


class TurnedAway(Words, frozen=True, tag=5):
    """An act of yours came with an older token than the highest seen."""

    scope: int
    highest: int


class Verdicts(Words, frozen=True, tag=6):
    """What the owner of a shard has found: rows of (server, check's place, flags, weight) of those that are
    not plainly well; `covered` is the exclusive or of the numbers of all that it has found anything of."""

    scope: int
    token: int
    sequence: int
    part: int
    parts: int
    covered: int
    rows: tuple[tuple[int, int, int, int], ...]


# number, token, member, order, by, whose: (place, life, id) of the order, so that none is written down twice
Entry = tuple[int, int, str, str, str, tuple[int, int, int]]


class Given(Words, frozen=True, tag=7):
    """An order for the fleet, to who writes them down."""

    id: int
    member: str
    order: str
    by: str


class Done(Words, frozen=True, tag=8):
    """What became of it: "" once it stands, or why not."""

    to_life: int
    id: int
    fault: str


class Append(Words, frozen=True, tag=9):
    """To voters: store this; `committed` is the number up to which all stands."""

    token: int
    committed: int
    entry: Entry | None


class Appended(Words, frozen=True, tag=10):
    to_life: int
    token: int
    entry: int


class Fetch(Words, frozen=True, tag=11):
    """Entries after a number: those that stand, or with a token (of a new writer) all that there are."""

    token: int
    after: int


class Entries(Words, frozen=True, tag=12):
    """`after` is the number that was asked with; `last` is the highest that the sender may give."""

    to_life: int
    token: int
    after: int
    committed: int
    last: int
    entries: tuple[Entry, ...]


class Share(Words, frozen=True, tag=13):
    """The receiver's part of the ramp, in millionths of the fleet's rate."""

    token: int
    sequence: int
    millionths: int
    valid_ms: int


class Gather(Words, frozen=True, tag=14):
    token: int
    sequence: int


class Counts(Words, frozen=True, tag=15):
    to_life: int
    sequence: int
    figures: tuple[int, ...]


Message = (
    Ask
    | Vote
    | Release
    | Take
    | TurnedAway
    | Verdicts
    | Given
    | Done
    | Append
    | Appended
    | Fetch
    | Entries
    | Share
    | Gather
    | Counts
)

_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def is_ours(data: bytes) -> bool:
    return data.startswith(MAGIC[:2])


def encode(message: Message) -> bytes:
    """Raises OwnershipError where it would not fit."""
    data = MAGIC + _encoder.encode(message)
    if len(data) > MOST_BYTES:
        raise OwnershipError(f"{len(data)} bytes")
    return data


def split(message: Message, rows: list) -> list[bytes]:
    """As many datagrams as its rows need."""
    if not rows:
        return [encode(msgspec.structs.replace(message, rows=()))]
    out, taken, best = [], [], b""
    for row in rows:
        try:
            best = encode(msgspec.structs.replace(message, rows=(*taken, row)))
            taken.append(row)
        except OwnershipError:
            if taken:
                out.append(best)
            taken, best = [row], encode(msgspec.structs.replace(message, rows=(row,)))
    return [*out, best]


def decode(data: bytes) -> Message:
    """Raises OwnershipError: no such datagram, or one whose figures can't be."""
    if len(data) > MOST_BYTES or not data.startswith(MAGIC):
        raise OwnershipError("another version" if is_ours(data) else "not ours")
    try:
        message = _decoder.decode(data[len(MAGIC) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise OwnershipError(str(error)) from None
    if not _can_be(msgspec.structs.astuple(message)):
        raise OwnershipError("figures that can't be")
    return message


def _can_be(value) -> bool:
    if isinstance(value, tuple):
        return all(map(_can_be, value))
    return not isinstance(value, int) or -1 <= value < MOST_FIGURE
