"""The file that a process of a director leaves for its successor: a checksum on the first line, JSON on the second.

A file of another format version, of another director, or with a wrong checksum is rejected as a whole.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

VERSION = 1
MAX_SIZE_BYTES = 1 << 20
CHECKSUM_BYTES = 16


class PersistedStateError(Exception):
    """The file can't be used; the start continues without it."""


class PersistedState(msgspec.Struct, forbid_unknown_fields=True):
    """The content of the file. `excluded`: members excluded by operators; `included_us`: when others were included
    again, in Unix microseconds. The keys in the file are those of its first version."""

    name: str
    version: int = VERSION
    excluded: list[str] = msgspec.field(name="out", default_factory=list)
    included_us: dict[str, int] = msgspec.field(name="back_us", default_factory=dict)


def encode(state: PersistedState) -> bytes:
    """Encodes the content of the file."""
    body = msgspec.json.encode(state)
    return _checksum(body) + b"\n" + body


def decode(data: bytes, name: str) -> PersistedState:
    """Decodes a file of the director `name`. Raises PersistedStateError if the file can't be used."""
    checksum, _, body = data.partition(b"\n")
    if checksum != _checksum(body):
        raise PersistedStateError("checksum mismatch")
    try:
        state = msgspec.json.decode(body, type=PersistedState)
    except msgspec.MsgspecError as error:
        raise PersistedStateError(str(error)) from None
    if (state.version, state.name) != (VERSION, name):
        raise PersistedStateError(f"file has version {state.version} and belongs to director {state.name}")
    return state


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()
