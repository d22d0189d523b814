"""Models of members: a cache's memory with retention ranks, and a link that is shared by transfers."""

import random

import pytest

from rookbend.testing.cache_store import CacheStore, Copy
from rookbend.testing.shared_link import SharedLink


def stored_objects(store):
    return sorted(key[0] for key in store.ranks)


def test_eviction_is_by_lowest_rank_then_least_recent_use():
    store = CacheStore(30)
    for name, rank in (("a", 1), ("b", 2), ("c", 1)):
        assert store.put((name, 0), Copy(10, 0, rank=rank))
    store.get(("a", 0))
    assert store.put(("d", 0), Copy(10, 0, rank=1)) and stored_objects(store) == ["a", "b", "d"]
    assert not store.put(("e", 0), Copy(30, 0, rank=1)) and stored_objects(store) == [
        "a",
        "b",
        "d",
    ], "b's rank is higher"
    store.get(("d", 0), 3)
    assert store.put(("f", 0), Copy(20, 0, rank=2)) and stored_objects(store) == ["d", "f"]
    assert (store.evicted, store.denied, store.used) == (3, 1, 30)


def test_purge_removes_only_older_copies():
    store = CacheStore(100)
    for i, t0 in enumerate((5, 15)):
        store.put(("a", i), Copy(10, t0, group=7))
    store.put(("b", 0), Copy(10, 5, group=7))
    assert store.purge(10, "a") == 1 and store.peek(("a", 1)).t0_us == 15
    assert store.purge(20, group=7) == 2 and store.used == 0 and not store.keys_by_group


def test_store_indices_stay_consistent_under_random_operations():
    generator, store = random.Random(5), CacheStore(1000)
    for step in range(4000):
        key = (generator.randrange(30), generator.randrange(3))
        operation = generator.randrange(4)
        if operation < 2:
            store.put(key, Copy(generator.randrange(1, 300), step, key[0] % 5, generator.choice((1, 1, 2, 3))))
        elif operation == 2:
            store.get(key, generator.randrange(4))
        else:
            store.purge(step - 50, group=generator.randrange(5))
        copies = [copy for rank in store.copies_by_rank.values() for copy in rank.values()]
        assert store.used == sum(copy.size for copy in copies) <= 1000 and len(copies) == len(store)
        assert all(store.copies_by_rank[rank][key].rank == rank for key, rank in store.ranks.items())
        assert sum(map(len, store.keys_by_object.values())) == sum(map(len, store.keys_by_group.values())) == len(store)


def test_transfers_share_a_link_up_to_their_rate_limits():
    link = SharedLink(100.0)
    link.start("slow", 100, 10.0, 0.0)
    link.start("fast", 900, 1000.0, 0.0)
    assert link.next_end() == pytest.approx(10.0), "the transfers run at 10 and 90 bytes per second"
    assert link.start("other", 45, 1000.0, 5.0) == []
    assert link.next_end() == pytest.approx(6.0)
    assert link.advance(6.0) == ["other"]
    assert link.cancel("slow", 7.0) == [] and link.utilization == pytest.approx(1.0)
    assert link.next_end() == pytest.approx(7.0 + (900 - 450 - 45 - 90) / 100)
    assert link.set_capacity(0.0, 8.0) == [] and link.next_end() == float("inf")


def test_link_carries_every_byte_once_and_never_exceeds_its_capacity():
    generator, link, now, sizes, ended = random.Random(9), SharedLink(50.0), 0.0, {}, []
    for i in range(2000):
        now += generator.expovariate(2.0)
        sizes[i] = generator.uniform(1, 60)
        ended += link.start(i, sizes[i], generator.choice((5.0, 20.0, 80.0)), now)
        assert link.utilization <= 1 + 1e-9
    ended += link.advance(now + 1e5)
    assert sorted(ended) == sorted(sizes) and not link.transfers
    assert link.carried == pytest.approx(sum(sizes.values()), rel=1e-6)
