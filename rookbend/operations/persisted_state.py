"""The file that a process of a director leaves for the next one: a checksum on one line, JSON on the next.

It is used whole or not at all: a file of another version, of another director, or with one bit wrong is rejected.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

VERSION = 1
MAX_SIZE_BYTES = 1 << 20
CHECKSUM_BYTES = 16


class PersistedStateError(Exception):
    """The file can't be used; the start goes on without it."""


class PersistedState(msgspec.Struct, forbid_unknown_fields=True):
    """The content. `excluded`: members excluded by operators; `included_us`: when others were included again, Unix
    microseconds. The keys in the file are those of its first version."""

    name: str
    version: int = VERSION
    excluded: list[str] = msgspec.field(name="out", default_factory=list)
    included_us: dict[str, int] = msgspec.field(name="back_us", default_factory=dict)


def encode(state: PersistedState) -> bytes:
    """The file's bytes."""
    body = msgspec.json.encode(state)
    return _checksum(body) + b"\n" + body


def decode(data: bytes, name: str) -> PersistedState:
    """The content of a file of the director `name`; PersistedStateError where it can't be used."""
    checksum, _, body = data.partition(b"\n")
    if checksum != _checksum(body):
        raise PersistedStateError("its checksum is wrong")
    try:
        state = msgspec.json.decode(body, type=PersistedState)
    except msgspec.MsgspecError as error:
        raise PersistedStateError(str(error)) from None
    if (state.version, state.name) != (VERSION, name):
        raise PersistedStateError(f"it is of version {state.version} and of {state.name}")
    return state


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()
