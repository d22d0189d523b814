"""The syntax of the operators' settings: lines of words, like the configuration files of many Unix daemons.

    # a comment
    [check agent]               a section: a kind and, for some kinds, a name
        interval   2s           one directive per line: a name and its values
        send       "ask\\n"      a value with spaces or escapes is in double quotes

Indentation has no meaning. `read_sections` yields sections and directives with the line that each came from, so that
every later error can name it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_LINE_CHARS = 4096
FIRST_PRINTABLE = 32
ESCAPES = {"n": "\n", "r": "\r", "t": "\t", '"': '"', "\\": "\\"}


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """A line of a settings file: the file's name as given, and the line number from 1, or 0 for the whole file."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


class SettingsError(Exception):
    """An error in the settings; the message has the form `FILE:LINE: error`."""

    def __init__(self, location: SourceLocation, text: str):
        super().__init__(f"{location}: {text}")
        self.location = location
        self.text = text


@dataclass(slots=True)
class Directive:
    """A line with a name and its values."""

    name: str
    values: list[str]
    location: SourceLocation


@dataclass(slots=True)
class Section:
    """A section; `name` is empty if it has none."""

    kind: str
    name: str
    location: SourceLocation
    directives: list[Directive] = field(default_factory=list)

    @property
    def header(self) -> str:
        """The section's header, as in the file."""
        return f"[{self.kind} {self.name}]" if self.name else f"[{self.kind}]"


def split_words(text: str, location: SourceLocation) -> list[str]:
    """Splits a line into words, up to a comment. Quotes protect spaces and `#`, and may only enclose whole words."""
    found = []
    position = 0
    while position < len(text):
        char = text[position]
        if char.isspace():
            position += 1
        elif char == "#":
            break
        elif char == '"':
            word, position = _quoted_word(text, position + 1, location)
            found.append(word)
        else:
            word, position = _bare_word(text, position, location)
            found.append(word)
    return found


def _is_end_of_word(text: str, position: int) -> bool:
    return position >= len(text) or text[position].isspace() or text[position] == "#"


def _bare_word(text: str, start: int, location: SourceLocation) -> tuple[str, int]:
    """The word that begins at `start`, and the position after it."""
    position = start
    while not _is_end_of_word(text, position):
        if text[position] == '"':
            raise SettingsError(location, "a quote in the middle of a word")
        position += 1
    return text[start:position], position


def _quoted_word(text: str, start: int, location: SourceLocation) -> tuple[str, int]:
    """The word whose opening quote is before `start`, and the position after its closing quote."""
    chars = []
    position = start
    while position < len(text) and text[position] != '"':
        char = text[position]
        if char == "\\":
            position += 1
            escape = text[position : position + 1]
            if escape not in ESCAPES:
                raise SettingsError(location, f"unknown escape: \\{escape}")
            char = ESCAPES[escape]
        chars.append(char)
        position += 1
    if position >= len(text):
        raise SettingsError(location, "a quote is not closed")
    word = "".join(chars)
    if not _is_end_of_word(text, position + 1):
        raise SettingsError(location, f"a space is missing after the quoted word {word!r}")
    return word, position + 1


def _parse_section_header(text: str, location: SourceLocation) -> Section:
    """Parses a section's header: a line that begins with a bracket."""
    head, bracket, rest = text.partition("]")
    if not bracket:
        raise SettingsError(location, "a section's bracket is not closed")
    if split_words(rest, location):
        raise SettingsError(location, "text after a section's closing bracket")
    parts = split_words(head[1:], location)
    if not 1 <= len(parts) <= 2:
        raise SettingsError(location, "a section header must be [KIND] or [KIND NAME]")
    return Section(parts[0], parts[1] if len(parts) == 2 else "", location)


def read_sections(text: str, file: str) -> Iterator[Section]:
    """Yields the sections of a file in order. Raises `SettingsError` at the first line with a syntax error."""
    section: Section | None = None
    for number, line in enumerate(text.splitlines(), 1):
        location = SourceLocation(file, number)
        if len(line) > MAX_LINE_CHARS:
            raise SettingsError(location, f"the line is longer than {MAX_LINE_CHARS} characters")
        if any(ord(char) < FIRST_PRINTABLE and char != "\t" for char in line):
            raise SettingsError(location, "the line contains a control character")
        line = line.strip()
        if line.startswith("["):
            if section is not None:
                yield section
            section = _parse_section_header(line, location)
            continue
        parts = split_words(line, location)
        if not parts:
            continue
        if section is None:
            raise SettingsError(location, f"{parts[0]} is set before the first section")
        section.directives.append(Directive(parts[0], parts[1:], location))
    if section is not None:
        yield section
