"""A cache's memory as the world has it: copies by rank, and what goes when a new one comes. Pure.

A copy is kept at a rank of 1 to 3. When room is needed the lowest rank goes first, within a rank what was
used longest ago; a new copy pushes out only its own rank or lower, else it is not kept. A hit sets the rank
anew, 0 leaves it. A parent knows no ranks: it keeps all at one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass

RANKS = 1, 2, 3


@dataclass(slots=True)
class Copy:
    """`t0_us` is when it left the origin; `group` the object's, for purges."""

    size: int
    t0_us: int
    group: int = 0
    rank: int = 1


class Store:
    """`capacity` bytes. Keys are (object, part)."""

    def __init__(self, capacity: int):
        self.capacity, self.used = capacity, 0
        self.ranks: dict[int, OrderedDict[Hashable, Copy]] = {rank: OrderedDict() for rank in RANKS}
        self.where: dict[Hashable, int] = {}
        self.by_object: dict[Hashable, set[Hashable]] = {}
        self.by_group: dict[int, set[Hashable]] = {}
        self.evicted = self.denied = 0

    def __len__(self) -> int:
        return len(self.where)

    def look(self, key: Hashable) -> Copy | None:
        """The copy, its place untouched."""
        rank = self.where.get(key)
        return None if rank is None else self.ranks[rank][key]

    def use(self, key: Hashable, rank: int = 0) -> Copy | None:
        """The copy, used now, at this rank from here on."""
        held = self.where.get(key)
        if held is None:
            return None
        copy = self.ranks[held][key]
        if rank and rank != held:
            del self.ranks[held][key]
            self.ranks[rank][key] = copy
            self.where[key] = copy.rank = rank
        else:
            self.ranks[held].move_to_end(key)
        return copy

    def keep(self, key: Hashable, copy: Copy) -> bool:
        """Takes a new copy in the place of an older one; False where there is no room at its rank."""
        old = self.look(key)
        if old is not None and old.t0_us >= copy.t0_us:
            self.use(key, copy.rank)
            return True
        room = self.capacity - self.used + (old.size if old is not None else 0)
        if room < copy.size:
            below = (c.size for rank in RANKS if rank <= copy.rank for k, c in self.ranks[rank].items() if k != key)
            if copy.size > self.capacity or not _reaches(below, copy.size - room):
                self.denied += 1
                return False
        self.drop(key)
        for rank in RANKS[: copy.rank]:
            held = self.ranks[rank]
            while held and self.capacity - self.used < copy.size:
                self.drop(next(iter(held)))
                self.evicted += 1
        self.ranks[copy.rank][key] = copy
        self.where[key] = copy.rank
        self.used += copy.size
        self.by_object.setdefault(key[0], set()).add(key)
        self.by_group.setdefault(copy.group, set()).add(key)
        return True

    def drop(self, key: Hashable) -> None:
        rank = self.where.pop(key, None)
        if rank is None:
            return
        copy = self.ranks[rank].pop(key)
        self.used -= copy.size
        for index, name in ((self.by_object, key[0]), (self.by_group, copy.group)):
            index[name].discard(key)
            if not index[name]:
                del index[name]

    def purge(self, made_us: int, name: Hashable = None, group: int | None = None) -> int:
        """Drops the copies of an object or a group that left the origin before the purge; how many."""
        keys = self.by_object.get(name, ()) if group is None else self.by_group.get(group, ())
        old = [key for key in keys if self.look(key).t0_us < made_us]
        for key in old:
            self.drop(key)
        return len(old)


def _reaches(sizes, wanted: int) -> bool:
    total = 0
    for size in sizes:
        total += size
        if total >= wanted:
            return True
    return False
