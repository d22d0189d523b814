"""The caches' lines, seen from the director: `do` and `undo` out, answers in."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache

from rookbend.core.model import Attempt, AttemptResult
from rookbend.interface import AttemptDetail, AttemptStatus

LONGEST_LINE = 4096
LONGEST_BODY = 240_000

STATUSES = {
    b"ok": AttemptStatus.OK,
    b"current": AttemptStatus.OK,
    b"nothing": AttemptStatus.MISS,
    b"refused": AttemptStatus.FULL,
    b"error": AttemptStatus.ERROR,
    b"stale": AttemptStatus.MOOT,
}
NOTES = {
    word: AttemptDetail(i + 1)
    for i, word in enumerate(
        (
            b"mem",
            b"parent",
            b"origin",
            b"shared",
            b"old",
            b"denied",
            b"unreached",
            b"absent",
            b"crowded",
            b"behind",
        )
    )
}
ALIASES = {b"utilization": b"util", b"outstanding": b"inflight"}


class LineError(Exception):
    """Bytes that are no answers of a cache: the connection can't go on. `answers` came whole before them."""

    answers: list[CacheAnswer] = []


@dataclass(slots=True)
class CacheAnswer:
    """An answer, the id it is for, and the tag of the copy that it brings or names."""

    request_id: str
    result: AttemptResult
    tag: str = ""

    def result_for(self, known: str) -> AttemptResult:
        """The result for a request whose client holds the copy `known`. An answer that calls another copy
        current, or one that the client does not hold, is an error: passed on, it would confirm bytes that no
        cache has named."""
        if self.result.unchanged and (not known or _bare(self.tag) != _bare(known)):
            return AttemptResult(AttemptStatus.ERROR)
        return self.result


def _bare(tag: str) -> str:
    """A tag as it is compared: without quotes, leading zeros and case."""
    return tag.strip('"').lstrip("0").lower()


def write_do(attempt: Attempt, now_us: int, source: str) -> bytes:
    """The command for an attempt; `source` is the name of the member a miss is filled from, or empty."""
    r = attempt.request
    words = [f"c={r.class_name},k={r.key},p={r.part},w={max(1, (attempt.due_us - now_us) // 1000)}"]
    if source:
        words.append(f"next={source}")
    if attempt.retention_rank:
        words.append(f"admit={attempt.retention_rank}")
    if attempt.max_age_us:
        # An age under a millisecond must not become 0, which would mean the class's fresh time.
        words.append(f"agelim={max(1, attempt.max_age_us // 1000)}")
    ways = [
        name
        for name, on in (
            ("wait-for", attempt.join_fill),
            ("no-fetch", attempt.only_if_cached),
            ("no-keep", attempt.parent_no_store),
            ("background", attempt.refresh_in_background),
        )
        if on
    ]
    if ways:
        words.append("ways=" + "+".join(ways))
    if r.known_version:
        words.append(f"cached={r.known_version}")
    if r.idempotency_key:
        words.append(f"i={r.idempotency_key}")
    return b"do %b %b %d\r\n%b\r\n" % (r.request_id.encode(), ",".join(words).encode(), len(r.body), r.body)


def write_undo(rid: str) -> bytes:
    return b"undo %b\r\n" % rid.encode()


class AnswerParser:
    """Fed a cache's bytes, gives its answers. `report_fields` is the order of the load report's values."""

    def __init__(self, load_report_fields: tuple[str, ...] = ()):
        names = (name.encode() for name in load_report_fields)
        self._fields = tuple(ALIASES.get(name, name) for name in names)
        self._held = bytearray()
        self._head = None  # the answer whose body is awaited, and the body's length

    @property
    def has_partial(self) -> bool:
        """Whether a part of an answer is held."""
        return bool(self._held) or self._head is not None

    def feed(self, data: bytes) -> list[CacheAnswer]:
        answers: list[CacheAnswer] = []
        try:
            self._feed(data, answers)
        except LineError as error:
            # Guards those who were answered in time by bytes that came before the spoilt ones.
            error.answers = answers
            raise
        return answers

    def _feed(self, data: bytes, answers: list[CacheAnswer]) -> None:
        # What is whole is taken from `data` itself: only a part of an answer is ever held, and copied.
        if self._held:
            self._held += data
            data = self._held
        at, size = 0, len(data)
        while True:
            if self._head is None:
                end = data.find(b"\r\n", at)
                if end < 0:
                    if size - at > LONGEST_LINE:
                        raise LineError("an answer's line is too long")
                    break
                self._head = self._read_line(bytes(data[at:end]))
                at = end + 2
            answer, length = self._head
            if size - at < length + 2:
                break
            answer.result.body = self._read_body(data, at, length)
            at += length + 2
            self._head = None
            answers.append(answer)
        if data is not self._held:
            self._held += data[at:]
        elif at:
            del self._held[:at]

    @staticmethod
    def _read_body(data: bytes, at: int, length: int) -> bytes:
        if data[at + length : at + length + 2] != b"\r\n":
            raise LineError("an answer's body does not end where it should")
        if not length:
            return b""
        with memoryview(data) as view:
            return bytes(view[at : at + length])

    def _read_line(self, line: bytes) -> tuple[CacheAnswer, int]:
        try:
            rid, word, fields, size = line.split(b" ")
            length = int(size)
            result, tag = AttemptResult(STATUSES[word]), ""
            if not 0 <= length <= LONGEST_BODY or (length and word != b"ok"):
                raise LineError("an answer's body cannot be that long")
            result.unchanged = word == b"current"
            if fields != b"-":
                for pair in fields.split(b","):
                    name, _, value = pair.partition(b"=")
                    if name == b"note":
                        result.detail = NOTES.get(value, AttemptDetail.NONE)
                    elif name == b"slow":
                        result.fill_queue_us = int(float(value) * 1000)
                    elif name == b"sum":
                        tag = value.decode("ascii")
                    elif name == b"load":
                        result.load_report = read_load(value, self._fields)
            return CacheAnswer(rid.decode("ascii"), result, tag), length
        except (ValueError, KeyError, OverflowError):
            raise LineError(f"no answer: {line[:80]!r}") from None


@lru_cache(maxsize=256)
def read_load(value: bytes, fields: tuple[bytes, ...]) -> tuple[float, ...]:
    """The report in the order of the settings; cut off before the first value that is missing. A member's
    report stays the same for many answers."""
    named, out = {}, []
    for pair in value.split(b";"):
        name, figure = pair.split(b":", 1)
        # Guards against two names for one figure: the settings' own and the short one. Unknown to each
        # other, they had every report of every member thrown away.
        named[ALIASES.get(name, name)] = figure
    for name in fields:
        if name not in named:
            break
        out.append(float(named[name]))
    return tuple(out)
