"""The objects of a traffic class by popularity."""

from __future__ import annotations

import bisect
import math

from rookbend.testing.simulation.deployment import CACHE_RETENTION_S, ClassProfile


class Catalogue:
    """The objects of a traffic class, requested by Zipf's law; their number is chosen to give the wanted miss ratio."""

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
        total_weight, cumulative, self.sums = sum(weights), 0.0, []
        for w in weights:
            cumulative += w / total_weight
            self.sums.append(cumulative)

    @staticmethod
    def _miss_ratio(count: int, zipf: float, mean_requests: float) -> float:
        """Returns the ratio of requests for objects that were not requested within the retention time.

        `mean_requests` is the mean number of requests in that time. Objects are grouped by rank; the last rank of a
        group is about 1.1 times the first.
        """
        ranks, rank = [], 1  # (number of objects, weight of each)
        while rank <= count:
            last_rank = min(count, int(rank * 1.1) + 1)
            ranks.append((last_rank - rank + 1, ((rank + last_rank) / 2) ** -zipf))
            rank = last_rank + 1
        total_weight = sum(size * weight for size, weight in ranks)
        return sum(
            size * weight / total_weight * math.exp(-weight / total_weight * mean_requests) for size, weight in ranks
        )

    def draw(self, value: float) -> int:
        return min(bisect.bisect_left(self.sums, value), self.count - 1)
