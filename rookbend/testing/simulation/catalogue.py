"""Objects by popularity, as many as make the wanted share of requests find no copy."""

from __future__ import annotations

import bisect
import math

from rookbend.testing.simulation.deployment import CACHE_RETENTION_S, ClassProfile


class Catalogue:
    """Objects of a kind by Zipf's law, as many as make the wanted share of reads find no copy."""

    def __init__(self, profile: ClassProfile, requests_per_s: float, miss_ratio: float, parts: int):
        lo, hi = 10, 2_000_000
        while lo < hi - max(1, lo // 50):
            count = int(math.sqrt(lo * hi)) + 1
            if self._miss_ratio(count, profile.zipf, requests_per_s / parts * CACHE_RETENTION_S) < miss_ratio:
                lo = count
            else:
                hi = count
        self.count = hi
        weights = [1 / (i + 1) ** profile.zipf for i in range(self.count)]
        total, cumulative, self.sums = sum(weights), 0.0, []
        for w in weights:
            cumulative += w / total
            self.sums.append(cumulative)

    @staticmethod
    def _miss_ratio(count: int, zipf: float, mean_requests: float) -> float:
        """In steps of like ranks: the share of requests whose object was not asked for in the time before."""
        ranks, rank = [], 1  # (how many, the weight of each)
        while rank <= count:
            until = min(count, int(rank * 1.1) + 1)
            ranks.append((until - rank + 1, ((rank + until) / 2) ** -zipf))
            rank = until + 1
        total = sum(many * weight for many, weight in ranks)
        return sum(many * weight / total * math.exp(-weight / total * mean_requests) for many, weight in ranks)

    def draw(self, value: float) -> int:
        return min(bisect.bisect_left(self.sums, value), self.count - 1)
