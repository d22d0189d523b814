"""A request of the platform's client protocol (docs of the platform): its fields to a request of the core."""

from __future__ import annotations

from rookbend.core.engine import Engine
from rookbend.core.model import Request
from rookbend.protocol import client_frames as frames
from rookbend.protocol.coordinator_stream import object_number

MAX_BODY_BYTES = 48_000  # of a write; other requests have none
MAX_TOKEN_CHARS = 256  # of a client's field that goes on to members as it is
MAX_TIMEOUT_MS = 3_600_000
MAX_PART = 0xFFFFFF
MAX_GROUP = 255
DEADLINE_MARGIN_US = 10_000  # held back of the client's timeout, for the way to the client
DEADLINE_MARGIN_DIVISOR = 4  # and at most this part of it
HEX_ID_CHARS = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
TOKEN_SEPARATORS = frozenset(" ,=")
SHOWN_CHARS = 40


class MalformedRequestError(ValueError):
    """A request whose fields can't be used; the message names the field and its value."""

    def __init__(self, field: str, value: str, expected: str) -> None:
        super().__init__(f"field {field} is {value[:SHOWN_CHARS]!r}: {expected} expected")


def read_request(engine: Engine, frame: frames.RequestFrame) -> Request:
    """The request in a frame, its deadline on the engine's clock.

    Raises MalformedRequestError (a ValueError), ValueError or KeyError on fields that can't be used.
    """
    fields, now_us = frame.fields, engine.clock.now()
    if fields is None:
        raise MalformedRequestError("list", "", "a readable one")
    class_name = fields[frames.TRAFFIC_CLASS_FIELD]
    traffic_class = engine.class_index(class_name)
    if traffic_class is None:
        raise MalformedRequestError(frames.TRAFFIC_CLASS_FIELD, class_name, "a class of the settings")
    timeout_us = _number(fields, frames.TIMEOUT_MS_FIELD, MAX_TIMEOUT_MS) * 1000
    known_version = fields.get(frames.KNOWN_VERSION_FIELD, "")
    if known_version and not (known_version.isascii() and known_version.isalnum()):
        known_version = ""  # not a bare tag: the copy is sent whole
    if len(frame.body) > (MAX_BODY_BYTES if engine.settings.classes[traffic_class].is_write else 0):
        raise MalformedRequestError("body", f"{len(frame.body)} bytes", "less")
    # The request may have waited unread for a turn of the loop, and its client counts that too.
    margin_us = min(DEADLINE_MARGIN_US + engine.lag_us, timeout_us // DEADLINE_MARGIN_DIVISOR)
    key = _hex_id(fields, frames.KEY_FIELD)
    return Request(
        request_id=_hex_id(fields, frames.REQUEST_ID_FIELD),
        traffic_class=traffic_class,
        class_name=class_name,
        key=key,
        object_id=object_number(key),
        deadline_us=now_us + timeout_us - margin_us,
        part=_number(fields, frames.PART_FIELD, MAX_PART, "0"),
        group=_number(fields, frames.GROUP_FIELD, MAX_GROUP, "0"),
        is_retry=fields.get(frames.IS_RETRY_FIELD) == "1",
        known_version=known_version,
        body=frame.body,
        idempotency_key=_token(fields, frames.IDEMPOTENCY_KEY_FIELD),
    )


def _hex_id(fields: dict[str, str], field: str) -> str:
    value = fields[field]
    if len(value) != HEX_ID_CHARS or not HEX_DIGITS.issuperset(value):
        raise MalformedRequestError(field, value, f"{HEX_ID_CHARS} hex digits")
    return value


def _token(fields: dict[str, str], field: str) -> str:
    """A value that can stand in a member's line as it is; empty where the field is missing."""
    value = fields.get(field, "")
    if not (value.isascii() and value.isprintable()) or len(value) > MAX_TOKEN_CHARS or TOKEN_SEPARATORS & set(value):
        raise MalformedRequestError(field, value, "a single word")
    return value


def _number(fields: dict[str, str], field: str, most: int, default: str | None = None) -> int:
    value = fields[field] if default is None else fields.get(field, default)
    if not (value.isascii() and value.isdigit()) or int(value) > most:
        raise MalformedRequestError(field, value, f"a number up to {most}")
    return int(value)
