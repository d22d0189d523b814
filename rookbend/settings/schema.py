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
from rookbend.settings.values import Form

HOUR_US = 60 * MINUTE_US


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionSchema:
    """The struct that a section becomes, its directives, and whether it takes a name.

    A directive `a-b` fills the field `a_b`, or `a_b_us` where it is a time.
    """

    struct: type[msgspec.Struct]
    directives: dict[str, Form]
    named: bool = False

    def field_of(self, directive: str) -> str:
        """The struct's field that a directive fills."""
        field = directive.replace("-", "_")
        return field if field in self.struct.__struct_fields__ else f"{field}_us"


LISTEN = Form(values.address, required=True)
PERIOD = Form(values.time(10_000, HOUR_US))
COUNT = Form(values.whole(1, 100))

SECTIONS: dict[str, SectionSchema] = {
    "log": SectionSchema(
        struct=Log,
        directives={
            "format": Form(values.one_of("text", "json")),
            "level": Form(values.one_of("debug", "info", "warning", "error")),
            "burst": Form(values.whole(1, 10_000)),
            "per": PERIOD,
        },
    ),
    "dns": SectionSchema(
        struct=Dns,
        directives={
            "listen": LISTEN,
            "zone": Form(values.text(1, 255)),
            "box-name": Form(values.text(1, 255)),
            "resolver": Form(values.address),
            "budget": Form(values.time(1_000, 60 * SECOND_US)),
        },
    ),
    "agent-server": SectionSchema(struct=Server, directives={"listen": LISTEN}),
    "http-server": SectionSchema(struct=Server, directives={"listen": LISTEN}),
    "grpc-server": SectionSchema(struct=Server, directives={"listen": LISTEN}),
    "headroom": SectionSchema(
        struct=Headroom,
        directives={
            "lag": Form(values.time(1_000, 10 * SECOND_US)),
            "step": Form(values.share(0.01, 0.5)),
            "rise": PERIOD,
            "least": Form(values.share(0.01, 1.0)),
        },
    ),
    "admin": SectionSchema(
        struct=Admin, directives={"listen": Form(values.loopback, required=True), "metrics": Form(values.yes_or_no)}
    ),
    "background": SectionSchema(
        struct=Background,
        directives={
            "rate": Form(values.whole(1, 100_000)),
            "running": Form(values.whole(1, 10_000)),
            "descriptors": Form(values.whole(1, 10_000)),
            "watches": Form(values.whole(1, 10_000)),
        },
    ),
    "state": SectionSchema(
        struct=State,
        directives={
            "folder": Form(values.text(1, 4096), required=True),
            "fleet": Form(values.text(1, 100)),
            "most": Form(values.size(64 << 10, 1 << 30)),
        },
    ),
    "recovery": SectionSchema(
        struct=Recovery,
        directives={
            "peers": Form(values.yes_or_no),
            "fleet": Form(values.text(1, 100)),
            "ready-share": Form(values.share(0.01, 1.0)),
            "ready-by": PERIOD,
            "full-by": PERIOD,
            "first-rate": Form(values.whole(1, 100_000)),
            "full-rate": Form(values.whole(1, 1_000_000)),
        },
    ),
    "ownership": SectionSchema(
        struct=Ownership,
        directives={
            "voters": Form(values.whole(0, 10_000), many=True),
            "lease": Form(values.time(100_000, MINUTE_US)),
            "drift": Form(values.share(0.0, 0.2)),
            "round-trip": Form(values.time(1_000, MINUTE_US)),
            "shards": Form(values.whole(1, 200)),
            "report-ledger": Form(values.address),
            "report-file": Form(values.text(1, 4096)),
            "report-every": PERIOD,
        },
    ),
    "health": SectionSchema(
        struct=Health,
        directives={
            "max-out": Form(values.share()),
            "panic-hold": PERIOD,
            "hold": PERIOD,
            "hold-most": PERIOD,
            "flap-window": PERIOD,
            "slow-start": Form(values.time(0, HOUR_US)),
            "start-at": Form(values.share(0.01, 1.0)),
            "passive-fall": Form(values.whole(0, 1000)),
            "passive-hold": PERIOD,
            "weigh": Form(values.one_of("caches", "all", "none")),
        },
    ),
    "check": SectionSchema(
        struct=Check,
        named=True,
        directives={
            "type": Form(values.one_of("agent", "http", "grpc", "grpc-watch", "tcp"), required=True),
            "port": Form(values.whole(0, 65535)),
            "tier": Form(values.one_of("cache", "parent", "origin", "all")),
            "interval": PERIOD,
            "fast": PERIOD,
            "down": PERIOD,
            "answer-by": Form(values.time(1_000, MINUTE_US)),
            "rise": COUNT,
            "fall": COUNT,
            "stale": PERIOD,
            "most-bytes": Form(values.size(64, 1 << 20)),
            "send": Form(values.text()),
            "method": Form(values.one_of("GET", "HEAD", "OPTIONS")),
            "path": Form(values.text(1)),
            "host": Form(values.text(1, 255)),
            "expect-status": Form(values.status_range, many=True),
            "expect-body": Form(values.text(1)),
            "service": Form(values.text()),
            "proxy": Form(values.one_of("no", "local", "proxy")),
        },
    ),
}
