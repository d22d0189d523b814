"""The line protocol of the platform's caches (docs of the platform), as the director uses it.

    command   do ID PARAMETERS SIZE CRLF BODY CRLF
    cancel    undo ID CRLF
    answer    ID STATUS FIELDS SIZE CRLF BODY CRLF

Parameters and fields are NAME=VALUE pairs separated by commas, or `-` for none. Parameters of a command:

    c, k, p   class, key and part of the object
    w         time left, milliseconds
    next      the member that a miss is filled from
    admit     retention rank
    agelim    maximum age of a copy, milliseconds
    ways      flags, separated by `+`
    cached    version of the client's copy
    i         idempotency key

Fields of an answer: `note`, how it was produced; `slow`, the time in the fill queue in milliseconds; `sum`, the version
of the copy; `load`, the load report.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

from rookbend.core.model import Attempt, AttemptResult
from rookbend.interface import AttemptDetail, AttemptStatus
from rookbend.protocol.errors import ProtocolError

MAX_LINE_BYTES = 4096
MAX_BODY_BYTES = 240_000
MAX_QUOTED_BYTES = 80

# The caches' statuses, with the attempt statuses that they map to.
OK_STATUS = b"ok"
NOT_MODIFIED_STATUS = b"current"
STATUSES = {
    OK_STATUS: AttemptStatus.OK,
    NOT_MODIFIED_STATUS: AttemptStatus.OK,
    b"nothing": AttemptStatus.MISS,
    b"refused": AttemptStatus.FULL,
    b"error": AttemptStatus.ERROR,
    b"stale": AttemptStatus.MOOT,
}
DETAILS = {
    b"mem": AttemptDetail.HIT,
    b"parent": AttemptDetail.FILLED,
    b"origin": AttemptDetail.ORIGIN_ASKED,
    b"shared": AttemptDetail.JOINED,
    b"old": AttemptDetail.STALE,
    b"denied": AttemptDetail.SOURCE_REFUSED,
    b"unreached": AttemptDetail.SOURCE_UNREACHABLE,
    b"absent": AttemptDetail.SOURCE_LACKS,
    b"crowded": AttemptDetail.NO_FILL_PLACE,
    b"behind": AttemptDetail.ORIGIN_FAILED,
}
# Values of a load report that have two names: the settings' name and the short one.
LOAD_VALUE_ALIASES = {b"utilization": b"util", b"outstanding": b"inflight"}
# Flags of a command.
JOIN_FILL = "wait-for"
ONLY_IF_CACHED = "no-fetch"
PARENT_NO_STORE = "no-keep"
REFRESH_IN_BACKGROUND = "background"


class LineError(ProtocolError):
    """Malformed bytes from a cache: the connection can't be used further. `answers` were complete before them."""

    answers: Sequence[CacheAnswer] = ()


@dataclass(slots=True)
class CacheAnswer:
    """An answer, the id of its request, and the version of the copy that it contains or names."""

    request_id: str
    result: AttemptResult
    version: str = ""

    def result_for(self, known_version: str) -> AttemptResult:
        """The result for a request whose client has the copy `known_version`.

        A not-modified answer that names another copy, or to a client that has none, is an error: forwarded,
        it would confirm a copy that no cache has named.
        """
        if self.result.unchanged and (
            not known_version or _normalized_version(self.version) != _normalized_version(known_version)
        ):
            return AttemptResult(AttemptStatus.ERROR)
        return self.result


def _normalized_version(version: str) -> str:
    """The version without quotes and leading zeros, in lower case."""
    return version.strip('"').lstrip("0").lower()


