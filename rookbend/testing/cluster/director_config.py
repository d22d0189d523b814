"""The configuration of a cluster's directors: the platform's settings and the operators' settings file."""

from __future__ import annotations

import copy

from rookbend.testing.cluster.shared_state import CACHE, PARENT
from rookbend.testing.cluster.traffic_classes import TRAFFIC_CLASSES, class_settings
from rookbend.testing.measurement_settings import SETTINGS

OPERATORS = """
[log]
    format json
    burst 1000
[admin]
    listen {admin}
    metrics yes
{more}
"""
# Leases in every director, members checked in shards, and the fleet's report. For `open_cluster`, which replaces the
# words in braces.
OWNERSHIP_SETTINGS = """
[state]
    folder {state}
    fleet  f1
[recovery]
    ready-by 2s
[ownership]
    lease         1500ms
    shards        4
    voters        0 1 2
    report-ledger {ledger}
    report-every  1s
[health]
    hold 500ms
[check web]
    type     http
    port     9777
    tier     all
    interval 1s
    fast     200ms
    fall     2
    stale    4s
"""
PURGE_LIFE_US = 6_000_000
HEALTH_PORT = 9777  # health port of every member, at the address by which a director knows it


def settings_for(directors: int, caches: int, me: int) -> dict:
    """Returns the platform's settings for director number `me` of a fleet of that size."""
    s = copy.deepcopy(SETTINGS)
    s["lanes"] = class_settings()
    s["familyInfo"].update(
        goesThrough=[k.write for k in TRAFFIC_CLASSES],
        inPieces=[k.parts > 1 for k in TRAFFIC_CLASSES],
        seatsByZone=[0, directors],
        purgeTakesUs=PURGE_LIFE_US,
        upperColdFrom=PARENT.cold_capacity_ratio,
        parentWarmsInUs=PARENT.warm_up_us,
        parentFallMultiple=PARENT.multiple,
    )
    s["invariants"].update(
        startCapacity=CACHE.cold_capacity_ratio,
        warmUpUs=CACHE.warm_up_us,
        tipMultiple=CACHE.multiple,
        fallUs=CACHE.window_us,
    )
    s["me"], s["siblings"] = me, directors
    return s


def allow_probes(settings: dict) -> dict:
    """A `ProcessCluster.change_settings` by which the platform permits health checks."""
    settings["limits"]["probes"] = True
    return settings
