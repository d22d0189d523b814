"""The simulator's wire format: frame headers, and decoding of a batch's records as events.

Integers are big-endian. A frame from the simulator is `HEADER` and records, each a code, an instance and fields;
the reply is `REPLY_HEADER` and the records of `simulator_actions`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, TypeVar

from rookbend import interface as api

HEADER = struct.Struct(">QIII")  # now in microseconds, frame size in bytes, count of records, batch number
REPLY_HEADER = struct.Struct(">II")  # frame size in bytes, batch number
MAX_FRAME_BYTES = 1 << 30

_INSTANCE = struct.Struct(">I")
_START_INSTANCE = struct.Struct(">QI")
_MEMBERSHIP = struct.Struct(">BQI")
_MEMBER = struct.Struct(">fIHHBQBH")
_REQUEST = struct.Struct(">IBIQQfffB")
_HEALTH_CHECK = struct.Struct(">IBIHB")
_ATTEMPT_FINISHED = struct.Struct(">IBIHBIBBIB")
_REQUEST_CANCELLED = struct.Struct(">I")
_RESPONSE_STARTED = struct.Struct(">IBIIH")
_PEER_MESSAGE = struct.Struct(">HH")
_TIMER = struct.Struct(">Q")
_PURGE = struct.Struct(">QIH")
_FLOAT_BYTES = 4

# Bits of a request's options.
_RETRY_FLAG = 2
_WRITE_FLAG = 4


class WireError(Exception):
    """A frame or a settings text that violates the wire format."""


@dataclass(frozen=True, slots=True)
class StartInstance:
    """Starts a router instance with a random seed and a settings text."""

    seed: int
    settings_text: str


@dataclass(frozen=True, slots=True)
class StopInstance:
    """Stops a router instance."""


Record = StartInstance | StopInstance | api.Event
EnumValue = TypeVar("EnumValue", bound=IntEnum)


class RecordReader:
    """Reads the fields of a batch in order. Raises `WireError` when a read runs past the end."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._offset = 0

    @property
    def at_end(self) -> bool:
        """Whether all bytes were read."""
        return self._offset >= len(self._data)

    def read_code(self) -> int:
        """The next byte."""
        code = self._data[self._offset]
        self._offset += 1
        return code

    def read(self, layout: struct.Struct) -> tuple[Any, ...]:
        """The next fields, in the given layout."""
        try:
            fields = layout.unpack_from(self._data, self._offset)
        except struct.error:
            raise WireError("record runs past the end of its frame") from None
        self._offset += layout.size
        return fields

    def read_bytes(self, size: int) -> bytes:
        """The next `size` bytes."""
        end = self._offset + size
        if end > len(self._data):
            raise WireError("record runs past the end of its frame")
        data = self._data[self._offset : end]
        self._offset = end
        return data

    def read_floats(self, count: int) -> tuple[float, ...]:
        """The next `count` single-precision floats."""
        return struct.unpack(f">{count}f", self.read_bytes(_FLOAT_BYTES * count))


def server_id(address: int, port: int) -> int:
    """A server's id in the router: its IPv4 address and port as one integer."""
    return address << 16 | port


def _enum_value(enum: type[EnumValue], value: int) -> EnumValue:
    try:
        return enum(value)
    except ValueError:
        raise WireError(f"invalid {enum.__name__}: {value}") from None


def _attempt_detail(value: int) -> api.AttemptDetail:
    """The detail; NONE for a value that is unknown here."""
    known = value in api.AttemptDetail._value2member_map_
    return api.AttemptDetail(value) if known else api.AttemptDetail.NONE


def _read_start_instance(reader: RecordReader) -> StartInstance:
    seed, size = reader.read(_START_INSTANCE)
    try:
        return StartInstance(seed, reader.read_bytes(size).decode("utf-8"))
    except UnicodeDecodeError:
        raise WireError("settings text is not valid UTF-8") from None


def _read_stop_instance(reader: RecordReader) -> StopInstance:
    return StopInstance()


