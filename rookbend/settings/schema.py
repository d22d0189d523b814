"""The directives that each section of the operators' settings takes.

A new subsystem adds a struct to `sections` and an entry to `SECTIONS`.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from rookbend.settings import values
from rookbend.settings.sections import (
    MINUTE_US,
    SECOND_US,
    Admin,
    Background,
    Check,
    Dns,
    Headroom,
    Health,
    Log,
    Ownership,
    Recovery,
    Server,
    State,
)
from rookbend.settings.values import DirectiveSpec

HOUR_US = 60 * MINUTE_US


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionSchema:
    """The struct that a section is parsed into, its directives, and whether it takes a name.

    A directive `a-b` sets the field `a_b`, or `a_b_us` where it is a time.
    """

    struct: type[msgspec.Struct]
    directives: dict[str, DirectiveSpec]
    named: bool = False

    def field_of(self, directive: str) -> str:
        """The struct's field that a directive sets."""
        field = directive.replace("-", "_")
        return field if field in self.struct.__struct_fields__ else f"{field}_us"


LISTEN = DirectiveSpec(values.address, required=True)
PERIOD = DirectiveSpec(values.duration(10_000, HOUR_US))
COUNT = DirectiveSpec(values.integer(1, 100))

SECTIONS: dict[str, SectionSchema] = {
    "log": SectionSchema(
        struct=Log,
        directives={
            "format": DirectiveSpec(values.one_of("text", "json")),
            "level": DirectiveSpec(values.one_of("debug", "info", "warning", "error")),
            "burst": DirectiveSpec(values.integer(1, 10_000)),
            "per": PERIOD,
        },
    ),
    "dns": SectionSchema(
        struct=Dns,
        directives={
            "listen": LISTEN,
            "zone": DirectiveSpec(values.text(1, 255)),
            "box-name": DirectiveSpec(values.text(1, 255)),
            "resolver": DirectiveSpec(values.address),
            "budget": DirectiveSpec(values.duration(1_000, 60 * SECOND_US)),
        },
    ),
    "agent-server": SectionSchema(struct=Server, directives={"listen": LISTEN}),
    "http-server": SectionSchema(struct=Server, directives={"listen": LISTEN}),
    "grpc-server": SectionSchema(struct=Server, directives={"listen": LISTEN}),
    "headroom": SectionSchema(
        struct=Headroom,
        directives={
            "lag": DirectiveSpec(values.duration(1_000, 10 * SECOND_US)),
            "step": DirectiveSpec(values.percentage(0.01, 0.5)),
            "rise": PERIOD,
            "least": DirectiveSpec(values.percentage(0.01, 1.0)),
        },
    ),
    "admin": SectionSchema(
        struct=Admin,
        directives={
            "listen": DirectiveSpec(values.loopback_address, required=True),
            "metrics": DirectiveSpec(values.boolean),
        },
    ),
    "background": SectionSchema(
        struct=Background,
        directives={
            "rate": DirectiveSpec(values.integer(1, 100_000)),
            "running": DirectiveSpec(values.integer(1, 10_000)),
            "descriptors": DirectiveSpec(values.integer(1, 10_000)),
            "watches": DirectiveSpec(values.integer(1, 10_000)),
        },
    ),
    "state": SectionSchema(
        struct=State,
        directives={
            "folder": DirectiveSpec(values.text(1, 4096), required=True),
            "fleet": DirectiveSpec(values.text(1, 100)),
            "most": DirectiveSpec(values.size(64 << 10, 1 << 30)),
        },
    ),
    "recovery": SectionSchema(
        struct=Recovery,
        directives={
            "peers": DirectiveSpec(values.boolean),
            "fleet": DirectiveSpec(values.text(1, 100)),
            "ready-share": DirectiveSpec(values.percentage(0.01, 1.0)),
            "ready-by": PERIOD,
            "full-by": PERIOD,
            "first-rate": DirectiveSpec(values.integer(1, 100_000)),
            "full-rate": DirectiveSpec(values.integer(1, 1_000_000)),
        },
    ),
    "ownership": SectionSchema(
        struct=Ownership,
        directives={
            "voters": DirectiveSpec(values.integer(0, 10_000), multiple=True),
            "lease": DirectiveSpec(values.duration(100_000, MINUTE_US)),
            "drift": DirectiveSpec(values.percentage(0.0, 0.2)),
            "round-trip": DirectiveSpec(values.duration(1_000, MINUTE_US)),
            "shards": DirectiveSpec(values.integer(1, 200)),
            "report-ledger": DirectiveSpec(values.address),
            "report-file": DirectiveSpec(values.text(1, 4096)),
            "report-every": PERIOD,
        },
    ),
    "health": SectionSchema(
        struct=Health,
        directives={
            "max-out": DirectiveSpec(values.percentage()),
            "panic-hold": PERIOD,
            "hold": PERIOD,
            "hold-most": PERIOD,
            "flap-window": PERIOD,
            "slow-start": DirectiveSpec(values.duration(0, HOUR_US)),
            "start-at": DirectiveSpec(values.percentage(0.01, 1.0)),
            "passive-fall": DirectiveSpec(values.integer(0, 1000)),
            "passive-hold": PERIOD,
            "weigh": DirectiveSpec(values.one_of("caches", "all", "none")),
        },
    ),
    "check": SectionSchema(
        struct=Check,
        named=True,
        directives={
            "type": DirectiveSpec(values.one_of("agent", "http", "grpc", "grpc-watch", "tcp"), required=True),
            "port": DirectiveSpec(values.integer(0, 65535)),
            "tier": DirectiveSpec(values.one_of("cache", "parent", "origin", "all")),
            "interval": PERIOD,
            "fast": PERIOD,
            "down": PERIOD,
            "answer-by": DirectiveSpec(values.duration(1_000, MINUTE_US)),
            "rise": COUNT,
            "fall": COUNT,
            "stale": PERIOD,
            "most-bytes": DirectiveSpec(values.size(64, 1 << 20)),
            "send": DirectiveSpec(values.text()),
            "method": DirectiveSpec(values.one_of("GET", "HEAD", "OPTIONS")),
            "path": DirectiveSpec(values.text(1)),
            "host": DirectiveSpec(values.text(1, 255)),
            "expect-status": DirectiveSpec(values.status_range, multiple=True),
            "expect-body": DirectiveSpec(values.text(1)),
            "service": DirectiveSpec(values.text()),
            "proxy": DirectiveSpec(values.one_of("no", "local", "proxy")),
        },
    ),
}
