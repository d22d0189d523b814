"""HAProxy's agent-check, both sides (HAProxy Configuration Manual, `agent-check`, `agent-send`).

The one who asks connects, sends a text if one is set, and reads one line of ASCII: words between blanks, tabs
or commas, in any order and case, ended by CR, LF or the end of the connection. What a line does not mention
stays as it is. After `#` follows a reason up to the end of the line.

    75%                     weight, percent of the usual
    maxconn:30              connections at most
    ready drain maint       administrative state
    up, down fail stopped   operational state
"""

from __future__ import annotations

import re

from rookbend.core.check_result import AgentReport, CheckOutcome

DOWN = frozenset({"down", "fail", "failed", "stopped"})
ADMIN = frozenset({"ready", "drain", "maint"})
SEPARATORS = re.compile(r"[ \t,]+")
LINE_END = re.compile(rb"[\r\n]")
PERCENT = re.compile(r"(\d{1,9})%")
MAXCONN = re.compile(r"maxconn:(\d{1,9})")
FULL = 100
LONGEST_REASON = 120
LONGEST_ADVICE = 1 << 20


def read_line(line: str) -> AgentReport:
    """The words of one line. Of two on the same matter the later counts; of drain and maint, as of up and
    down, the one that takes away: a line that says both is no reason to send."""
    said, hash_sign, reason = line.partition("#")
    up, admin, weight, most, unknown = None, None, None, None, 0
    for word in SEPARATORS.split(said.strip(" \t,")):
        low = word.lower()
        if not low:
            continue
        if low in DOWN:
            up = False
        elif low == "up":
            up = True if up is None else up
        elif low in ADMIN:
            admin = low if admin is None or ADMIN_RANK[low] > ADMIN_RANK[admin] else admin
        elif match := PERCENT.fullmatch(low):
            weight = min(int(match[1]), FULL)
        elif match := MAXCONN.fullmatch(low):
            most = int(match[1])
        else:
            unknown += 1
    reason = "".join(c if c.isprintable() else " " for c in reason.strip())[:LONGEST_REASON]
    return AgentReport(up, admin, weight, most, reason, unknown)


ADMIN_RANK = {"ready": 0, "drain": 1, "maint": 2}


class AgentAsk:
    """One question to an agent. `result` is Words or (Outcome, reason) once it is known."""

    def __init__(self, send: str, most_bytes: int):
        self._send, self._most = send.encode(), most_bytes
        self._text = b""
        self.result: AgentReport | tuple[CheckOutcome, str] | None = None

    def start(self) -> bytes:
        return self._send

    def feed(self, data: bytes) -> bytes:
        """Takes what came, empty for the end of the connection. Gives what is to be sent: nothing."""
        if self.result is not None:
            return b""
        # Only as much as a line may have is kept: an agent may send without an end.
        self._text += data[: self._most - len(self._text) + 1]
        end = LINE_END.search(self._text)
        if end is not None:
            self._take(self._text[: end.start()])
        elif len(self._text) > self._most:
            self.result = CheckOutcome.BROKEN, f"no end of line in {self._most} bytes"
        elif not data:
            if self._text.strip():
                self._take(self._text, cut=True)
            else:
                self.result = CheckOutcome.BROKEN, "closed without a word"
        return b""

    def _take(self, line: bytes, cut: bool = False) -> None:
        """A line ended by the connection's end alone may have been cut: then every word must be known."""
        text = line.decode("ascii", "replace")
        words = read_line(text)
        if cut and words.unknown:
            self.result = CheckOutcome.BROKEN, "closed in the middle of a line"
        elif words.up is words.admin is words.weight is words.most_connections is None:
            shown = "".join(c if c.isascii() and c.isprintable() else "." for c in text[:40])
            self.result = CheckOutcome.BROKEN, f"nothing to go by in {shown!r}"
        else:
            self.result = words


def write_line(admin: str, up: bool, weight: int, most_connections: int, reason: str = "") -> bytes:
    """The line of an agent of ours. `weight` is percent; `most_connections` 0 leaves it out."""
    words = ["up" if up else "down", admin]
    if up and admin == "ready":
        words.append(f"{weight}%")
        if most_connections:
            words.append(f"maxconn:{min(most_connections, LONGEST_ADVICE)}")
    return (" ".join(words) + (f" #{reason}" if reason else "")).encode("ascii", "replace") + b"\n"
