"""The cluster's traffic classes. Only this module names them; other modules use their attributes."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.testing.weighted_score import ClassObjective


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A class of requests: its objective, its deadline, its share of arrivals, and the parts of its objects."""

    objective: ClassObjective
    deadline_us: int
    share: float
    write: bool = False
    parts: int = 1


TRAFFIC_CLASSES = (
    TrafficClass(ClassObjective("form", 8.0, 1_000_000, 0.0, 0.5), 3_000_000, 0.08, True),
    TrafficClass(ClassObjective("image", 1.0, 600_000, 2.0, 0.4), 2_000_000, 0.62),
    TrafficClass(ClassObjective("video", 2.0, 900_000, 2.0, 0.4), 4_000_000, 0.30, parts=4),
)

WRITES = frozenset(kind.objective.name for kind in TRAFFIC_CLASSES if kind.write)


def class_settings() -> list[dict]:
    """Returns the classes in the format of the platform's settings."""
    return [
        {
            "name": k.objective.name,
            "aimUs": k.objective.latency_objective_us,
            "aimStretch": k.objective.latency_objective_stretch,
            "hardLimitUs": k.deadline_us,
            "effect": "single_shot" if k.write else "free",
            "gain": k.objective.priority_weight,
            "lateWorth": k.objective.late_priority_weight,
        }
        for k in TRAFFIC_CLASSES
    ]
