"""The world's parts: a cache's memory by ranks, and links shared among transfers."""

import random

import pytest

from rookbend.testing.cache_store import CacheStore, Copy
from rookbend.testing.shared_link import SharedLink


def held(store):
    return sorted(key[0] for key in store.ranks)


def test_the_lowest_rank_goes_first_then_what_was_used_longest_ago():
    store = CacheStore(30)
    for name, rank in (("a", 1), ("b", 2), ("c", 1)):
        assert store.put((name, 0), Copy(10, 0, rank=rank))
    store.get(("a", 0))
    assert store.put(("d", 0), Copy(10, 0, rank=1)) and held(store) == ["a", "b", "d"]
    assert not store.put(("e", 0), Copy(30, 0, rank=1)) and held(store) == ["a", "b", "d"], "b's rank is higher"
    store.get(("d", 0), 3)
    assert store.put(("f", 0), Copy(20, 0, rank=2)) and held(store) == ["d", "f"]
    assert (store.evicted, store.denied, store.used) == (3, 1, 30)


def test_a_purge_drops_what_is_older_and_nothing_else():
    store = CacheStore(100)
    for i, t0 in enumerate((5, 15)):
        store.put(("a", i), Copy(10, t0, group=7))
    store.put(("b", 0), Copy(10, 5, group=7))
    assert store.purge(10, "a") == 1 and store.peek(("a", 1)).t0_us == 15
    assert store.purge(20, group=7) == 2 and store.used == 0 and not store.keys_by_group


def test_any_order_of_calls_keeps_the_stores_books():
    rng, store = random.Random(5), CacheStore(1000)
    for turn in range(4000):
        key = (rng.randrange(30), rng.randrange(3))
        call = rng.randrange(4)
        if call < 2:
            store.put(key, Copy(rng.randrange(1, 300), turn, key[0] % 5, rng.choice((1, 1, 2, 3))))
        elif call == 2:
            store.get(key, rng.randrange(4))
        else:
            store.purge(turn - 50, group=rng.randrange(5))
        copies = [c for rank in store.copies_by_rank.values() for c in rank.values()]
        assert store.used == sum(c.size for c in copies) <= 1000 and len(copies) == len(store)
        assert all(store.copies_by_rank[rank][k].rank == rank for k, rank in store.ranks.items())
        assert sum(map(len, store.keys_by_object.values())) == sum(map(len, store.keys_by_group.values())) == len(store)


def test_transfers_share_a_link_and_none_gets_more_than_its_most():
    link = SharedLink(100.0)
    link.start("slow", 100, 10.0, 0.0)
    link.start("fast", 900, 1000.0, 0.0)
    assert link.next_end() == pytest.approx(10.0), "10 a second and 90 a second"
    assert link.start("other", 45, 1000.0, 5.0) == []
    assert link.next_end() == pytest.approx(6.0)
    assert link.advance(6.0) == ["other"]
    assert link.cancel("slow", 7.0) == [] and link.utilization == pytest.approx(1.0)
    assert link.next_end() == pytest.approx(7.0 + (900 - 450 - 45 - 90) / 100)
    assert link.set_capacity(0.0, 8.0) == [] and link.next_end() == float("inf")


def test_no_byte_is_lost_or_made_and_the_link_is_never_over():
    rng, link, now, begun, ended = random.Random(9), SharedLink(50.0), 0.0, {}, []
    for i in range(2000):
        now += rng.expovariate(2.0)
        begun[i] = rng.uniform(1, 60)
        ended += link.start(i, begun[i], rng.choice((5.0, 20.0, 80.0)), now)
        assert link.utilization <= 1 + 1e-9
    ended += link.advance(now + 1e5)
    assert sorted(ended) == sorted(begun) and not link.transfers
    assert link.carried == pytest.approx(sum(begun.values()), rel=1e-6)
