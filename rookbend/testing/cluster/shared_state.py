"""What all members of the stage share, and how each is made."""

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
    """How a member is made. Seconds, bytes, transfers."""

    capacity: float = 12.0
    memory: int = 4 << 20
    cold_capacity_ratio: float = 0.2
    warm_up_us: int = 15_000_000
    multiple: float = 4.0
    window_us: int = 1_500_000
    queue_s: float = 1.0
    down_s: float = 4.0
    bytes_per_s: float = 1_000_000.0  # bytes a second of one transfer
    first_byte_s: float = 0.0  # before the first byte


CACHE = MemberProfile()
PARENT = MemberProfile(capacity=20.0, memory=16 << 20, cold_capacity_ratio=0.1, warm_up_us=20_000_000, multiple=2.0)
# Few workers, each call of them takes long: capacity is workers, `first_s` the call.
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
    """A copy, or why there is none: `word` is an answer's, `note` its note."""

    outcome: str
    note: str = ""
    copy: Copy | None = None
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SentCopy:
    """A copy that a member has sent; `asked_us` is when the first byte of the request came."""

    received_us: int
    key: str
    t0_us: int
    member: str


class SharedState:
    """What all members share: the record, who they are, when each thing was last purged, executions."""

    def __init__(self, record: Record, seed: int):
        self.record, self.seed = record, seed
        self.members: dict[str, object] = {}  # a `boxes.Box` each
        self.purged_objects: dict[str, int] = {}
        self.purged_groups: dict[int, int] = {}
        self.sent_copies: deque[SentCopy] = deque(maxlen=100_000)
        self.executions: dict[str, list[str]] = {}  # submission: the ids under which the origin ran it
        self.max_purge_delay_s = 5.0  # members drop older copies by themselves, each in its own time

    def size_of(self, key: str, part: int) -> int:
        """Log-normal about 3 kB, the same for each asking."""
        return min(60_000, int(random.Random(f"{self.seed} {key} {part}").lognormvariate(8.0, 0.6)))

    def bytes_of(self, key: str, part: int, t0_us: int) -> bytes:
        head = f"{key}.{part}.{t0_us}:".encode()
        return head + b"x" * max(0, self.size_of(key, part) - len(head))


def digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=8).hexdigest()


def group_of(key: str) -> int:
    """Objects belong to groups by their names: the last two hex digits."""
    return int(key[-2:], 16)
