"""The lexical form of the operators' settings: lines of words, in the manner of classic daemons.

    # a comment
    [check agent]               a section: a kind and, for some kinds, a name
        interval   2s           one directive a line: a name and its values
        send       "ask\\n"      a value with blanks or escapes stands in double quotes

Indentation has no meaning. `read` yields sections and directives with the line each came from, so that every later
error can name it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_LINE_CHARS = 4096
FIRST_PRINTABLE = 32
ESCAPES = {"n": "\n", "r": "\r", "t": "\t", '"': '"', "\\": "\\"}


@dataclass(frozen=True, slots=True)
class Place:
    """A place in the settings: a file as it was named, and a line, from 1."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


class SettingsError(Exception):
    """One thing that is wrong, worded `FILE:LINE: fault`."""

    def __init__(self, place: Place, text: str):
        super().__init__(f"{place}: {text}")
        self.place = place
        self.text = text


@dataclass(slots=True)
class Directive:
    """A line with a name and its values."""

    name: str
    values: list[str]
    place: Place


@dataclass(slots=True)
class Section:
    """A section; `name` is empty where it has none."""

    kind: str
    name: str
    place: Place
    directives: list[Directive] = field(default_factory=list)

    @property
    def title(self) -> str:
        """The section's head, as in the file."""
        return f"[{self.kind} {self.name}]" if self.name else f"[{self.kind}]"


def words(text: str, place: Place) -> list[str]:
    """The words of a line up to a comment; quotes keep blanks and `#`, and may only enclose whole words."""
    found = []
    position = 0
    while position < len(text):
        char = text[position]
        if char.isspace():
            position += 1
        elif char == "#":
            break
        elif char == '"':
            word, position = _quoted_word(text, position + 1, place)
            found.append(word)
        else:
            word, position = _bare_word(text, position, place)
            found.append(word)
    return found


def _is_end_of_word(text: str, position: int) -> bool:
    return position >= len(text) or text[position].isspace() or text[position] == "#"


def _bare_word(text: str, start: int, place: Place) -> tuple[str, int]:
    """The word that begins at `start`, and the position behind it."""
    position = start
    while not _is_end_of_word(text, position):
        if text[position] == '"':
            raise SettingsError(place, "a quote stands in the middle of a word")
        position += 1
    return text[start:position], position


def _quoted_word(text: str, start: int, place: Place) -> tuple[str, int]:
    """The word whose opening quote is before `start`, and the position behind its closing quote."""
    chars = []
    position = start
    while position < len(text) and text[position] != '"':
        char = text[position]
        if char == "\\":
            position += 1
            escape = text[position : position + 1]
            if escape not in ESCAPES:
                raise SettingsError(place, f"no escape: \\{escape}")
            char = ESCAPES[escape]
        chars.append(char)
        position += 1
    if position >= len(text):
        raise SettingsError(place, "a quote is not closed")
    word = "".join(chars)
    if not _is_end_of_word(text, position + 1):
        raise SettingsError(place, f"a blank is missing behind the quoted {word!r}")
    return word, position + 1


def _section(text: str, place: Place) -> Section:
    """The section that a line with a bracket opens."""
    head, bracket, rest = text.partition("]")
    if not bracket:
        raise SettingsError(place, "a section's bracket is not closed")
    if words(rest, place):
        raise SettingsError(place, "something stands behind a section's bracket")
    parts = words(head[1:], place)
    if not 1 <= len(parts) <= 2:
        raise SettingsError(place, "a section is [KIND] or [KIND NAME]")
    return Section(parts[0], parts[1] if len(parts) == 2 else "", place)


def read(text: str, file: str) -> Iterator[Section]:
    """The sections of a file, in their order. Raises `SettingsError` on the first line that can't be read."""
    section: Section | None = None
    for number, line in enumerate(text.splitlines(), 1):
        place = Place(file, number)
        if len(line) > MAX_LINE_CHARS:
            raise SettingsError(place, f"a line is longer than {MAX_LINE_CHARS} characters")
        if any(ord(char) < FIRST_PRINTABLE and char != "\t" for char in line):
            raise SettingsError(place, "a control character")
        line = line.strip()
        if line.startswith("["):
            if section is not None:
                yield section
            section = _section(line, place)
            continue
        parts = words(line, place)
        if not parts:
            continue
        if section is None:
            raise SettingsError(place, f"{parts[0]} stands before the first section")
        section.directives.append(Directive(parts[0], parts[1:], place))
    if section is not None:
        yield section
