"""Placement of scopes on directors: a rendezvous ranking of the live directors, and operators' pins."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.leases.leader_tasks import FIRST_CHECKS_SCOPE, rendezvous_ranking
from rookbend.leases.lease_table import LeaseTable

REBALANCE_INTERVAL_US = 2_000_000


class ScopePlacement:
    """Ranks the live directors for each scope; a live director to which the scope is pinned comes first."""

    def __init__(self, director: int):
        self._director = director
        self.live_directors = frozenset({director})
        self.pins: dict[int, int] = {}
        self._rankings: dict[int, list[int]] = {}

    def ranking(self, scope: int) -> list[int]:
        """Returns the live directors, most preferred holder of the scope first."""
        ranking = self._rankings.get(scope)
        if ranking is None:
            ranking = rendezvous_ranking(scope, self.live_directors)
            pin = self.pins.get(scope)
            if pin is not None and pin in self.live_directors:
                ranking = [pin, *(director for director in ranking if director != pin)]
            self._rankings[scope] = ranking
        return ranking

    def rank(self, scope: int) -> int:
        """Returns this director's place in the ranking, from 0."""
        return self.ranking(scope).index(self._director)

    def successors(self, scope: int) -> list[int]:
        """Returns the ranking without this director."""
        return [director for director in self.ranking(scope) if director != self._director]

    def set_live_directors(self, directors: frozenset[int]) -> None:
        """Replaces the set of live directors; this director is always added."""
        directors = directors | {self._director}
        if directors != self.live_directors:
            self.live_directors = directors
            self._rankings = {}

    def pin(self, scope: int, director: int) -> None:
        """Pins the scope to a director, which is preferred while it is live."""
        self.pins[scope] = director
        self._rankings.pop(scope, None)

    def unpin(self, scope: int) -> None:
        """Removes the pin of a scope, if any."""
        self.pins.pop(scope, None)
        self._rankings.pop(scope, None)


class Rebalancer:
    """Hands over scopes that other directors should hold, one at a time, by `hand_over(now_us, scope, successor)`."""

    def __init__(
        self,
        director: int,
        shards: int,
        leases: LeaseTable,
        placement: ScopePlacement,
        hand_over: Callable[[int, int, int], None],
    ):
        self._director = director
        self._shards = shards
        self._leases = leases
        self._placement = placement
        self._hand_over = hand_over
        self._balanced_us = 0

    def run(self, now_us: int) -> None:
        """Hands over at most one scope, at intervals.

        First, a scope that is pinned to another live director. Otherwise, if this director holds more than its fair
        share of the shards, one that prefers another director.
        """
        if now_us - self._balanced_us < REBALANCE_INTERVAL_US:
            return
        self._balanced_us = now_us
        held = self._leases.held_scopes(now_us)
        move = self._misplaced_pin(held) or self._excess_shard(held)
        if move is not None:
            self._hand_over(now_us, *move)

    def _misplaced_pin(self, held: list[int]) -> tuple[int, int] | None:
        placement = self._placement
        for scope in held:
            pin = placement.pins.get(scope)
            if pin is not None and pin != self._director and pin in placement.live_directors:
                return scope, pin
        return None

    def _excess_shard(self, held: list[int]) -> tuple[int, int] | None:
        shards = [scope for scope in held if scope >= FIRST_CHECKS_SCOPE and scope not in self._placement.pins]
        fair_share = -(-self._shards // len(self._placement.live_directors))
        if len(shards) <= fair_share:
            return None
        for scope in shards:
            preferred = self._placement.ranking(scope)[0]
            if preferred != self._director:
                return scope, preferred
        return None
