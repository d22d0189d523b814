"""The traffic classes by name, including those that the settings have recently retired."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.core.clock import Clock
from rookbend.interface import Settings

ID_RETENTION_DEADLINES = 4
RETIRED_GRACE_US = 1_500_000  # requests already on their way when their class is retired are accepted this long


@dataclass(frozen=True, slots=True)
class RetiredClass:
    """The index of a retired class, and the time until which its requests are accepted."""

    index: int
    accepted_until_us: int


class TrafficClassIndex:
    """The index of each class in `Settings.classes`, by its name."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.by_name = _indices_by_name(settings)
        self._settings = settings
        self._clock = clock
        self._retired: dict[str, RetiredClass] = {}  # bounded: one entry per name that the settings ever had

    def index_of(self, name: str) -> int | None:
        """The class index of a new request; None if the settings have no class of that name."""
        index = self.by_name.get(name)
        if index is not None:
            return index
        retired = self._retired.get(name)
        if retired is not None and retired.accepted_until_us > self._clock.now():
            return retired.index
        return None

    def apply_settings(self, settings: Settings) -> None:
        """Replaces the settings, whose classes start with those known before, in the same order."""
        accepted_until_us = self._clock.now() + RETIRED_GRACE_US
        for name, index in self.by_name.items():
            if settings.classes[index].is_retired:
                self._retired[name] = RetiredClass(index, accepted_until_us)
        self.by_name = _indices_by_name(settings)
        self._settings = settings

    def id_retention_us(self, index: int) -> int:
        """The time for which the id of a write of this class may not come again, in microseconds."""
        return ID_RETENTION_DEADLINES * self._settings.classes[index].deadline_us


def longest_deadline_us(settings: Settings) -> int:
    """The time after which no client waits for its answer any more, whichever class it asked for."""
    return max(traffic_class.deadline_us for traffic_class in settings.classes)


def _indices_by_name(settings: Settings) -> dict[str, int]:
    return {
        traffic_class.name: index
        for index, traffic_class in enumerate(settings.classes)
        if not traffic_class.is_retired
    }
