"""Ids of requests that have ended and may have run, or may still run: a request that comes again under one is not sent.

Clients use a new id for each request, also for a retry. Members identify requests by these ids alone.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterator

from rookbend.core.clock import Clock

MAX_WRITE_IDS = 16_384
MAX_READ_IDS = 16_384
IDS_PER_MESSAGE = 1000
US_PER_MS = 1000


class ExpiringIds:
    """Ids with the time until which each is remembered. The caller bounds their number."""

    def __init__(self) -> None:
        # In the order of the last `add`. A plain dict would scan the removed ones for the oldest.
        self._until_us: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._until_us)

    def add(self, request_id: str, until_us: int) -> None:
        """Remembers an id."""
        self._until_us.pop(request_id, None)
        self._until_us[request_id] = until_us

    def contains(self, request_id: str, now_us: int) -> bool:
        """Whether the id is remembered now."""
        return self._until_us.get(request_id, 0) > now_us

    def remove_expired(self, now_us: int) -> None:
        """Removes expired ids from the front, up to the first that is not."""
        while self._until_us and next(iter(self._until_us.values())) <= now_us:
            self._until_us.popitem(last=False)

    def remove_oldest(self) -> None:
        """Removes the id that was added first."""
        self._until_us.popitem(last=False)

    def items(self) -> list[tuple[str, int]]:
        """The ids and the times until which they are remembered, oldest first."""
        return list(self._until_us.items())


class RecentRequestIds:
    """The ids of writes that may have run, and of reads whose attempt was cancelled.

    If the table of writes is full, new writes are refused rather than old ids dropped.
    `write_retention_us(class_index)` is the time for which a write of that class is remembered.
    """

    def __init__(self, clock: Clock, write_retention_us: Callable[[int], int]) -> None:
        self._clock = clock
        self._write_retention_us = write_retention_us
        # Where another process of this director serves too: `on_write_start` tells it of a write, before its first byte
        # is sent; `receive_ids` takes what it has told by now.
        self.on_write_start: Callable[[dict[str, int]], None] | None = None
        self.receive_ids: Callable[[], None] | None = None
        self.writes = ExpiringIds()
        self.reads = ExpiringIds()

    def contains(self, request_id: str) -> bool:
        """Whether a request under this id must not be sent."""
        now_us = self._clock.now()
        return self.writes.contains(request_id, now_us) or self.reads.contains(request_id, now_us)

    def has_capacity_for_write(self) -> bool:
        """Whether another write's id can be remembered."""
        self.writes.remove_expired(self._clock.now())
        return len(self.writes) < MAX_WRITE_IDS

    def add_write(self, request_id: str, class_index: int) -> None:
        """Remembers a write that may have run."""
        self.writes.add(request_id, self._clock.now() + self._write_retention_us(class_index))

    def write_starts(self, request_id: str, class_index: int) -> None:
        """An attempt of a write is about to be sent."""
        if self.on_write_start is not None:
            self.on_write_start({request_id: self._write_retention_us(class_index) // US_PER_MS})

    def add_of_other_process(self, left_ms: dict[str, int]) -> None:
        """Remembers writes of another process of this director, each for so many milliseconds."""
        now_us = self._clock.now()
        self.writes.remove_expired(now_us)
        for request_id, left in left_ms.items():
            if len(self.writes) >= 2 * MAX_WRITE_IDS:
                self.writes.remove_oldest()
            self.writes.add(request_id, now_us + left * US_PER_MS)

    def writes_left_ms(self) -> Iterator[dict[str, int]]:
        """The ids of all writes with the time for which each is remembered, some at a time."""
        now_us = self._clock.now()
        ids = iter(self.writes.items())
        while batch := list(itertools.islice(ids, IDS_PER_MESSAGE)):
            yield {request_id: (until_us - now_us) // US_PER_MS for request_id, until_us in batch if until_us > now_us}

    def add_read(self, request_id: str, deadline_us: int) -> None:
        """Remembers a read, until its deadline, whose cancelled attempt a member may still process."""
        self.reads.remove_expired(self._clock.now())
        if len(self.reads) >= MAX_READ_IDS:
            self.reads.remove_oldest()
        self.reads.add(request_id, deadline_us)
