"""The kinds of rows that are persisted, the identity of a state folder, and the errors on opening one.

A row is (kind, key) -> value, with the Unix microsecond at which it was stored. Each kind has a bound; beyond it the
oldest row of the kind is evicted. Values are plain types encoded as msgpack, so that later versions can read them.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

SCHEMA = 1
ROW_OVERHEAD_BYTES = 64


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of rows, of which at most `max_rows` are kept. `evict_first`: its rows are evicted first if all kinds
    together are too large."""

    name: str
    max_rows: int
    evict_first: bool = False


# rookbend/recovery/state_validity.py has their validity after a power loss.
KINDS = {
    kind.name: kind
    for kind in (
        Kind("order", 4_000),  # operators' orders for this director, and replicated ones of others
        Kind("drain", 10_000),  # members that are draining or gone
        Kind("purge", 4_000),
        Kind("token", 1_000),  # highest fencing tokens seen
        Kind("promise", 1_000),  # votes
        Kind("log", 8_000),  # orders for the whole fleet, and the index up to which they are committed
        Kind("write", 20_000),  # names that the DNS front issued for writes
        Kind("peer", 1_000),  # boot numbers of other directors
        Kind("hint", 2_000, True),
    )
}


@dataclass(frozen=True, slots=True)
class Identity:
    """The director and the fleet to which a state folder belongs."""

    name: str
    fleet: str


@dataclass(frozen=True, slots=True)
class Row:
    """A value, and the Unix microsecond at which it was stored."""

    value: bytes
    stored_us: int

    @property
    def size(self) -> int:
        """Approximate size in bytes."""
        return len(self.value) + ROW_OVERHEAD_BYTES


class StateError(Exception):
    """The state folder can't be used. The message is one line for the operator; the exit status is 2."""


class FolderUnusableError(StateError):
    """The folder or its database can't be opened or written; `reason` is the message of the system or of SQLite."""

    def __init__(self, folder: Path, verb: str, reason: str):
        super().__init__(f"state folder {folder} can't be {verb}: {reason}")
        self.folder = folder
        self.reason = reason


class FolderInUseError(StateError):
    """Another process has the folder open."""

    def __init__(self, folder: Path):
        super().__init__(f"state folder {folder} is in use by another process")
        self.folder = folder


class NewerSchemaError(StateError):
    """A later version wrote the database."""

    def __init__(self, folder: Path, schema: int, newest: int):
        super().__init__(
            f"state folder {folder} has schema {schema}, newer than {newest}, the newest that this version reads"
        )
        self.folder = folder
        self.schema = schema


class ForeignFolderError(StateError):
    """The folder belongs to another director or fleet (`owner`)."""

    def __init__(self, folder: Path, owner: str, found: str, expected: str):
        super().__init__(f"state folder {folder} is of {owner} {found!r}, not {expected!r}")
        self.folder = folder
        self.found = found
