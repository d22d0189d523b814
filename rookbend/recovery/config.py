"""Configuration and identity of one director's recovery."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from rookbend.recovery.startup_stages import StartupPlan


class TrafficClassCost(NamedTuple):
    """The properties of a traffic class that recovery uses; `cost` is relative to a class of small objects."""

    is_write: bool
    priority_weight: float
    cost: float


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """`number` is this director's index among `director_count`. `classes` are in the order of the settings. Rates are
    calls per second of the whole fleet towards the origin. `gossip_enabled`: directors may exchange datagrams."""

    number: int
    director_count: int
    fleet: str
    seed: int
    classes: tuple[TrafficClassCost, ...]
    zone: int = 0
    parent_kind: int = -1
    origin_kind: int = -1
    purge_propagation_us: int = 6_000_000
    plan: StartupPlan = field(default_factory=StartupPlan)
    initial_origin_rate: float = 40.0
    full_origin_rate: float = 400.0
    gossip_enabled: bool = True


@dataclass(slots=True)
class LocalIdentity:
    """How this director identifies itself to its peers. `boot_number` grows with each start and may be raised at run
    time; `incarnation` is a random number drawn at each start, which distinguishes two starts with the same boot
    number."""

    number: int
    fleet_hash: int
    boot_number: int
    incarnation: int
    began_us: int
