"""The simulator's wire format: encoding of actions as records.

A record is a code, the instance that acts, and the action's fields; integers are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

from rookbend import interface as api

EVERY_PEER = 0xFFFF  # peer index of a message to all peers
_MAX_U32 = 0xFFFFFFFF
_MAX_TEXT_BYTES = 0xFFFF
_SERVER_BYTES = 6  # IPv4 address and port


def _server(server: int) -> bytes:
    return server.to_bytes(_SERVER_BYTES, "big")


def _clamp_u32(value: int) -> int:
    return min(max(int(value), 0), _MAX_U32)


def _text(text: str) -> bytes:
    data = text.encode("utf-8")[:_MAX_TEXT_BYTES]
    return struct.pack(">H", len(data)) + data


def _write_fetch(instance: int, action: api.Fetch) -> bytes:
    options = (
        action.join_fill | action.only_if_cached << 1 | action.parent_no_store << 2 | action.refresh_in_background << 3
    )
    return (
        struct.pack(">BII", 8, instance, action.request)
        + _server(action.server)
        + struct.pack(">I", _clamp_u32(action.timeout_us))
        + _server(action.source)
        + struct.pack(">BIB", action.retention_rank, _clamp_u32(action.max_age_us), options)
    )


def _write_fetch_cached(instance: int, action: api.FetchCached) -> bytes:
    return (
        struct.pack(">BII", 5, instance, action.request)
        + _server(action.server)
        + struct.pack(">I", _clamp_u32(action.timeout_us))
    )


def _write_set_timer(instance: int, action: api.SetTimer) -> bytes:
    return struct.pack(">BIIQ", 11, instance, _clamp_u32(action.delay_us), action.token)


def _write_fail(instance: int, action: api.Fail) -> bytes:
    return struct.pack(">BII", 2, instance, action.request)


def _write_reject(instance: int, action: api.Reject) -> bytes:
    return struct.pack(">BIII", 7, instance, action.request, _clamp_u32(action.retry_after_us))


def _write_cancel_attempt(instance: int, action: api.CancelAttempt) -> bytes:
    return struct.pack(">BIIB", 9, instance, action.request, action.attempt)


def _write_start_health_check(instance: int, action: api.StartHealthCheck) -> bytes:
    return struct.pack(">BI", 12, instance) + _server(action.server)


def _write_close_idle_connections(instance: int, action: api.CloseIdleConnections) -> bytes:
    return struct.pack(">BI", 3, instance) + _server(action.server)


def _write_reload_membership(instance: int, action: api.ReloadMembership) -> bytes:
    return struct.pack(">BI", 10, instance)


def _write_subscribe_membership(instance: int, action: api.SubscribeMembership) -> bytes:
    return struct.pack(">BIB", 0, instance, action.on)


def _write_send_peer_message(instance: int, action: api.SendPeerMessage) -> bytes:
    peer = EVERY_PEER if action.peer is None else action.peer
    return struct.pack(">BIHH", 6, instance, peer, len(action.data)) + action.data


def _write_log(instance: int, action: api.WriteLog) -> bytes:
    return struct.pack(">BI", 1, instance) + _text(action.text)


def _write_internal_error(instance: int, action: api.InternalError) -> bytes:
    return struct.pack(">BI", 4, instance) + _text(action.text)


_WRITERS_BY_TYPE: dict[type, Callable[[int, Any], bytes]] = {
    api.Fetch: _write_fetch,
    api.FetchCached: _write_fetch_cached,
    api.SetTimer: _write_set_timer,
    api.Fail: _write_fail,
    api.Reject: _write_reject,
    api.CancelAttempt: _write_cancel_attempt,
    api.StartHealthCheck: _write_start_health_check,
    api.CloseIdleConnections: _write_close_idle_connections,
    api.ReloadMembership: _write_reload_membership,
    api.SubscribeMembership: _write_subscribe_membership,
    api.SendPeerMessage: _write_send_peer_message,
    api.WriteLog: _write_log,
    api.InternalError: _write_internal_error,
}


def write_action(instance: int, action: api.Action) -> bytes:
    """Encodes an action as a record. Raises `TypeError` for any other object."""
    write = _WRITERS_BY_TYPE.get(type(action))
    if write is None:
        raise TypeError(f"not an action: {action!r}")
    return write(instance, action)
