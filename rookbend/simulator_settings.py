"""The simulator's settings text (`path=value` lines) as the settings of the decision module."""

from __future__ import annotations

from rookbend import interface as api
from rookbend.simulator_codec import WireError

EFFECTS = {
    "free": api.Idempotency.IDEMPOTENT,
    "guarded": api.Idempotency.IDEMPOTENCY_KEY,
    "single_shot": api.Idempotency.NOT_IDEMPOTENT,
}
REPORT_NAMES = {"outstanding": "inflight"}


class _Pairs:
    """path=value lines, typed on demand."""

    def __init__(self, text: str):
        self.pairs = {}
        for line in text.splitlines():
            path, mark, value = line.partition("=")
            if mark:
                self.pairs[path.strip()] = value.strip()

    def get(self, path, convert, default=None):
        raw = self.pairs.get(path)
        if raw is None or raw == "":
            if default is None:
                raise WireError(f"missing setting {path}")
            return default
        try:
            return convert(raw)
        except (ValueError, OverflowError):
            raise WireError(f"setting {path} has no usable value") from None


def _int(raw: str) -> int:
    return int(float(raw))


def _bool(raw: str) -> bool:
    if raw not in ("true", "false"):
        raise ValueError(raw)
    return raw == "true"


def _list(convert):
    return lambda raw: tuple(convert(item) for item in raw.split(","))


def _effect(raw: str) -> api.Idempotency:
    if raw not in EFFECTS:
        raise ValueError(raw)
    return EFFECTS[raw]


def parse_settings(text: str) -> api.Settings:
    """Settings from the first message; unknown keys are skipped, a missing required one is named."""
    get = _Pairs(text).get
    count = get("lanes.count", _int)
    family = {
        name: get(f"familyInfo.{name}", _list(convert), ())
        for name, convert in (
            ("classFreshUs", _int),
            ("graceForUs", _int),
            ("classStaleWorth", float),
            ("goesThrough", _bool),
            ("inPieces", _bool),
        )
    }

    def by_class(name, index, default):
        values = family[name]
        return values[index] if index < len(values) else default

    classes = tuple(
        api.TrafficClass(
            name=get(f"lanes.{i}.name", str, str(i)),
            latency_objective_us=get(f"lanes.{i}.aimUs", _int),
            deadline_us=get(f"lanes.{i}.hardLimitUs", _int),
            latency_objective_stretch=get(f"lanes.{i}.aimStretch", float, 0.0),
            priority_weight=get(f"lanes.{i}.gain", float, 1.0),
            late_priority_weight=get(f"lanes.{i}.lateWorth", float, 0.0),
            idempotency=get(f"lanes.{i}.effect", _effect),
            retry_scope=get(f"lanes.{i}.group", str, "all"),
            idempotency_key_window_us=get(f"lanes.{i}.repeatWindowUs", _int, 0),
            streaming=get(f"lanes.{i}.streaming", _bool, False),
            is_write=by_class("goesThrough", i, False),
            has_parts=by_class("inPieces", i, False),
            freshness_lifetime_us=by_class("classFreshUs", i, 0),
            stale_grace_us=by_class("graceForUs", i, 0),
            stale_priority_weight=by_class("classStaleWorth", i, 0.0),
        )
        for i in range(count)
    )
    return api.Settings(
        classes=classes,
        zone=get("zone", _int),
        router_index=get("me", _int, 0),
        router_count=get("siblings", _int),
        routers_by_zone=get("familyInfo.seatsByZone", _list(_int), ()),
        home_parents=get("familyInfo.homeHub", _list(_int), ()),
        link_kb_per_s=get("familyInfo.inletKbPerS", _list(float), ()),
        parent_kind=get("familyInfo.secondTierKind", _int, -1),
        origin_kind=get("familyInfo.sourceKind", _int, -1),
        weights=get("weights", str, "nominal"),
        pace_kb_per_s=get("familyInfo.paceKbPerS", float, 0.0),
        supports_joined_fills=get("familyInfo.collapses", _bool, False),
        answer_detail=get("familyInfo.detail", str, "none"),
        allows_direct_to_source=get("familyInfo.direct", _bool, False),
        sibling_sources=get("familyInfo.neighbours", str, "none"),
        purge_grace_us=get("familyInfo.purgeGraceUs", _int, 0),
        purge_propagation_us=get("familyInfo.purgeTakesUs", _int, 0),
        cold_capacity_ratio=get("invariants.startCapacity", float),
        warm_up_us=get("invariants.warmUpUs", _int),
        overload_multiple=get("invariants.tipMultiple", float),
        overload_window_us=get("invariants.fallUs", _int),
        parent_cold_capacity_ratio=get("familyInfo.upperColdFrom", float, 1.0),
        parent_warm_up_us=get("familyInfo.parentWarmsInUs", _int, 0),
        parent_overload_multiple=get("familyInfo.parentFallMultiple", float, 1.0),
        drain_grace_us=get("invariants.drainGraceUs", _int, 0),
        membership_poll_interval_us=get("invariants.askWithinUs", _int, 0),
        max_attempts=get("limits.maxAttempts", _int),
        allows_hedged_requests=get("limits.secondCopies", _bool, False),
        allows_cancellation=get("limits.cancelling", _bool, False),
        allows_probes=get("limits.probes", _bool, False),
        allows_peer_messages=get("limits.mayTell", _bool, False),
        allows_retry_after=get("limits.retryAfter", _bool, False),
        max_retry_after_us=get("limits.maxRetryAfterUs", _int, 0),
        max_requests_in_flight=get("limits.maxOpen", _int),
        connect_timeout_us=get("limits.connectTimeoutUs", _int),
        membership_is_pushed=get("registryMode", str, "push") == "push",
        load_report_fields=tuple(REPORT_NAMES.get(name, name) for name in get("report.fields", _list(str), ())),
        clock_tick_us=get("quantumUs", _int, 0),
    )
