"""Records when purges were received, for as long as copies older than them may still be served."""

from __future__ import annotations

from rookbend.core.clock import Clock
from rookbend.core.model import Purge
from rookbend.interface import PurgeReceived, Settings

RETENTION_PROPAGATION_FACTOR = 2  # one propagation time until the copies are gone, one as a margin


class ReceivedPurges:
    """The time at which the latest purge of an object, or of a group of objects, was received."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.objects: dict[int, int] = {}  # time received by object number, oldest first
        self.groups: dict[int, int] = {}
        self._clock = clock

    def record(self, purge: Purge) -> PurgeReceived:
        """Records a purge; returns the event that reports it to the router."""
        now_us = self._clock.now()
        if purge.object_id is None:
            self._put(self.groups, purge.group, now_us)
        else:
            self._put(self.objects, purge.object_id, now_us)
        return PurgeReceived(purge.object_id or 0, purge.group, self._age_us(purge, now_us))

    def _put(self, received_us: dict[int, int], purged: int, now_us: int) -> None:
        """Records a purge as the newest, and removes those so old that no copy from before them is left."""
        received_us.pop(purged, None)
        received_us[purged] = now_us
        oldest_kept_us = now_us - RETENTION_PROPAGATION_FACTOR * self.settings.purge_propagation_us
        while (oldest := next(iter(received_us))) != purged and received_us[oldest] < oldest_kept_us:
            del received_us[oldest]

    def _age_us(self, purge: Purge, now_us: int) -> int:
        age_us = max(0, now_us - purge.unix_us)
        propagation_us = self.settings.purge_propagation_us
        if propagation_us and age_us > propagation_us:
            # With a system clock that is ahead, every purge looked too old to matter, and purged copies were
            # served. A purge older than the propagation time counts as made now, which is never less strict.
            return 0
        return age_us
