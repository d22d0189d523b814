"""The platform's settings as typed values, and their conversion to the router's settings.

The platform names the JSON keys; only this module maps them to the terms of this program.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import TypeVar

import msgspec

from rookbend import interface as api
from rookbend.simulator_settings import IDEMPOTENCY_BY_EFFECT, LOAD_REPORT_FIELD_ALIASES

Value = TypeVar("Value")


class TrafficClassConfig(msgspec.Struct, rename="camel"):
    """A request class. Times in microseconds."""

    name: str
    latency_objective_us: int = msgspec.field(name="aimUs")
    deadline_us: int = msgspec.field(name="hardLimitUs")
    idempotency: str = msgspec.field(name="effect")
    latency_objective_stretch: float = msgspec.field(name="aimStretch", default=0.0)
    priority_weight: float = msgspec.field(name="gain", default=1.0)
    late_priority_weight: float = msgspec.field(name="lateWorth", default=0.0)
    retry_scope: str = msgspec.field(name="group", default="all")
    idempotency_key_window_us: int = msgspec.field(name="repeatWindowUs", default=0)
    streaming: bool = False


class CachingConfig(msgspec.Struct, rename="camel"):
    """Settings of caches and fills. Lists with `by_class` in their names hold one value per class, or none."""

    freshness_lifetime_us_by_class: list[int] = msgspec.field(name="classFreshUs", default=[])
    stale_grace_us_by_class: list[int] = msgspec.field(name="graceForUs", default=[])
    stale_priority_weight_by_class: list[float] = msgspec.field(name="classStaleWorth", default=[])
    is_write_by_class: list[bool] = msgspec.field(name="goesThrough", default=[])
    has_parts_by_class: list[bool] = msgspec.field(name="inPieces", default=[])
    routers_by_zone: tuple[int, ...] = msgspec.field(name="seatsByZone", default=())
    home_parents: tuple[int, ...] = msgspec.field(name="homeHub", default=())
    link_kb_per_s: tuple[float, ...] = msgspec.field(name="inletKbPerS", default=())
    parent_kind: int = msgspec.field(name="secondTierKind", default=-1)
    origin_kind: int = msgspec.field(name="sourceKind", default=-1)
    pace_kb_per_s: float = msgspec.field(name="paceKbPerS", default=0.0)
    supports_joined_fills: bool = msgspec.field(name="collapses", default=False)
    answer_detail: str = msgspec.field(name="detail", default="none")
    allows_direct_to_source: bool = msgspec.field(name="direct", default=False)
    sibling_sources: str = msgspec.field(name="neighbours", default="none")
    purge_grace_us: int = 0
    purge_propagation_us: int = msgspec.field(name="purgeTakesUs", default=0)
    parent_cold_capacity_ratio: float = msgspec.field(name="upperColdFrom", default=1.0)
    parent_warm_up_us: int = msgspec.field(name="parentWarmsInUs", default=0)
    parent_overload_multiple: float = msgspec.field(name="parentFallMultiple", default=1.0)


class MemberRulesConfig(msgspec.Struct, rename="camel"):
    """Settings of every member: cold capacity, overload, draining."""

    cold_capacity_ratio: float = msgspec.field(name="startCapacity")
    warm_up_us: int
    overload_multiple: float = msgspec.field(name="tipMultiple")
    overload_window_us: int = msgspec.field(name="fallUs")
    drain_grace_us: int = 0
    membership_poll_interval_us: int = msgspec.field(name="askWithinUs", default=0)


class RouterLimitsConfig(msgspec.Struct, rename="camel"):
    """Permissions and limits of a director. Members close idle connections after `idle_close_us`."""

    max_attempts: int
    max_requests_in_flight: int = msgspec.field(name="maxOpen")
    connect_timeout_us: int
    allows_hedged_requests: bool = msgspec.field(name="secondCopies", default=False)
    allows_cancellation: bool = msgspec.field(name="cancelling", default=False)
    allows_probes: bool = msgspec.field(name="probes", default=False)
    allows_peer_messages: bool = msgspec.field(name="mayTell", default=False)
    allows_retry_after: bool = msgspec.field(name="retryAfter", default=False)
    max_retry_after_us: int = 0
    idle_close_us: int = 15_000_000
    max_streams: int = 1


class LoadReportConfig(msgspec.Struct):
    """The figures that members report with their answers."""

    fields: tuple[str, ...] = ()
    source: str = "none"


class PlatformSettings(msgspec.Struct, rename="camel"):
    """All settings, nested as in the JSON file."""

    classes: list[TrafficClassConfig] = msgspec.field(name="lanes")
    caching: CachingConfig = msgspec.field(name="familyInfo")
    member_rules: MemberRulesConfig = msgspec.field(name="invariants")
    limits: RouterLimitsConfig
    zone: int
    router_count: int = msgspec.field(name="siblings")
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    router_index: int = msgspec.field(name="me", default=0)
    weights: str = "nominal"
    membership_mode: str = msgspec.field(name="registryMode", default="push")
    clock_tick_us: int = msgspec.field(name="quantumUs", default=0)
    load_report: LoadReportConfig = msgspec.field(name="report", default_factory=LoadReportConfig)


class ProcessLimits(msgspec.Struct):
    """Machine resources available to one director."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


