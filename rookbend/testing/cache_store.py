"""A model of a cache's memory: copies with a retention rank, and the eviction of copies for a new one.

A copy has a rank of 1 to 3. When memory is short, the lowest rank is evicted first, and within a rank the least
recently used copy. A new copy evicts only copies of its own rank or lower; if those do not free enough memory, it is
denied. A hit may change the rank; rank 0 leaves it unchanged. A parent does not use ranks: it stores all copies at one
rank.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

RANKS = 1, 2, 3

Key = tuple[str | int, int]  # object and part


@dataclass(slots=True)
class Copy:
    """A stored copy. `t0_us` is when it left the origin; `group` is the purge group of its object."""

    size: int
    t0_us: int
    group: int = 0
    rank: int = 1


class CacheStore:
    """The copies of one cache, up to `capacity` bytes."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0
        self.copies_by_rank: dict[int, OrderedDict[Key, Copy]] = {rank: OrderedDict() for rank in RANKS}
        self.ranks: dict[Key, int] = {}
        self.keys_by_object: dict[str | int, set[Key]] = {}
        self.keys_by_group: dict[int, set[Key]] = {}
        self.evicted = 0
        self.denied = 0

    def __len__(self) -> int:
        return len(self.ranks)

    def peek(self, key: Key) -> Copy | None:
        """Returns the copy, or None, without marking it as used."""
        rank = self.ranks.get(key)
        return None if rank is None else self.copies_by_rank[rank][key]

    def get(self, key: Key, new_rank: int = 0) -> Copy | None:
        """Returns the copy, or None, and marks it as the most recently used; a `new_rank` other than 0 is set."""
        rank = self.ranks.get(key)
        if rank is None:
            return None
        copy = self.copies_by_rank[rank][key]
        if new_rank and new_rank != rank:
            del self.copies_by_rank[rank][key]
            self.copies_by_rank[new_rank][key] = copy
            self.ranks[key] = new_rank
            copy.rank = new_rank
        else:
            self.copies_by_rank[rank].move_to_end(key)
        return copy

    def put(self, key: Key, copy: Copy) -> bool:
        """Stores a copy, replacing an older one; returns False if it is denied."""
        present = self.peek(key)
        if present is not None and present.t0_us >= copy.t0_us:
            self.get(key, copy.rank)
            return True
        replaced_size = 0 if present is None else present.size
        if not self._can_store(key, copy, replaced_size):
            self.denied += 1
            return False
        self.remove(key)
        self._evict_for(copy)
        self.copies_by_rank[copy.rank][key] = copy
        self.ranks[key] = copy.rank
        self.used += copy.size
        self.keys_by_object.setdefault(key[0], set()).add(key)
        self.keys_by_group.setdefault(copy.group, set()).add(key)
        return True

    def remove(self, key: Key) -> None:
        """Removes the copy, if there is one."""
        rank = self.ranks.pop(key, None)
        if rank is None:
            return
        copy = self.copies_by_rank[rank].pop(key)
        self.used -= copy.size
        self.keys_by_object[key[0]].discard(key)
        if not self.keys_by_object[key[0]]:
            del self.keys_by_object[key[0]]
        self.keys_by_group[copy.group].discard(key)
        if not self.keys_by_group[copy.group]:
            del self.keys_by_group[copy.group]

    def purge(self, created_us: int, object_name: str | int | None = None, group: int | None = None) -> int:
        """Removes the copies of an object or a group that left the origin before the purge; returns their number."""
        keys: Collection[Key]
        if group is not None:
            keys = self.keys_by_group.get(group, ())
        elif object_name is not None:
            keys = self.keys_by_object.get(object_name, ())
        else:
            keys = ()
        outdated = [key for key in keys if self.copies_by_rank[self.ranks[key]][key].t0_us < created_us]
        for key in outdated:
            self.remove(key)
        return len(outdated)

    def _can_store(self, key: Key, copy: Copy, replaced_size: int) -> bool:
        missing = copy.size - (self.capacity - self.used + replaced_size)
        if missing <= 0:
            return True
        if copy.size > self.capacity:
            return False
        evictable_sizes = (
            other.size
            for rank in RANKS[: copy.rank]
            for other_key, other in self.copies_by_rank[rank].items()
            if other_key != key
        )
        return _sum_reaches(evictable_sizes, missing)

    def _evict_for(self, copy: Copy) -> None:
        for rank in RANKS[: copy.rank]:
            copies = self.copies_by_rank[rank]
            while copies and self.capacity - self.used < copy.size:
                self.remove(next(iter(copies)))
                self.evicted += 1


def _sum_reaches(sizes: Iterable[int], target: int) -> bool:
    """Whether the sum reaches the target; stops as soon as it does."""
    total = 0
    for size in sizes:
        total += size
        if total >= target:
            return True
    return False
