"""The platform's settings as typed values, in the simulator's names, and as the module's own."""

from __future__ import annotations

import msgspec

from rookbend import interface as api
from rookbend.simulator_settings import EFFECTS, REPORT_NAMES


class Lane(msgspec.Struct, rename="camel"):
    name: str
    aim_us: int
    hard_limit_us: int
    effect: str
    aim_stretch: float = 0.0
    gain: float = 1.0
    late_worth: float = 0.0
    group: str = "all"
    repeat_window_us: int = 0
    streaming: bool = False


class FamilyInfo(msgspec.Struct, rename="camel"):
    class_fresh_us: list[int] = []
    grace_for_us: list[int] = []
    class_stale_worth: list[float] = []
    goes_through: list[bool] = []
    in_pieces: list[bool] = []
    seats_by_zone: tuple[int, ...] = ()
    home_hub: tuple[int, ...] = ()
    inlet_kb_per_s: tuple[float, ...] = msgspec.field(name="inletKbPerS", default=())
    second_tier_kind: int = -1
    source_kind: int = -1
    pace_kb_per_s: float = msgspec.field(name="paceKbPerS", default=0.0)
    collapses: bool = False
    detail: str = "none"
    direct: bool = False
    neighbours: str = "none"
    purge_grace_us: int = 0
    purge_takes_us: int = 0
    upper_cold_from: float = 1.0
    parent_warms_in_us: int = 0
    parent_fall_multiple: float = 1.0


class Invariants(msgspec.Struct, rename="camel"):
    start_capacity: float
    warm_up_us: int
    tip_multiple: float
    fall_us: int
    drain_grace_us: int = 0
    ask_within_us: int = 0


class SettingsLimits(msgspec.Struct, rename="camel"):
    max_attempts: int
    max_open: int
    connect_timeout_us: int
    second_copies: bool = False
    cancelling: bool = False
    probes: bool = False
    may_tell: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    idle_close_us: int = 15_000_000
    max_streams: int = 1


class Report(msgspec.Struct):
    fields: tuple[str, ...] = ()
    source: str = "none"


class DirectorSettings(msgspec.Struct, rename="camel"):
    """The settings as nested JSON, in the simulator's names."""

    lanes: list[Lane]
    family_info: FamilyInfo
    invariants: Invariants
    limits: SettingsLimits
    zone: int
    siblings: int
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    me: int = 0
    weights: str = "nominal"
    registry_mode: str = "push"
    quantum_us: int = 0
    report: Report = msgspec.field(default_factory=Report)


class Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


def to_router_settings(s: DirectorSettings) -> api.Settings:
    """The module's own settings."""
    f, rules, limits = s.family_info, s.invariants, s.limits

    def by_class(values, index, default):
        return values[index] if index < len(values) else default

    classes = tuple(
        api.TrafficClass(
            name=lane.name,
            latency_objective_us=lane.aim_us,
            deadline_us=lane.hard_limit_us,
            latency_objective_stretch=lane.aim_stretch,
            priority_weight=lane.gain,
            late_priority_weight=lane.late_worth,
            idempotency=EFFECTS[lane.effect],
            retry_scope=lane.group,
            idempotency_key_window_us=lane.repeat_window_us,
            streaming=lane.streaming,
            is_write=by_class(f.goes_through, i, False),
            has_parts=by_class(f.in_pieces, i, False),
            freshness_lifetime_us=by_class(f.class_fresh_us, i, 0),
            stale_grace_us=by_class(f.grace_for_us, i, 0),
            stale_priority_weight=by_class(f.class_stale_worth, i, 0.0),
        )
        for i, lane in enumerate(s.lanes)
    )
    return api.Settings(
        classes=classes,
        zone=s.zone,
        router_index=s.me,
        router_count=s.siblings,
        routers_by_zone=f.seats_by_zone,
        home_parents=f.home_hub,
        link_kb_per_s=f.inlet_kb_per_s,
        parent_kind=f.second_tier_kind,
        origin_kind=f.source_kind,
        weights=s.weights,
        pace_kb_per_s=f.pace_kb_per_s,
        supports_joined_fills=f.collapses,
        answer_detail=f.detail,
        allows_direct_to_source=f.direct,
        sibling_sources=f.neighbours,
        purge_grace_us=f.purge_grace_us,
        purge_propagation_us=f.purge_takes_us,
        cold_capacity_ratio=rules.start_capacity,
        warm_up_us=rules.warm_up_us,
        overload_multiple=rules.tip_multiple,
        overload_window_us=rules.fall_us,
        parent_cold_capacity_ratio=f.upper_cold_from,
        parent_warm_up_us=f.parent_warms_in_us,
        parent_overload_multiple=f.parent_fall_multiple,
        drain_grace_us=rules.drain_grace_us,
        membership_poll_interval_us=rules.ask_within_us,
        max_attempts=limits.max_attempts,
        allows_hedged_requests=limits.second_copies,
        allows_cancellation=limits.cancelling,
        allows_probes=limits.probes,
        allows_peer_messages=limits.may_tell,
        allows_retry_after=limits.retry_after,
        max_retry_after_us=limits.max_retry_after_us,
        max_requests_in_flight=limits.max_open,
        connect_timeout_us=limits.connect_timeout_us,
        membership_is_pushed=s.registry_mode == "push",
        load_report_fields=tuple(REPORT_NAMES.get(name, name) for name in s.report.fields),
        clock_tick_us=s.quantum_us,
    )
