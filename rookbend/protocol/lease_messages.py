"""The messages of the lease protocol; `rookbend.protocol.leases` is their codec.

All are msgpack arrays: the order of the fields and the tags are the wire format.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

import msgspec


class LeaseRow(NamedTuple):
    """A request for one scope; a token of 0 only asks for the holder."""

    scope: int
    token: int
    round: int


class VoteRow(NamedTuple):
    """The answer for one scope: `token` is the highest granted, `holder` the director that it is granted to."""

    scope: int
    round: int
    granted: bool
    token: int
    holder: int
    remaining_ms: int


class ReleaseRow(NamedTuple):
    """A released scope; `successor` is a director's number, or -1 for none."""

    scope: int
    token: int
    successor: int


class OfferRow(NamedTuple):
    """A scope that is released for its successor, which needs a higher token than this one."""

    scope: int
    token: int


class Finding(NamedTuple):
    """One check result: the member's number, the check's index, flags and weight in percent."""

    member: int
    check: int
    flags: int
    weight: int


class OrderOrigin(NamedTuple):
    """The director that forwarded an order, and its id there: an origin has at most one entry in the log."""

    director: int
    incarnation: int
    id: int


class Entry(NamedTuple):
    """An entry of the log of orders; `target` is a member, or `@` and a scope."""

    number: int
    token: int
    target: str
    order: str
    operator: str
    origin: OrderOrigin


class Header(msgspec.Struct, array_like=True, frozen=True):
    """The fields that all messages start with: a hash of the fleet's name, the sender's index and its incarnation."""

    fleet: int
    sender: int
    incarnation: int


class LeaseRequest(Header, frozen=True, tag=1):
    """Requests grants or their renewal; without rows, only the highest token. `voters` is a digest of the sender's
    voters.
    """

    voters: int
    highest_token: int
    rows: tuple[LeaseRow, ...]


class LeaseVote(Header, frozen=True, tag=2):
    """The answer to a request of the incarnation `to_incarnation`."""

    voters: int
    highest_token: int
    to_incarnation: int
    rows: tuple[VoteRow, ...]


class LeaseRelease(Header, frozen=True, tag=3):
    """The sender has stopped holding or requesting these scopes."""

    rows: tuple[ReleaseRow, ...]


class LeaseOffer(Header, frozen=True, tag=4):
    """Notifies a successor that these scopes were released for it."""

    rows: tuple[OfferRow, ...]


class TokenRejected(Header, frozen=True, tag=5):
    """Reports that a request had an older token than the highest seen."""

    scope: int
    highest_token: int


class ShardResults(Header, frozen=True, tag=6):
    """Check results of a shard, in parts: findings of members that are not fully healthy.

    `covered` is the XOR of the numbers of all members for which the leader has a result.
    """

    scope: int
    token: int
    sequence: int
    part: int
    parts: int
    covered: int
    rows: tuple[Finding, ...]


class SubmitOrder(Header, frozen=True, tag=7):
    """An operator's order for the fleet, sent to the leader of the orders."""

    id: int
    target: str
    order: str
    operator: str


class OrderOutcome(Header, frozen=True, tag=8):
    """The leader's answer; an empty error means that the order is committed."""

    to_incarnation: int
    id: int
    error: str


class AppendEntry(Header, frozen=True, tag=9):
    """Has voters store an entry; all entries up to `committed` are committed."""

    token: int
    committed: int
    entry: Entry | None


class AppendAck(Header, frozen=True, tag=10):
    """Confirms that the entry `number` is durable."""

    to_incarnation: int
    token: int
    number: int


class FetchEntries(Header, frozen=True, tag=11):
    """Requests the entries after a number: the committed ones or, with a new writer's token, all of them."""

    token: int
    after: int


class EntriesFetched(Header, frozen=True, tag=12):
    """The answer: `after` is that of the request, `last` the highest number that the sender may return."""

    to_incarnation: int
    token: int
    after: int
    committed: int
    last: int
    entries: tuple[Entry, ...]


class RampShare(Header, frozen=True, tag=13):
    """The receiver's share of the ramp, in millionths of the fleet's rate."""

    token: int
    sequence: int
    millionths: int
    valid_ms: int


class CountersRequest(Header, frozen=True, tag=14):
    """The leader of the report requests the receiver's counters."""

    token: int
    sequence: int


class CountersReply(Header, frozen=True, tag=15):
    """The sender's counters since its start."""

    to_incarnation: int
    sequence: int
    counters: tuple[int, ...]


Message: TypeAlias = (
    LeaseRequest
    | LeaseVote
    | LeaseRelease
    | LeaseOffer
    | TokenRejected
    | ShardResults
    | SubmitOrder
    | OrderOutcome
    | AppendEntry
    | AppendAck
    | FetchEntries
    | EntriesFetched
    | RampShare
    | CountersRequest
    | CountersReply
)
