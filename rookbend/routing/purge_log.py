"""Recent purges, which tell whether a copy of an object is stale."""

from __future__ import annotations

from typing import Literal

from rookbend.interface import PurgeReceived, Settings
from rookbend.routing.bounded_table import BoundedTable

RETENTION_PROPAGATION_RATIO = 1.15  # how long a purge is kept, relative to the stated propagation time
NEVER_US = -1

PurgeTarget = tuple[Literal["object", "group"], int]


class PurgeLog:
    """Time of the newest purge of each object and group, kept until every older copy is gone."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.purged_us: BoundedTable[PurgeTarget, int] = BoundedTable(settings.max_requests_in_flight)

    def record(self, now_us: int, event: PurgeReceived) -> None:
        """Record a purge of an object, or of a group where the event names no object."""
        target: PurgeTarget = ("object", event.object_id) if event.object_id else ("group", event.group)
        self.purged_us.put(target, max(now_us - event.age_us, self.purged_us.get(target, 0)))

    def latest(self, object_id: int, group: int, now_us: int) -> int | None:
        """Time of the newest purge that copies of the object may predate, or None."""
        purged_us = max(
            self.purged_us.get(("object", object_id), NEVER_US), self.purged_us.get(("group", group), NEVER_US)
        )
        if purged_us >= 0 and now_us - purged_us <= RETENTION_PROPAGATION_RATIO * self.settings.purge_propagation_us:
            return purged_us
        return None
