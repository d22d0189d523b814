"""The state that all members of a cluster share, and the profile of each role."""

from __future__ import annotations

import hashlib
import random
from collections import deque
from dataclasses import dataclass

from rookbend.testing.cache_store import Copy
from rookbend.testing.cluster.record import Record

ROLES = {"cache": "standard", "parent": "parent", "origin": "origin"}


@dataclass(frozen=True, slots=True)
class MemberProfile:
    """The capacity and limits of a member: `capacity` in seconds of work per second, that is in concurrent
    transfers, and `memory` in bytes."""

    capacity: float = 12.0
    memory: int = 4 << 20
    cold_capacity_ratio: float = 0.2
    warm_up_us: int = 15_000_000
    multiple: float = 4.0
    window_us: int = 1_500_000
    queue_s: float = 1.0
    down_s: float = 4.0
    bytes_per_s: float = 1_000_000.0  # of one transfer
    first_byte_s: float = 0.0  # time before the first byte


CACHE = MemberProfile()
PARENT = MemberProfile(capacity=20.0, memory=16 << 20, cold_capacity_ratio=0.1, warm_up_us=20_000_000, multiple=2.0)
# The origin has few workers and slow calls: `capacity` is its workers, `first_byte_s` the duration of a call.
ORIGIN = MemberProfile(
    capacity=6.0,
    memory=0,
    cold_capacity_ratio=1.0,
    warm_up_us=1,
    multiple=2.5,
    queue_s=1.0,
    down_s=4.0,
    first_byte_s=0.04,
)


@dataclass(frozen=True, slots=True)
class FetchResult:
    """A copy, or the reason for its absence: `outcome` and `note` are sent in the answer."""

    outcome: str
    note: str = ""
    copy: Copy | None = None
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SentCopy:
    """A copy that a member has sent; `received_us` is the arrival of the request's first byte."""

    received_us: int
    key: str
    t0_us: int
    member: str


class SharedState:
    """The state that all members share: the record, the members, the last purges, the copies sent, the executions."""

    def __init__(self, record: Record, seed: int):
        self.record, self.seed = record, seed
        self.members: dict[str, object] = {}  # each a `members.SimulatedMember`
        self.purged_objects: dict[str, int] = {}
        self.purged_groups: dict[int, int] = {}
        self.sent_copies: deque[SentCopy] = deque(maxlen=100_000)
        # By object of a write: the request ids under which the origin ran it.
        self.executions: dict[str, list[str]] = {}
        self.max_purge_delay_s = 5.0  # each member drops purged copies by itself, after its own delay of at most this

    def size_of(self, key: str, part: int) -> int:
        """Returns a size in bytes, log-normal with a median of about 3 kB, derived from the name."""
        return min(60_000, int(random.Random(f"{self.seed} {key} {part}").lognormvariate(8.0, 0.6)))

    def bytes_of(self, key: str, part: int, t0_us: int) -> bytes:
        head = f"{key}.{part}.{t0_us}:".encode()
        return head + b"x" * max(0, self.size_of(key, part) - len(head))


def digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=8).hexdigest()


def group_of(key: str) -> int:
    """Returns the group of an object: the last two hex digits of its name."""
    return int(key[-2:], 16)
