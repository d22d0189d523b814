"""HAProxy's agent check, both sides (HAProxy Configuration Manual, `agent-check`, `agent-send`).

The client connects, sends a text if one is set, and reads one line of ASCII: words separated by blanks, tabs or
commas, in any order and case, terminated by CR, LF or the end of the connection. A state that the line does not
mention is unchanged. `#` starts a reason, which extends to the end of the line.

    75%                     weight, in percent of the configured weight
    maxconn:30              maximum number of connections
    ready drain maint       administrative state
    up, down fail stopped   operational state
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from rookbend.core.check_result import AgentReport, CheckOutcome, CheckResult

UP = "up"
DOWN_WORDS = frozenset({"down", "fail", "failed", "stopped"})
ADMIN_SEVERITY = {"ready": 0, "drain": 1, "maint": 2}
SEPARATORS = re.compile(r"[ \t,]+")
LINE_END = re.compile(rb"[\r\n]")
WEIGHT = re.compile(r"(\d{1,9})%")
MAX_CONNECTIONS = re.compile(r"maxconn:(\d{1,9})")
MAX_WEIGHT_PERCENT = 100
MAX_REASON_CHARS = 120
MAX_QUOTED_CHARS = 40
MAX_ADVERTISED_CONNECTIONS = 1 << 20


@dataclass(slots=True)
class _LineParser:
    """The fields of `AgentReport` that the words of a line have set so far."""

    up: bool | None = None
    admin: str | None = None
    weight: int | None = None
    max_connections: int | None = None
    unknown: int = 0

    def add(self, word: str) -> None:
        """Applies one word in lower case."""
        if word in DOWN_WORDS:
            self.up = False
        elif word == UP:
            self.up = True if self.up is None else self.up
        elif word in ADMIN_SEVERITY:
            self._add_admin(word)
        elif match := WEIGHT.fullmatch(word):
            self.weight = min(int(match[1]), MAX_WEIGHT_PERCENT)
        elif match := MAX_CONNECTIONS.fullmatch(word):
            self.max_connections = int(match[1])
        else:
            self.unknown += 1

    def _add_admin(self, word: str) -> None:
        if self.admin is None or ADMIN_SEVERITY[word] > ADMIN_SEVERITY[self.admin]:
            self.admin = word


def parse_line(line: str) -> AgentReport:
    """Parses one line without its terminator.

    Of two weights or limits the later applies. Of two states the more restrictive applies, because a contradictory
    line is no reason to send requests.
    """
    words, _, reason = line.partition("#")
    parser = _LineParser()
    for word in SEPARATORS.split(words.strip(" \t,")):
        if word:
            parser.add(word.lower())
    return AgentReport(
        parser.up, parser.admin, parser.weight, parser.max_connections, _printable(reason), parser.unknown
    )


def _printable(reason: str) -> str:
    return "".join(char if char.isprintable() else " " for char in reason.strip())[:MAX_REASON_CHARS]


class AgentCheckClient:
    """One exchange with an agent, without I/O; `result` is set once it is known."""

    def __init__(self, send: str, max_bytes: int):
        """`send` is the text of `agent-send`; a line longer than `max_bytes` is an error."""
        self.result: AgentReport | CheckResult | None = None
        self._send = send.encode()
        self._max_bytes = max_bytes
        self._buffer = b""

    def start(self) -> bytes:
        """Returns the bytes to send first."""
        return self._send

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes, empty at the end of the connection; there are never bytes to send."""
        if self.result is not None:
            return b""
        # An agent may send without end: at most one byte more than the longest line is buffered.
        self._buffer += data[: self._max_bytes - len(self._buffer) + 1]
        end = LINE_END.search(self._buffer)
        if end is not None:
            self.result = _result_of(self._buffer[: end.start()])
        elif len(self._buffer) > self._max_bytes:
            self.result = CheckResult(CheckOutcome.BROKEN, f"no end of line in {self._max_bytes} bytes")
        elif not data:
            self.result = self._result_at_close()
        return b""

    def _result_at_close(self) -> AgentReport | CheckResult:
        if not self._buffer.strip():
            return CheckResult(CheckOutcome.BROKEN, "connection closed without data")
        # A line terminated only by the close may be truncated, so each of its words must be known.
        if parse_line(_decode(self._buffer)).unknown:
            return CheckResult(CheckOutcome.BROKEN, "connection closed in the middle of a line")
        return _result_of(self._buffer)


def _decode(line: bytes) -> str:
    return line.decode("ascii", "replace")


def _result_of(line: bytes) -> AgentReport | CheckResult:
    text = _decode(line)
    report = parse_line(text)
    fields = (report.up, report.admin, report.weight, report.max_connections)
    if all(value is None for value in fields):
        quoted = "".join(char if char.isascii() and char.isprintable() else "." for char in text[:MAX_QUOTED_CHARS])
        return CheckResult(CheckOutcome.BROKEN, f"no known word in {quoted!r}")
    return report


def encode_line(admin: str, up: bool, weight: int, max_connections: int, reason: str = "") -> bytes:
    """The line that this director's own agent sends.

    `weight` is in percent; with `max_connections` 0, the line has no limit.
    """
    words = [UP if up else "down", admin]
    if up and admin == "ready":
        words.append(f"{weight}%")
        if max_connections:
            words.append(f"maxconn:{min(max_connections, MAX_ADVERTISED_CONNECTIONS)}")
    if reason:
        words.append(f"#{reason}")
    return " ".join(words).encode("ascii", "replace") + b"\n"
