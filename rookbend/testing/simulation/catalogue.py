"""Objects by popularity, as many as make the wanted share of requests find no copy."""

from __future__ import annotations

import bisect
import math

from rookbend.testing.simulation.deployment import KEEP_S, Kind


class Catalogue:
    """Objects of a kind by Zipf's law, as many as make the wanted share of reads find no copy."""

    def __init__(self, kind: Kind, per_s: float, misses: float, parts: int):
        lo, hi = 10, 2_000_000
        while lo < hi - max(1, lo // 50):
            middle = int(math.sqrt(lo * hi)) + 1
            if self._misses(middle, kind.zipf, per_s / parts * KEEP_S) < misses:
                lo = middle
            else:
                hi = middle
        self.count = hi
        weights = [1 / (i + 1) ** kind.zipf for i in range(self.count)]
        total, at, self.sums = sum(weights), 0.0, []
        for w in weights:
            at += w / total
            self.sums.append(at)

    @staticmethod
    def _misses(count: int, zipf: float, asked: float) -> float:
        """In steps of like ranks: the share of requests whose object was not asked for in the time before."""
        ranks, rank = [], 1  # (how many, the weight of each)
        while rank <= count:
            until = min(count, int(rank * 1.1) + 1)
            ranks.append((until - rank + 1, ((rank + until) / 2) ** -zipf))
            rank = until + 1
        total = sum(many * weight for many, weight in ranks)
        return sum(many * weight / total * math.exp(-weight / total * asked) for many, weight in ranks)

    def draw(self, value: float) -> int:
        return min(bisect.bisect_left(self.sums, value), self.count - 1)
