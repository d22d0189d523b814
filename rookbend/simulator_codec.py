"""The simulator's wire: frames to events, actions to frames, settings text to Settings."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from rookbend import interface as api

HEADER = struct.Struct(">QIII")
REPLY_HEADER = struct.Struct(">II")
ENTRY = struct.Struct(">fIHHBQBH")
INSTANCE = struct.Struct(">I")
ATTACH = struct.Struct(">QI")
TOPOLOGY = struct.Struct(">BQI")
KNOCK = struct.Struct(">IBIQQfffB")
PROBE_RESULT = struct.Struct(">IBIHB")
DONE = struct.Struct(">IBIHBIBBIB")
CANCELLED = struct.Struct(">I")
ACK_FIRST = struct.Struct(">IBIIH")
PEER_DATA = struct.Struct(">HH")
TICK_DUE = struct.Struct(">Q")
OUTDATED = struct.Struct(">QIH")

EVERY_PEER = 0xFFFF
MAX_FRAME = 1 << 30
U32 = 0xFFFFFFFF


class WireError(Exception):
    """A frame or a settings text that does not follow the wire."""


@dataclass(frozen=True, slots=True)
class Attach:
    seed: int
    info: str


@dataclass(frozen=True, slots=True)
class Retire:
    pass


def server_id(address: int, port: int) -> int:
    return address << 16 | port


class Reader:
    """Reads the records of one batch; every overrun is a WireError."""

    def __init__(self, data: bytes):
        self.data = data
        self.at = 0

    def take(self, layout: struct.Struct) -> tuple:
        try:
            fields = layout.unpack_from(self.data, self.at)
        except struct.error:
            raise WireError("a record runs past the end of its frame") from None
        self.at += layout.size
        return fields

    def blob(self, size: int) -> bytes:
        end = self.at + size
        if end > len(self.data):
            raise WireError("a record runs past the end of its frame")
        piece = self.data[self.at : end]
        self.at = end
        return piece

    def floats(self, count: int) -> tuple[float, ...]:
        return struct.unpack(f">{count}f", self.blob(4 * count))


def _enum(kind, value):
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"{value} is no {kind.__name__}") from None


def _note(value: int) -> api.Note:
    return api.Note(value) if value in api.Note._value2member_map_ else api.Note.NONE


def _read_attach(r: Reader):
    seed, size = r.take(ATTACH)
    try:
        return Attach(seed, r.blob(size).decode("utf-8"))
    except UnicodeDecodeError:
        raise WireError("the settings are not UTF-8") from None


def _read_topology(r: Reader):
    mode, version, count = r.take(TOPOLOGY)
    body = r.blob(ENTRY.size * count)
    members = tuple(
        api.Member(server_id(host, port), share, cell, zone, since, _enum(api.MemberState, state), kind)
        for share, host, port, cell, zone, since, state, kind in ENTRY.iter_unpack(body)
    )
    return api.MembersChanged(_enum(api.ListKind, mode), version, members)


def _read_knock(r: Reader):
    request, qos, tenant, item, deadline, size, group, part, options = r.take(KNOCK)
    try:
        return api.RequestArrived(
            request,
            qos,
            item,
            deadline,
            size,
            int(group),
            int(part),
            tenant,
            bool(options & 2),
            bool(options & 4),
        )
    except (ValueError, OverflowError):
        raise WireError("a request's group or part is no number") from None


def _read_probe(r: Reader):
    elapsed, status, host, port, count = r.take(PROBE_RESULT)
    return api.ProbeFinished(server_id(host, port), _enum(api.Status, status), elapsed, r.floats(count))


def _read_done(r: Reader):
    request, attempt, host, port, status, elapsed, final, note, waited, count = r.take(DONE)
    return api.AttemptFinished(
        request,
        attempt,
        server_id(host, port),
        _enum(api.Status, status),
        elapsed,
        bool(final),
        _note(note),
        waited,
        r.floats(count),
    )


def _read_first(r: Reader):
    request, attempt, elapsed, host, port = r.take(ACK_FIRST)
    return api.AnswerStarted(request, attempt, server_id(host, port), elapsed)


def _read_peer(r: Reader):
    sender, size = r.take(PEER_DATA)
    return api.PeerMessage(sender, r.blob(size))


def _read_outdated(r: Reader):
    item, age, group = r.take(OUTDATED)
    return api.Purged(item, group, age)


READERS = {
    0: _read_done,
    1: _read_outdated,
    2: _read_attach,
    3: lambda r: Retire(),
    4: _read_topology,
    5: _read_peer,
    6: _read_knock,
    7: lambda r: api.TimerFired(*r.take(TICK_DUE)),
    8: _read_first,
    9: _read_probe,
    10: lambda r: api.RequestCancelled(*r.take(CANCELLED)),
}


def read_batch(body: bytes, count: int) -> list[tuple[int, object]]:
    """The records of a batch, each with its instance."""
    r = Reader(body)
    events = []
    for _ in range(count):
        if r.at >= len(body):
            raise WireError("a frame holds fewer records than it says")
        code = body[r.at]
        reader = READERS.get(code)
        if reader is None:
            raise WireError(f"unknown record code {code}")
        r.at += 1
        (instance,) = r.take(INSTANCE)
        events.append((instance, reader(r)))
    if r.at != len(body):
        raise WireError("a frame holds more bytes than its records")
    return events


def _server(server: int) -> bytes:
    return server.to_bytes(6, "big")


def _u32(value: int) -> int:
    return min(max(int(value), 0), U32)


def _text(text: str) -> bytes:
    data = text.encode("utf-8")[:0xFFFF]
    return struct.pack(">H", len(data)) + data


def write_action(instance: int, a) -> bytes:
    """One action as the bytes of its record."""
    kind = type(a)
    if kind is api.Fetch:
        how = a.join | a.only_if_held << 1 | a.parent_keeps_none << 2 | a.renew << 3
        return (
            struct.pack(">BII", 8, instance, a.request)
            + _server(a.server)
            + struct.pack(">I", _u32(a.timeout_us))
            + _server(a.source)
            + struct.pack(">BIB", a.keep, _u32(a.max_age_us), how)
        )
    if kind is api.Lookup:
        return struct.pack(">BII", 5, instance, a.request) + _server(a.server) + struct.pack(">I", _u32(a.timeout_us))
    if kind is api.SetTimer:
        return struct.pack(">BIIQ", 11, instance, _u32(a.delay_us), a.token)
    if kind is api.Fail:
        return struct.pack(">BII", 2, instance, a.request)
    if kind is api.Refuse:
        return struct.pack(">BIII", 7, instance, a.request, _u32(a.retry_after_us))
    if kind is api.CancelAttempt:
        return struct.pack(">BIIB", 9, instance, a.request, a.attempt)
    if kind is api.Probe:
        return struct.pack(">BI", 12, instance) + _server(a.server)
    if kind is api.CloseIdle:
        return struct.pack(">BI", 3, instance) + _server(a.server)
    if kind is api.ReloadMembers:
        return struct.pack(">BI", 10, instance)
    if kind is api.WatchMembers:
        return struct.pack(">BIB", 0, instance, a.on)
    if kind is api.SendPeer:
        peer = EVERY_PEER if a.peer is None else a.peer
        return struct.pack(">BIHH", 6, instance, peer, len(a.data)) + a.data
    if kind is api.LogLine:
        return struct.pack(">BI", 1, instance) + _text(a.text)
    if kind is api.Fault:
        return struct.pack(">BI", 4, instance) + _text(a.text)
    raise TypeError(f"no action: {a!r}")


# Settings

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
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


def _effect(raw: str) -> api.Effect:
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
            aim_us=get(f"lanes.{i}.aimUs", _int),
            deadline_us=get(f"lanes.{i}.hardLimitUs", _int),
            aim_stretch=get(f"lanes.{i}.aimStretch", float, 0.0),
            worth=get(f"lanes.{i}.gain", float, 1.0),
            late_worth=get(f"lanes.{i}.lateWorth", float, 0.0),
            effect=get(f"lanes.{i}.effect", _effect),
            group=get(f"lanes.{i}.group", str, "all"),
            repeat_window_us=get(f"lanes.{i}.repeatWindowUs", _int, 0),
            streaming=get(f"lanes.{i}.streaming", _bool, False),
            write=by_class("goesThrough", i, False),
            parts=by_class("inPieces", i, False),
            fresh_us=by_class("classFreshUs", i, 0),
            grace_us=by_class("graceForUs", i, 0),
            stale_worth=by_class("classStaleWorth", i, 0.0),
        )
        for i in range(count)
    )
    return api.Settings(
        classes=classes,
        zone=get("zone", _int),
        router_index=get("me", _int, 0),
        router_count=get("siblings", _int),
        routers_by_zone=get("familyInfo.seatsByZone", _list(_int), ()),
        home_hub=get("familyInfo.homeHub", _list(_int), ()),
        link_kb_per_s=get("familyInfo.inletKbPerS", _list(float), ()),
        parent_kind=get("familyInfo.secondTierKind", _int, -1),
        origin_kind=get("familyInfo.sourceKind", _int, -1),
        weights=get("weights", str, "nominal"),
        pace_kb_per_s=get("familyInfo.paceKbPerS", float, 0.0),
        joins=get("familyInfo.collapses", _bool, False),
        detail=get("familyInfo.detail", str, "none"),
        direct=get("familyInfo.direct", _bool, False),
        sibling_sources=get("familyInfo.neighbours", str, "none"),
        purge_grace_us=get("familyInfo.purgeGraceUs", _int, 0),
        purge_takes_us=get("familyInfo.purgeTakesUs", _int, 0),
        cold_share=get("invariants.startCapacity", float),
        warm_up_us=get("invariants.warmUpUs", _int),
        fall_multiple=get("invariants.tipMultiple", float),
        fall_us=get("invariants.fallUs", _int),
        parent_cold_share=get("familyInfo.upperColdFrom", float, 1.0),
        parent_warm_up_us=get("familyInfo.parentWarmsInUs", _int, 0),
        parent_fall_multiple=get("familyInfo.parentFallMultiple", float, 1.0),
        drain_grace_us=get("invariants.drainGraceUs", _int, 0),
        ask_within_us=get("invariants.askWithinUs", _int, 0),
        max_attempts=get("limits.maxAttempts", _int),
        second_copies=get("limits.secondCopies", _bool, False),
        cancelling=get("limits.cancelling", _bool, False),
        probes=get("limits.probes", _bool, False),
        peers=get("limits.mayTell", _bool, False),
        retry_after=get("limits.retryAfter", _bool, False),
        max_retry_after_us=get("limits.maxRetryAfterUs", _int, 0),
        max_open=get("limits.maxOpen", _int),
        connect_timeout_us=get("limits.connectTimeoutUs", _int),
        list_is_pushed=get("registryMode", str, "push") == "push",
        report_fields=tuple(REPORT_NAMES.get(name, name) for name in get("report.fields", _list(str), ())),
        tick_us=get("quantumUs", _int, 0),
    )
