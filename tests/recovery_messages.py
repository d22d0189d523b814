"""Gossip messages for the recovery tests."""

from rookbend.protocol import gossip as wire
from rookbend.testing.recovery_simulation import EPOCH

NOW = EPOCH


def hello(number, heartbeat=1, boot=1, incarnation=5, age_s=100.0, phase=2, **more):
    fields = {
        "stage": 5,
        "purges_covered": True,
        "revision": 1,
        "digests": (0, 0, 0),
        "origin": (0, 0, 0, 0, 0),
        **more,
    }
    return wire.Hello(
        wire.fleet_number("f"), number, incarnation, boot, heartbeat, phase, age_ms=int(age_s * 1000), **fields
    )
