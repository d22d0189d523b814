"""Rows of a lease state machine in durable storage: (kind, key, msgpack value).

promise  scope      the newest grant of this voter: (director, incarnation, token)
token    scope      the highest fencing token seen
log      number     an entry of the order log
log      "stands"   the number up to which entries are committed
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from rookbend.coordination.actions import DeleteRow, PersistRow
from rookbend.leases.lease import Holder
from rookbend.leases.voter import PersistedGrant
from rookbend.protocol.lease_messages import Entry

GRANT_KIND = "promise"
TOKEN_KIND = "token"
LOG_KIND = "log"
COMMITTED_KEY = "stands"
ROW_KINDS = (GRANT_KIND, TOKEN_KIND, LOG_KIND)

Row = tuple[str, str, bytes]


@dataclass(slots=True)
class RestoredState:
    """Decoded contents of durable storage; `has_log` is False if storage never held an order log."""

    grants: dict[int, PersistedGrant] = field(default_factory=dict)
    tokens: dict[int, int] = field(default_factory=dict)
    entries: dict[int, Entry] = field(default_factory=dict)
    committed: int = 0
    has_log: bool = False

    @property
    def highest_token(self) -> int:
        """The highest token of all grants and requests seen."""
        return max([*self.tokens.values(), *(grant.token for grant in self.grants.values())], default=0)


def restore(rows: Iterable[Row]) -> RestoredState:
    """Decodes the rows of an earlier process; a row that can't be decoded counts as lost."""
    state = RestoredState()
    for kind, key, value in rows:
        if (kind, key) == (LOG_KIND, COMMITTED_KEY):
            state.has_log = True
        try:
            _restore_row(state, kind, key, value)
        except (msgspec.MsgspecError, ValueError):
            continue
    return state


def _restore_row(state: RestoredState, kind: str, key: str, value: bytes) -> None:
    if kind == GRANT_KIND:
        director, incarnation, token = msgspec.msgpack.decode(value, type=tuple[int, int, int])
        state.grants[int(key)] = PersistedGrant(Holder(director, incarnation), token)
    elif kind == TOKEN_KIND:
        state.tokens[int(key)] = msgspec.msgpack.decode(value, type=int)
    elif kind == LOG_KIND and key == COMMITTED_KEY:
        state.committed = msgspec.msgpack.decode(value, type=int)
    elif kind == LOG_KIND:
        entry = msgspec.msgpack.decode(value, type=Entry)
        state.entries[entry.number] = entry


def grant_row(scope: int, grant: PersistedGrant) -> PersistRow:
    """Returns the row of a grant; the vote for the grant is sent once the row is durable."""
    return PersistRow(GRANT_KIND, str(scope), msgspec.msgpack.encode((*grant.holder, grant.token)), awaited=True)


def token_row(scope: int, token: int) -> PersistRow:
    """Returns the row of the highest token seen for a scope."""
    return PersistRow(TOKEN_KIND, str(scope), msgspec.msgpack.encode(token))


def entry_key(number: int) -> str:
    """Returns the key of an entry's row, zero-padded so that keys sort in numeric order."""
    return f"{number:012d}"


def entry_row(entry: Entry, awaited: bool = False) -> PersistRow:
    """Returns the row of an entry of the order log."""
    return PersistRow(LOG_KIND, entry_key(entry.number), msgspec.msgpack.encode(entry), awaited)


def delete_entry(number: int) -> DeleteRow:
    """Returns the action that deletes the row of an entry."""
    return DeleteRow(LOG_KIND, entry_key(number))


def committed_row(number: int) -> PersistRow:
    """Returns the row of the number up to which entries are committed."""
    return PersistRow(LOG_KIND, COMMITTED_KEY, msgspec.msgpack.encode(number))
