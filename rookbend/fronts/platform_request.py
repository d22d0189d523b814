"""Translates a request of the platform's client protocol (docs of the platform) to a request of the engine."""

from __future__ import annotations

from rookbend.core.engine import Engine
from rookbend.core.model import Request
from rookbend.protocol import client_frames as frames
from rookbend.protocol.coordinator_stream import object_number

MAX_BODY_BYTES = 48_000  # of a write; other requests have none
MAX_WORD_CHARS = 256  # of a client's field that is passed on to members unchanged
MAX_TIMEOUT_MS = 3_600_000
MAX_PART = 0xFFFFFF
MAX_GROUP = 255
DEADLINE_MARGIN_US = 10_000  # subtracted from the client's timeout, for the transfer of the answer
DEADLINE_MARGIN_DIVISOR = 4  # the margin is at most this part of the timeout: a quarter
HEX_ID_CHARS = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
WORD_SEPARATORS = frozenset(" ,=")
MAX_SHOWN_CHARS = 40  # of a value in an error message


class MalformedRequestError(ValueError):
    """A request whose fields can't be used; the message names the field and its value."""

    def __init__(self, field: str, value: str, expected: str) -> None:
        super().__init__(f"field {field} is {value[:MAX_SHOWN_CHARS]!r}: {expected} expected")


def read_request(engine: Engine, frame: frames.RequestFrame, waited_us: int = 0) -> Request:
    """The request in a frame that waited for `waited_us` until it was read, its deadline on the engine's clock.

    Raises MalformedRequestError (a ValueError), ValueError or KeyError on fields that can't be used.
    """
    fields, now_us = frame.fields, engine.clock.now()
    if fields is None:
        raise MalformedRequestError("list", "", "a readable field list")
    class_name = fields[frames.TRAFFIC_CLASS_FIELD]
    traffic_class = engine.class_index(class_name)
    if traffic_class is None:
        raise MalformedRequestError(frames.TRAFFIC_CLASS_FIELD, class_name, "a class of the settings")
    timeout_us = _number(fields, frames.TIMEOUT_MS_FIELD, MAX_TIMEOUT_MS) * 1000
    known_version = fields.get(frames.KNOWN_VERSION_FIELD, "")
    if known_version and not (known_version.isascii() and known_version.isalnum()):
        known_version = ""  # not a plain tag: the whole copy is sent
    if len(frame.body) > (MAX_BODY_BYTES if engine.settings.classes[traffic_class].is_write else 0):
        raise MalformedRequestError("body", f"{len(frame.body)} bytes", "a smaller body")
    # The request may have waited unread for an iteration of the event loop, which its client's timeout includes.
    margin_us = min(DEADLINE_MARGIN_US + engine.lag_us, timeout_us // DEADLINE_MARGIN_DIVISOR)
    key = _hex_id(fields, frames.KEY_FIELD)
    return Request(
        request_id=_hex_id(fields, frames.REQUEST_ID_FIELD),
        traffic_class=traffic_class,
        class_name=class_name,
        key=key,
        object_id=object_number(key),
        deadline_us=now_us + timeout_us - margin_us - waited_us,
        part=_number(fields, frames.PART_FIELD, MAX_PART, "0"),
        group=_number(fields, frames.GROUP_FIELD, MAX_GROUP, "0"),
        is_retry=fields.get(frames.IS_RETRY_FIELD) == "1",
        known_version=known_version,
        body=frame.body,
        idempotency_key=_single_word(fields, frames.IDEMPOTENCY_KEY_FIELD),
    )


def _hex_id(fields: dict[str, str], field: str) -> str:
    value = fields[field]
    if len(value) != HEX_ID_CHARS or not HEX_DIGITS.issuperset(value):
        raise MalformedRequestError(field, value, f"{HEX_ID_CHARS} hex digits")
    return value


def _single_word(fields: dict[str, str], field: str) -> str:
    """A value that can be sent to a member unchanged in a line; empty if the field is missing."""
    value = fields.get(field, "")
    if not (value.isascii() and value.isprintable()) or len(value) > MAX_WORD_CHARS or WORD_SEPARATORS & set(value):
        raise MalformedRequestError(field, value, "a single word")
    return value


def _number(fields: dict[str, str], field: str, maximum: int, default: str | None = None) -> int:
    value = fields[field] if default is None else fields.get(field, default)
    if not (value.isascii() and value.isdigit()) or int(value) > maximum:
        raise MalformedRequestError(field, value, f"a number up to {maximum}")
    return int(value)
