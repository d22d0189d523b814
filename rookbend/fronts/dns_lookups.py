"""The lookups of the DNS front, in progress or kept to answer repeats with the same outcome, and its resolver."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

import dns.message

from rookbend.protocol.dns import LookupOutcome

MAX_LOOKUPS = 4096
MAX_WAITERS = 32  # clients that may wait for one lookup
EXPIRY_INTERVAL_US = 1_000_000

Respond = Callable[[dns.message.Message], None]
ClientAddress = tuple[str | int, ...]  # the transport, then the socket's address


class Resolver(Protocol):
    """Resolves the DNS names of members."""

    def resolve(self, name: str, record_type: str, deadline_us: int, done: Callable[[list[str] | None], None]) -> None:
        """Calls `done` once with the addresses of a name, or with None on any failure, by the deadline."""


class WaiterKey(NamedTuple):
    """Identifies a client's query; a retransmission of the query has the same key."""

    client: ClientAddress
    query_id: int


class ReadKey(NamedTuple):
    """Identifies a read's lookup; a write's is identified by its request id."""

    waiter: WaiterKey
    name: str


class Waiter(NamedTuple):
    """A query that waits for its reply."""

    query: dns.message.Message
    respond: Respond


LookupKey = ReadKey | str


class RoutedLookup:
    """One request to the engine on behalf of a lookup and its repeats; `write_id` is empty for a read.

    `outcome` is set when the reply is sent, and `undurable_outcome` before, while the outcome is being persisted.
    """

    __slots__ = (
        "deadline_us",
        "expires_us",
        "is_served",
        "name",
        "outcome",
        "undurable_outcome",
        "waiters",
        "write_id",
    )

    def __init__(self, name: str, write_id: str, deadline_us: int, expires_us: int):
        self.name = name
        self.write_id = write_id
        self.deadline_us = deadline_us
        self.expires_us = expires_us
        self.is_served = False  # by a member, whose name may still be unknown
        self.undurable_outcome: LookupOutcome | None = None
        self.outcome: LookupOutcome | None = None
        self.waiters: dict[WaiterKey, Waiter] = {}

    def can_wait(self, key: WaiterKey) -> bool:
        """Whether the query already waits, or one more may wait."""
        return key in self.waiters or len(self.waiters) < MAX_WAITERS


class LookupTable:
    """The lookups by key. One is kept until its retry window is over, since a write not found here could run twice."""

    def __init__(self, capacity: int = MAX_LOOKUPS):
        self.capacity = capacity
        self.by_key: dict[LookupKey, RoutedLookup] = {}
        self._next_expiry_us = 0

    @property
    def is_full(self) -> bool:
        """Whether no further lookup may be added."""
        return len(self.by_key) >= self.capacity

    def expire(self, now_us: int) -> list[RoutedLookup]:
        """Removes finished lookups whose retry window is over, at most once a second; returns them."""
        if now_us < self._next_expiry_us:
            return []
        self._next_expiry_us = now_us + EXPIRY_INTERVAL_US
        expired = [
            key for key, routed in self.by_key.items() if routed.expires_us <= now_us and routed.outcome is not None
        ]
        return [self.by_key.pop(key) for key in expired]
