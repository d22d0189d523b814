"""What a process of a director leaves for the next one, as a file: one line of JSON under one line of its
checksum. Whole or not at all: a file of another version, of another director, or with one bit wrong is none.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

VERSION = 1
LONGEST = 1 << 20


class KeptError(Exception):
    """The file can't be used; the start goes on without it."""


class Kept(msgspec.Struct, forbid_unknown_fields=True):
    """`out`: members left out by hand; `back_us`: when others came back, Unix microseconds."""

    name: str
    version: int = VERSION
    out: list[str] = []
    back_us: dict[str, int] = {}


def _sum(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).hexdigest().encode()


def write(kept: Kept) -> bytes:
    """What is persisted, as bytes."""
    body = msgspec.json.encode(kept)
    return _sum(body) + b"\n" + body


def read(data: bytes, name: str) -> Kept:
    """What the bytes hold. `name` tells where they are from, for the error."""
    total, _, body = data.partition(b"\n")
    if total != _sum(body):
        raise KeptError("its checksum is wrong")
    try:
        kept = msgspec.json.decode(body, type=Kept)
    except msgspec.MsgspecError as error:
        raise KeptError(str(error)) from None
    if (kept.version, kept.name) != (VERSION, name):
        raise KeptError(f"it is of version {kept.version} and of {kept.name}")
    return kept