def write_command(attempt: Attempt, now_us: int, source: str) -> bytes:
    """The command for an attempt; `source` is the name of the member a miss is filled from, or empty."""
    request = attempt.request
    timeout_ms = max(1, (attempt.due_us - now_us) // 1000)
    parameters = [f"c={request.class_name},k={request.key},p={request.part},w={timeout_ms}"]
    if source:
        parameters.append(f"next={source}")
    if attempt.retention_rank:
        parameters.append(f"admit={attempt.retention_rank}")
    if attempt.max_age_us:
        # An age below a millisecond must not become 0, which means the class's freshness lifetime.
        parameters.append(f"agelim={max(1, attempt.max_age_us // 1000)}")
    flags = [
        name
        for name, is_set in (
            (JOIN_FILL, attempt.join_fill),
            (ONLY_IF_CACHED, attempt.only_if_cached),
            (PARENT_NO_STORE, attempt.parent_no_store),
            (REFRESH_IN_BACKGROUND, attempt.refresh_in_background),
        )
        if is_set
    ]
    if flags:
        parameters.append("ways=" + "+".join(flags))
    if request.known_version:
        parameters.append(f"cached={request.known_version}")
    if request.idempotency_key:
        parameters.append(f"i={request.idempotency_key}")
    body = request.body
    return b"do %b %b %d\r\n%b\r\n" % (request.request_id.encode(), ",".join(parameters).encode(), len(body), body)


def write_cancel(request_id: str) -> bytes:
    """The command that cancels a request that no client waits for any more."""
    return b"undo %b\r\n" % request_id.encode()


class AnswerParser:
    """Parses a cache's bytes into answers. `load_report_fields` is the order of a load report's values."""

    def __init__(self, load_report_fields: tuple[str, ...] = ()) -> None:
        names = (name.encode() for name in load_report_fields)
        self._load_report_fields = tuple(LOAD_VALUE_ALIASES.get(name, name) for name in names)
        self._buffer = bytearray()
        self._partial: CacheAnswer | None = None  # the answer whose line was read and whose body is incomplete
        self._body_size = 0  # size of that body

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete answer was received."""
        return bool(self._buffer) or self._partial is not None

    def feed(self, data: bytes) -> list[CacheAnswer]:
        """Returns the answers that are now complete. Raises LineError, whose `answers` are still valid."""
        answers: list[CacheAnswer] = []
        try:
            self._feed(data, answers)
        except LineError as error:
            # Answers that were complete before the malformed bytes must still reach their requests.
            error.answers = answers
            raise
        return answers

    def _feed(self, received: bytes, answers: list[CacheAnswer]) -> None:
        # Complete answers are parsed from the received bytes: only an incomplete one is buffered, and thus copied.
        data: bytes | bytearray = received
        if self._buffer:
            self._buffer += received
            data = self._buffer
        offset, size = 0, len(data)
        while True:
            if self._partial is None:
                line_end = data.find(b"\r\n", offset)
                if line_end < 0:
                    if size - offset > MAX_LINE_BYTES:
                        raise LineError(f"answer line longer than {MAX_LINE_BYTES} bytes")
                    break
                self._partial = self._read_line(bytes(data[offset:line_end]))
                offset = line_end + 2
            body_size = self._body_size
            if size - offset < body_size + 2:
                break
            self._partial.result.body = self._read_body(data, offset, body_size)
            offset += body_size + 2
            answers.append(self._partial)
            self._partial = None
        if data is not self._buffer:
            self._buffer += data[offset:]
        elif offset:
            del self._buffer[:offset]

    @staticmethod
    def _read_body(data: bytes | bytearray, offset: int, size: int) -> bytes:
        if data[offset + size : offset + size + 2] != b"\r\n":
            raise LineError(f"answer body not terminated after {size} bytes")
        if not size:
            return b""
        with memoryview(data) as view:
            return bytes(view[offset : offset + size])

    def _read_line(self, line: bytes) -> CacheAnswer:
        """Parses the line that starts an answer; the size of the answer's body goes to `_body_size`."""
        try:
            request_id, status, fields, size = line.split(b" ")
            body_size = self._body_size = int(size)
            result, version = AttemptResult(STATUSES[status]), ""
            if not 0 <= body_size <= MAX_BODY_BYTES or (body_size and status != OK_STATUS):
                raise LineError(f"invalid body size {body_size} in answer line {line[:MAX_QUOTED_BYTES]!r}")
            result.unchanged = status == NOT_MODIFIED_STATUS
            if fields != b"-":
                for pair in fields.split(b","):
                    name, _, value = pair.partition(b"=")
                    if name == b"note":
                        result.detail = DETAILS.get(value, AttemptDetail.NONE)
                    elif name == b"slow":
                        result.fill_queue_us = int(float(value) * 1000)
                    elif name == b"sum":
                        version = value.decode("ascii")
                    elif name == b"load":
                        result.load_report = read_load_report(value, self._load_report_fields)
            return CacheAnswer(request_id.decode("ascii"), result, version)
        except (ValueError, KeyError, OverflowError):
            raise LineError(f"malformed answer line {line[:MAX_QUOTED_BYTES]!r}") from None


@lru_cache(maxsize=256)
def read_load_report(value: bytes, fields: tuple[bytes, ...]) -> tuple[float, ...]:
    """The report's values in the order of `fields`, up to the first that is missing. Cached, because a member sends
    the same report in many answers.

    Raises ValueError on a value that is not a number.
    """
    values_by_name: dict[bytes, bytes] = {}
    for pair in value.split(b";"):
        name, text = pair.split(b":", 1)
        # A value may have the settings' name or the short one. Without this mapping, every report of every member
        # was discarded.
        values_by_name[LOAD_VALUE_ALIASES.get(name, name)] = text
    values: list[float] = []
    for name in fields:
        if name not in values_by_name:
            break
        values.append(float(values_by_name[name]))
    return tuple(values)