def _read_membership(reader: RecordReader) -> api.MembershipUpdated:
    kind, version, count = reader.read(_MEMBERSHIP)
    data = reader.read_bytes(_MEMBER.size * count)
    members = tuple(
        api.Member(
            server_id(address, port), weight, cell, zone, started_us, _enum_value(api.MemberState, state), member_kind
        )
        for weight, address, port, cell, zone, started_us, state, member_kind in _MEMBER.iter_unpack(data)
    )
    return api.MembershipUpdated(_enum_value(api.MembershipUpdateKind, kind), version, members)


def _read_request(reader: RecordReader) -> api.RequestArrived:
    request, traffic_class, tenant, object_id, deadline_us, size_kb, group, part, options = reader.read(_REQUEST)
    try:
        return api.RequestArrived(
            request,
            traffic_class,
            object_id,
            deadline_us,
            size_kb,
            int(group),
            int(part),
            tenant,
            bool(options & _RETRY_FLAG),
            bool(options & _WRITE_FLAG),
        )
    except (ValueError, OverflowError):
        raise WireError("group or part of a request is not a finite number") from None


def _read_health_check(reader: RecordReader) -> api.HealthCheckFinished:
    elapsed_us, status, address, port, report_size = reader.read(_HEALTH_CHECK)
    return api.HealthCheckFinished(
        server_id(address, port),
        _enum_value(api.AttemptStatus, status),
        elapsed_us,
        reader.read_floats(report_size),
    )


def _read_attempt_finished(reader: RecordReader) -> api.AttemptFinished:
    fields = reader.read(_ATTEMPT_FINISHED)
    request, attempt, address, port, status, elapsed_us, final, detail, fill_queue_us, report_size = fields
    return api.AttemptFinished(
        request,
        attempt,
        server_id(address, port),
        _enum_value(api.AttemptStatus, status),
        elapsed_us,
        bool(final),
        _attempt_detail(detail),
        fill_queue_us,
        reader.read_floats(report_size),
    )


def _read_response_started(reader: RecordReader) -> api.ResponseStarted:
    request, attempt, elapsed_us, address, port = reader.read(_RESPONSE_STARTED)
    return api.ResponseStarted(request, attempt, server_id(address, port), elapsed_us)


def _read_peer_message(reader: RecordReader) -> api.PeerMessageReceived:
    sender, size = reader.read(_PEER_MESSAGE)
    return api.PeerMessageReceived(sender, reader.read_bytes(size))


def _read_purge(reader: RecordReader) -> api.PurgeReceived:
    object_id, age_us, group = reader.read(_PURGE)
    return api.PurgeReceived(object_id, group, age_us)


def _read_timer(reader: RecordReader) -> api.TimerFired:
    return api.TimerFired(*reader.read(_TIMER))


def _read_request_cancelled(reader: RecordReader) -> api.RequestCancelled:
    return api.RequestCancelled(*reader.read(_REQUEST_CANCELLED))


_READERS_BY_CODE: dict[int, Callable[[RecordReader], Record]] = {
    0: _read_attempt_finished,
    1: _read_purge,
    2: _read_start_instance,
    3: _read_stop_instance,
    4: _read_membership,
    5: _read_peer_message,
    6: _read_request,
    7: _read_timer,
    8: _read_response_started,
    9: _read_health_check,
    10: _read_request_cancelled,
}


def read_batch(body: bytes, count: int) -> list[tuple[int, Record]]:
    """Decodes the records of a batch, each with its instance. Raises `WireError` if `body` is not `count` records."""
    reader = RecordReader(body)
    records: list[tuple[int, Record]] = []
    for _ in range(count):
        if reader.at_end:
            raise WireError("frame has fewer records than its header states")
        code = reader.read_code()
        read_record = _READERS_BY_CODE.get(code)
        if read_record is None:
            raise WireError(f"unknown record code {code}")
        (instance,) = reader.read(_INSTANCE)
        records.append((instance, read_record(reader)))
    if not reader.at_end:
        raise WireError("frame has extra bytes after its last record")
    return records
