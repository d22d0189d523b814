"""Purges that this director holds: received from the coordinator, restored from disk, or replicated by peers."""

from __future__ import annotations

from rookbend.coordination.action_queue import ActionQueue
from rookbend.coordination.actions import PersistRow
from rookbend.core.model import Purge
from rookbend.recovery.actions import Action, ApplyPurge
from rookbend.recovery.replicated_rows import PURGE, ReplicatedRows, decode_value, encode_value

PROPAGATION_MARGIN = 1.15  # as in the router: purges apply for this multiple of the configured propagation time
OBJECT, GROUP = "o", "g"


class MalformedPurgeKeyError(ValueError):
    """A key that names neither an object nor a group."""

    def __init__(self, key: str):
        super().__init__(f"purge key names neither an object nor a group: {key!r}")
        self.key = key


def purge_key(purge: Purge) -> str:
    """The key of the row: "o OBJECT" with the object id in hexadecimal, or "g GROUP"."""
    return f"{GROUP} {purge.group}" if purge.object_id is None else f"{OBJECT} {purge.object_id:x}"


def parse_purge(key: str, unix_ms: int) -> Purge:
    """Decodes the purge of a row. Raises MalformedPurgeKeyError."""
    scope, _, number = key.partition(" ")
    try:
        if scope == OBJECT:
            return Purge(int(number, 16), 0, unix_ms * 1000)
        return Purge(None, int(number), unix_ms * 1000)
    except ValueError:
        raise MalformedPurgeKeyError(key) from None


def _parse_peers_purge(key: str, unix_ms: int) -> Purge:
    """As `parse_purge`, but also rejects unknown scopes and negative numbers."""
    purge = parse_purge(key, unix_ms)
    number = purge.group if purge.object_id is None else purge.object_id
    if key.partition(" ")[0] not in (OBJECT, GROUP) or number < 0:
        raise MalformedPurgeKeyError(key)
    return purge


class PurgeReplication:
    """The rows of purges; `propagation_us` is the configured time that a purge needs to reach all caches."""

    def __init__(self, propagation_us: int, rows: ReplicatedRows[int], actions: ActionQueue[Action]):
        self.propagation_us = propagation_us
        self._rows = rows
        self._actions = actions

    @property
    def valid_us(self) -> int:
        """How long a purge applies, in microseconds."""
        return int(PROPAGATION_MARGIN * self.propagation_us)

    def restore(self, key: str) -> None:
        """Applies a purge from disk, whose row is stored already."""
        unix_ms = self._rows.get(key)
        assert unix_ms is not None
        self._actions.append(ApplyPurge(parse_purge(key, unix_ms)))

    def receive(self, purge: Purge) -> None:
        """Persists a purge from the coordinator's stream, which the director has applied already."""
        key = purge_key(purge)
        data = encode_value(purge.unix_us // 1000)
        if self._rows.put(key, data):
            self._actions.append(PersistRow(PURGE.name, key, data))

    def add_peers_purge(self, now: int, key: str, data: bytes) -> None:
        """Persists and applies a peer's purge if it is recent and newer. Raises MalformedPurgeKeyError."""
        unix_ms = decode_value(PURGE, data)
        assert unix_ms is not None
        purge = _parse_peers_purge(key, unix_ms)
        is_recent = now - unix_ms * 1000 <= PROPAGATION_MARGIN * self.propagation_us
        if is_recent and self._rows.put(key, data):
            self._actions.append(PersistRow(PURGE.name, key, data))
            self._actions.append(ApplyPurge(purge))
