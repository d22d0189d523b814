"""When purges were received, for as long as copies from before them may still be served."""

from __future__ import annotations

from rookbend.core.clock import Clock
from rookbend.core.model import Purge
from rookbend.interface import PurgeReceived, Settings

RETENTION_PROPAGATION_TIMES = 2  # once the stated time for the copies to go, once as margin


class ReceivedPurges:
    """The time at which the latest purge of an object, or of a group of objects, was received."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.objects: dict[int, int] = {}  # oldest first
        self.groups: dict[int, int] = {}
        self._clock = clock

    def record(self, purge: Purge) -> PurgeReceived:
        """Takes a purge; returns the event that reports it to the router."""
        now_us = self._clock.now()
        if purge.object_id is None:
            self._put(self.groups, purge.group, now_us)
        else:
            self._put(self.objects, purge.object_id, now_us)
        return PurgeReceived(purge.object_id or 0, purge.group, self._age_us(purge, now_us))

    def _put(self, received_us: dict[int, int], purged: int, now_us: int) -> None:
        """Records one purge as the newest, and drops those that no copy is older than any more."""
        received_us.pop(purged, None)
        received_us[purged] = now_us
        expired_us = now_us - RETENTION_PROPAGATION_TIMES * self.settings.purge_propagation_us
        while (oldest := next(iter(received_us))) != purged and received_us[oldest] < expired_us:
            del received_us[oldest]

    def _age_us(self, purge: Purge, now_us: int) -> int:
        age_us = max(0, now_us - purge.unix_us)
        propagation_us = self.settings.purge_propagation_us
        if propagation_us and age_us > propagation_us:
            # Guards against a system clock that is ahead: by it every purge is too old to matter, and older
            # copies were served. One so late counts as made now: that is stricter, never less.
            return 0
        return age_us