def to_router_settings(platform: PlatformSettings) -> api.Settings:
    """Converts the platform's settings to the router's."""
    settings = api.Settings(
        classes=tuple(
            _traffic_class(traffic_class, index, platform.caching)
            for index, traffic_class in enumerate(platform.classes)
        ),
        zone=platform.zone,
        router_index=platform.router_index,
        router_count=platform.router_count,
        weights=platform.weights,
        membership_is_pushed=platform.membership_mode == "push",
        load_report_fields=tuple(LOAD_REPORT_FIELD_ALIASES.get(name, name) for name in platform.load_report.fields),
        clock_tick_us=platform.clock_tick_us,
    )
    settings = _with_caching(settings, platform.caching)
    settings = _with_member_rules(settings, platform.member_rules)
    return _with_limits(settings, platform.limits)


def _traffic_class(config: TrafficClassConfig, index: int, caching: CachingConfig) -> api.TrafficClass:
    return api.TrafficClass(
        name=config.name,
        latency_objective_us=config.latency_objective_us,
        deadline_us=config.deadline_us,
        latency_objective_stretch=config.latency_objective_stretch,
        priority_weight=config.priority_weight,
        late_priority_weight=config.late_priority_weight,
        idempotency=IDEMPOTENCY_BY_EFFECT[config.idempotency],
        retry_scope=config.retry_scope,
        idempotency_key_window_us=config.idempotency_key_window_us,
        streaming=config.streaming,
        is_write=_by_class(caching.is_write_by_class, index, False),
        has_parts=_by_class(caching.has_parts_by_class, index, False),
        freshness_lifetime_us=_by_class(caching.freshness_lifetime_us_by_class, index, 0),
        stale_grace_us=_by_class(caching.stale_grace_us_by_class, index, 0),
        stale_priority_weight=_by_class(caching.stale_priority_weight_by_class, index, 0.0),
    )


def _by_class(values: Sequence[Value], index: int, default: Value) -> Value:
    return values[index] if index < len(values) else default


def _with_caching(settings: api.Settings, caching: CachingConfig) -> api.Settings:
    return replace(
        settings,
        routers_by_zone=caching.routers_by_zone,
        home_parents=caching.home_parents,
        link_kb_per_s=caching.link_kb_per_s,
        parent_kind=caching.parent_kind,
        origin_kind=caching.origin_kind,
        pace_kb_per_s=caching.pace_kb_per_s,
        supports_joined_fills=caching.supports_joined_fills,
        answer_detail=caching.answer_detail,
        allows_direct_to_source=caching.allows_direct_to_source,
        sibling_sources=caching.sibling_sources,
        purge_grace_us=caching.purge_grace_us,
        purge_propagation_us=caching.purge_propagation_us,
        parent_cold_capacity_ratio=caching.parent_cold_capacity_ratio,
        parent_warm_up_us=caching.parent_warm_up_us,
        parent_overload_multiple=caching.parent_overload_multiple,
    )


def _with_member_rules(settings: api.Settings, rules: MemberRulesConfig) -> api.Settings:
    return replace(
        settings,
        cold_capacity_ratio=rules.cold_capacity_ratio,
        warm_up_us=rules.warm_up_us,
        overload_multiple=rules.overload_multiple,
        overload_window_us=rules.overload_window_us,
        drain_grace_us=rules.drain_grace_us,
        membership_poll_interval_us=rules.membership_poll_interval_us,
    )


def _with_limits(settings: api.Settings, limits: RouterLimitsConfig) -> api.Settings:
    return replace(
        settings,
        max_attempts=limits.max_attempts,
        allows_hedged_requests=limits.allows_hedged_requests,
        allows_cancellation=limits.allows_cancellation,
        allows_probes=limits.allows_probes,
        allows_peer_messages=limits.allows_peer_messages,
        allows_retry_after=limits.allows_retry_after,
        max_retry_after_us=limits.max_retry_after_us,
        max_requests_in_flight=limits.max_requests_in_flight,
        connect_timeout_us=limits.connect_timeout_us,
    )
