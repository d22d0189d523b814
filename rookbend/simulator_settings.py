"""Parser of the simulator's settings text (`path=value` lines) into the router's settings.

The simulator names the paths; only this module maps them to the terms of this program. Unknown paths are ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from rookbend import interface as api
from rookbend.simulator_codec import WireError

IDEMPOTENCY_BY_EFFECT = {
    "free": api.Idempotency.IDEMPOTENT,
    "guarded": api.Idempotency.IDEMPOTENCY_KEY,
    "single_shot": api.Idempotency.NOT_IDEMPOTENT,
}
LOAD_REPORT_FIELD_ALIASES = {"outstanding": "inflight"}

Value = TypeVar("Value")


class SettingsText:
    """The values of a settings text by path, converted on demand."""

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        for line in text.splitlines():
            path, separator, value = line.partition("=")
            if separator:
                self._values[path.strip()] = value.strip()

    def get(self, path: str, convert: Callable[[str], Value], default: Value | None = None) -> Value:
        """The value at `path`. Raises `WireError` if it is invalid, or missing without a default."""
        raw = self._values.get(path)
        if raw is None or raw == "":
            if default is None:
                raise WireError(f"missing setting {path}")
            return default
        try:
            return convert(raw)
        except (ValueError, OverflowError):
            raise WireError(f"invalid value of setting {path}") from None


@dataclass(frozen=True, slots=True)
class SettingPath:
    """The path of a field of the router's settings. A field without a default is required."""

    field: str
    path: str
    convert: Callable[[str], Any]
    default: Any = None


def _int(raw: str) -> int:
    return int(float(raw))


def _bool(raw: str) -> bool:
    if raw not in ("true", "false"):
        raise ValueError(raw)
    return raw == "true"


def _list(convert: Callable[[str], Value]) -> Callable[[str], tuple[Value, ...]]:
    return lambda raw: tuple(convert(item) for item in raw.split(","))


def _idempotency(raw: str) -> api.Idempotency:
    if raw not in IDEMPOTENCY_BY_EFFECT:
        raise ValueError(raw)
    return IDEMPOTENCY_BY_EFFECT[raw]


def _is_push(raw: str) -> bool:
    return raw == "push"


def _report_fields(raw: str) -> tuple[str, ...]:
    return tuple(LOAD_REPORT_FIELD_ALIASES.get(name, name) for name in raw.split(","))


