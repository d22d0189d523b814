"""The platform settings of the fleets that benchmarks and tests start."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "lanes": [
        {"name": "video", "aimUs": 610_000, "aimStretch": 2.0, "hardLimitUs": 5_100_000, "effect": "free"},
        {"name": "form", "aimUs": 610_000, "hardLimitUs": 3_100_000, "effect": "single_shot"},
    ],
    "familyInfo": {
        "goesThrough": [False, True],
        "secondTierKind": 1,
        "sourceKind": 2,
        "direct": True,
        "collapses": True,
        "detail": "all",
        "seatsByZone": [0, 1],
        "purgeTakesUs": 6_000_000,
        "purgeGraceUs": 500_000,
        "paceKbPerS": 1000.0,
    },
    "invariants": {
        "startCapacity": 0.2,
        "warmUpUs": 15_000_000,
        "tipMultiple": 4.0,
        "fallUs": 1_500_000,
        "drainGraceUs": 500_000,
    },
    "limits": {
        "maxAttempts": 6,
        "maxOpen": 1000,
        "connectTimeoutUs": 400_000,
        "cancelling": True,
        "retryAfter": True,
        "maxRetryAfterUs": 500_000,
        "maxStreams": 100,
        "mayTell": True,
    },
    "zone": 1,
    "siblings": 1,
    "zones": ["hub", "edge"],
    "kinds": ["standard", "parent", "origin"],
    "report": {"fields": ["utilization", "outstanding", "x1"]},
}
