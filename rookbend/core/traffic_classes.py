"""The traffic classes by name, with those that the settings have just retired."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.core.clock import Clock
from rookbend.interface import Settings

RETIRED_GRACE_US = 1_500_000  # a request that was on its way as its class was retired is taken for so long


@dataclass(frozen=True, slots=True)
class RetiredClass:
    """The place of a class that is retired, and until when its requests are still taken."""

    index: int
    accepted_until_us: int


class TrafficClassIndex:
    """The place of each class in `Settings.classes`, by its name."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.by_name = _places(settings)
        self._clock = clock
        self._retired: dict[str, RetiredClass] = {}  # bounded: one entry a name that the settings ever had

    def index_of(self, name: str) -> int | None:
        """The class of a new request; None where the settings have none of that name."""
        index = self.by_name.get(name)
        if index is not None:
            return index
        retired = self._retired.get(name)
        if retired is not None and retired.accepted_until_us > self._clock.now():
            return retired.index
        return None

    def apply_settings(self, settings: Settings) -> None:
        """Takes other settings, whose classes begin with those known before, each in its place."""
        accepted_until_us = self._clock.now() + RETIRED_GRACE_US
        for name, index in self.by_name.items():
            if settings.classes[index].is_retired:
                self._retired[name] = RetiredClass(index, accepted_until_us)
        self.by_name = _places(settings)


def _places(settings: Settings) -> dict[str, int]:
    return {
        traffic_class.name: index
        for index, traffic_class in enumerate(settings.classes)
        if not traffic_class.is_retired
    }
