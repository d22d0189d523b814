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


def _note(value: int) -> api.AttemptDetail:
    return api.AttemptDetail(value) if value in api.AttemptDetail._value2member_map_ else api.AttemptDetail.NONE


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
    return api.MembershipUpdated(_enum(api.MembershipUpdateKind, mode), version, members)


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
    return api.HealthCheckFinished(server_id(host, port), _enum(api.AttemptStatus, status), elapsed, r.floats(count))


def _read_done(r: Reader):
    request, attempt, host, port, status, elapsed, final, note, waited, count = r.take(DONE)
    return api.AttemptFinished(
        request,
        attempt,
        server_id(host, port),
        _enum(api.AttemptStatus, status),
        elapsed,
        bool(final),
        _note(note),
        waited,
        r.floats(count),
    )


def _read_first(r: Reader):
    request, attempt, elapsed, host, port = r.take(ACK_FIRST)
    return api.ResponseStarted(request, attempt, server_id(host, port), elapsed)


def _read_peer(r: Reader):
    sender, size = r.take(PEER_DATA)
    return api.PeerMessageReceived(sender, r.blob(size))


def _read_outdated(r: Reader):
    item, age, group = r.take(OUTDATED)
    return api.PurgeReceived(item, group, age)


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
        how = a.join_fill | a.only_if_cached << 1 | a.parent_no_store << 2 | a.refresh_in_background << 3
        return (
            struct.pack(">BII", 8, instance, a.request)
            + _server(a.server)
            + struct.pack(">I", _u32(a.timeout_us))
            + _server(a.source)
            + struct.pack(">BIB", a.retention_rank, _u32(a.max_age_us), how)
        )
    if kind is api.FetchCached:
        return struct.pack(">BII", 5, instance, a.request) + _server(a.server) + struct.pack(">I", _u32(a.timeout_us))
    if kind is api.SetTimer:
        return struct.pack(">BIIQ", 11, instance, _u32(a.delay_us), a.token)
    if kind is api.Fail:
        return struct.pack(">BII", 2, instance, a.request)
    if kind is api.Reject:
        return struct.pack(">BIII", 7, instance, a.request, _u32(a.retry_after_us))
    if kind is api.CancelAttempt:
        return struct.pack(">BIIB", 9, instance, a.request, a.attempt)
    if kind is api.StartHealthCheck:
        return struct.pack(">BI", 12, instance) + _server(a.server)
    if kind is api.CloseIdleConnections:
        return struct.pack(">BI", 3, instance) + _server(a.server)
    if kind is api.ReloadMembership:
        return struct.pack(">BI", 10, instance)
    if kind is api.SubscribeMembership:
        return struct.pack(">BIB", 0, instance, a.on)
    if kind is api.SendPeerMessage:
        peer = EVERY_PEER if a.peer is None else a.peer
        return struct.pack(">BIHH", 6, instance, peer, len(a.data)) + a.data
    if kind is api.WriteLog:
        return struct.pack(">BI", 1, instance) + _text(a.text)
    if kind is api.InternalError:
        return struct.pack(">BI", 4, instance) + _text(a.text)
    raise TypeError(f"no action: {a!r}")
