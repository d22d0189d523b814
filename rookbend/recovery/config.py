"""Configuration and identity of one director's recovery."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from rookbend.recovery.startup_stages import StartupPlan


class TrafficClassCost(NamedTuple):
    """What recovery needs to know of a traffic class; `cost` is relative to a class of small objects."""

    is_write: bool
    priority_weight: float
    cost: float


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """`number` is this director's place among `director_count`; `classes` are in the settings' order; rates are
    calls a second of the whole fleet towards the origin; `gossip_enabled`: directors may exchange datagrams."""

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
    """Who this director is to its peers. `boot_number` grows with each start and may be raised while it runs;
    `incarnation` is drawn at the start and tells two starts with one boot number apart."""

    number: int
    fleet_hash: int
    boot_number: int
    incarnation: int
    began_us: int