# Lists with one value per class; classes beyond the end of a list get the default.
_CLASS_LISTS = (
    SettingPath("freshness_lifetime_us", "familyInfo.classFreshUs", _int, 0),
    SettingPath("stale_grace_us", "familyInfo.graceForUs", _int, 0),
    SettingPath("stale_priority_weight", "familyInfo.classStaleWorth", float, 0.0),
    SettingPath("is_write", "familyInfo.goesThrough", _bool, False),
    SettingPath("has_parts", "familyInfo.inPieces", _bool, False),
)
# Paths of one class, under `lanes.INDEX.`.
_CLASS_PATHS = (
    SettingPath("latency_objective_us", "aimUs", _int),
    SettingPath("deadline_us", "hardLimitUs", _int),
    SettingPath("latency_objective_stretch", "aimStretch", float, 0.0),
    SettingPath("priority_weight", "gain", float, 1.0),
    SettingPath("late_priority_weight", "lateWorth", float, 0.0),
    SettingPath("idempotency", "effect", _idempotency),
    SettingPath("retry_scope", "group", str, "all"),
    SettingPath("idempotency_key_window_us", "repeatWindowUs", _int, 0),
    SettingPath("streaming", "streaming", _bool, False),
)
_ROUTER_PATHS = (
    SettingPath("zone", "zone", _int),
    SettingPath("router_index", "me", _int, 0),
    SettingPath("router_count", "siblings", _int),
    SettingPath("routers_by_zone", "familyInfo.seatsByZone", _list(_int), ()),
    SettingPath("home_parents", "familyInfo.homeHub", _list(_int), ()),
    SettingPath("link_kb_per_s", "familyInfo.inletKbPerS", _list(float), ()),
    SettingPath("parent_kind", "familyInfo.secondTierKind", _int, -1),
    SettingPath("origin_kind", "familyInfo.sourceKind", _int, -1),
    SettingPath("weights", "weights", str, "nominal"),
    SettingPath("pace_kb_per_s", "familyInfo.paceKbPerS", float, 0.0),
    SettingPath("supports_joined_fills", "familyInfo.collapses", _bool, False),
    SettingPath("answer_detail", "familyInfo.detail", str, "none"),
    SettingPath("allows_direct_to_source", "familyInfo.direct", _bool, False),
    SettingPath("sibling_sources", "familyInfo.neighbours", str, "none"),
    SettingPath("purge_grace_us", "familyInfo.purgeGraceUs", _int, 0),
    SettingPath("purge_propagation_us", "familyInfo.purgeTakesUs", _int, 0),
    SettingPath("cold_capacity_ratio", "invariants.startCapacity", float),
    SettingPath("warm_up_us", "invariants.warmUpUs", _int),
    SettingPath("overload_multiple", "invariants.tipMultiple", float),
    SettingPath("overload_window_us", "invariants.fallUs", _int),
    SettingPath("parent_cold_capacity_ratio", "familyInfo.upperColdFrom", float, 1.0),
    SettingPath("parent_warm_up_us", "familyInfo.parentWarmsInUs", _int, 0),
    SettingPath("parent_overload_multiple", "familyInfo.parentFallMultiple", float, 1.0),
    SettingPath("drain_grace_us", "invariants.drainGraceUs", _int, 0),
    SettingPath("membership_poll_interval_us", "invariants.askWithinUs", _int, 0),
    SettingPath("max_attempts", "limits.maxAttempts", _int),
    SettingPath("allows_hedged_requests", "limits.secondCopies", _bool, False),
    SettingPath("allows_cancellation", "limits.cancelling", _bool, False),
    SettingPath("allows_probes", "limits.probes", _bool, False),
    SettingPath("allows_peer_messages", "limits.mayTell", _bool, False),
    SettingPath("allows_retry_after", "limits.retryAfter", _bool, False),
    SettingPath("max_retry_after_us", "limits.maxRetryAfterUs", _int, 0),
    SettingPath("max_requests_in_flight", "limits.maxOpen", _int),
    SettingPath("connect_timeout_us", "limits.connectTimeoutUs", _int),
    SettingPath("membership_is_pushed", "registryMode", _is_push, True),
    SettingPath("load_report_fields", "report.fields", _report_fields, ()),
    SettingPath("clock_tick_us", "quantumUs", _int, 0),
)


def _fields(text: SettingsText, paths: tuple[SettingPath, ...], prefix: str = "") -> dict[str, Any]:
    return {p.field: text.get(prefix + p.path, p.convert, p.default) for p in paths}


def _traffic_class(text: SettingsText, index: int, class_lists: dict[str, tuple[Any, ...]]) -> api.TrafficClass:
    prefix = f"lanes.{index}."
    name = text.get(f"{prefix}name", str, str(index))
    own_fields = _fields(text, _CLASS_PATHS, prefix)
    listed_fields = {}
    for path in _CLASS_LISTS:
        values = class_lists[path.field]
        listed_fields[path.field] = values[index] if index < len(values) else path.default
    return api.TrafficClass(name=name, **own_fields, **listed_fields)


def parse_settings(settings_text: str) -> api.Settings:
    """Parses the settings of a router instance. Raises `WireError` with the first missing or invalid path."""
    text = SettingsText(settings_text)
    class_count = text.get("lanes.count", _int)
    class_lists = {p.field: text.get(p.path, _list(p.convert), ()) for p in _CLASS_LISTS}
    classes = tuple(_traffic_class(text, index, class_lists) for index in range(class_count))
    return api.Settings(classes=classes, **_fields(text, _ROUTER_PATHS))
