"""The demand of the clients in the recovery simulation, and the part of it that is served."""

from __future__ import annotations

import random
from collections.abc import Callable

from rookbend.recovery import events
from rookbend.testing.recovery_node import CLASSES, Node
from rookbend.testing.recovery_origin import SECOND, Environment, Origin

STEP_US = 50_000
EXPENSIVE_READ_RATIO = 0.3
BURST_S = 0.5  # seconds of its origin rate that a director may use at once

Feed = Callable[[int, events.Event], None]
FeedLater = Callable[[int, int, events.Event], None]


class Demand:
    """Sends requests to ready directors; `requests` and `refused` are counts.

    `earned` has the priority weights that were served and requested, by second since the epoch. `feed(number, event)`
    feeds a director at once, `feed_later(at_us, number, event)` at a later time.
    """

    def __init__(self, environment: Environment, origin: Origin, rng: random.Random, feed: Feed, feed_later: FeedLater):
        self.requests = 0
        self.refused = 0
        self.earned: dict[int, tuple[float, float]] = {}
        self._environment = environment
        self._origin = origin
        self._random = rng
        self._feed = feed
        self._feed_later = feed_later
        self._fills = 0.0

    def go_cold(self) -> None:
        """Empties all caches."""
        self._fills = 0.0

    def step(self, now: int, second: int, nodes: list[Node]) -> None:
        """Sends the requests of one step; they fail while no director is ready."""
        ready = [node for node in nodes if node.is_ready]
        for _ in range(self._poisson(self._environment.requests_per_s * STEP_US / SECOND)):
            is_write = self._random.random() < self._environment.write_ratio
            class_index = 0 if is_write else 1 + (self._random.random() < EXPENSIVE_READ_RATIO)
            served = bool(ready) and self._serve(now, self._random.choice(ready), class_index)
            self.requests += 1
            self.refused += not served
            weight = CLASSES[class_index].priority_weight
            served_weight, requested_weight = self.earned.get(second, (0.0, 0.0))
            self.earned[second] = served_weight + weight * served, requested_weight + weight

    def served_ratio(self, second: int) -> float:
        """Returns the priority weight served in a second in proportion to that requested."""
        served_weight, requested_weight = self.earned.get(second, (0.0, 0.0))
        return served_weight / requested_weight if requested_weight else 0.0

    def _poisson(self, mean: float) -> int:
        count = 0
        position = self._random.expovariate(1.0)
        while position < mean:
            count += 1
            position += self._random.expovariate(1.0)
        return count

    def _serve(self, now: int, node: Node, class_index: int) -> bool:
        limits = node.limits
        assert limits is not None
        if class_index in limits.closed_classes:
            return False
        is_write = CLASSES[class_index].is_write
        if not is_write and self._finds_copy():
            return True
        if limits.origin_rate is not None and not self._take_token(now, node, limits.origin_rate, is_write):
            return False
        self._feed(node.number, events.OriginCallStarted())
        succeeded, duration_us = self._origin.call(now)
        self._feed_later(now + duration_us, node.number, events.OriginCallEnded(succeeded, duration_us))
        if succeeded and not is_write:
            self._fills += 1
        return succeeded and duration_us < SECOND

    def _finds_copy(self) -> bool:
        environment = self._environment
        coldness: float = 0.5 ** (self._fills / environment.fills_to_half)
        return (
            self._random.random()
            >= environment.warm_miss_ratio + (environment.cold_miss_ratio - environment.warm_miss_ratio) * coldness
        )

    @staticmethod
    def _take_token(now: int, node: Node, rate: float, is_write: bool) -> bool:
        refilled = node.tokens + (now - node.tokens_us) * rate / SECOND
        node.tokens = min(max(1.0, BURST_S * rate), refilled)
        node.tokens_us = now
        if node.tokens < 1 and not is_write:
            return False
        node.tokens -= 1
        return True
