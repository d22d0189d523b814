"""Parsers for the values of directives. Times and sizes need a unit.

Each parser converts one word to a value, or raises `ValueError` with a description of the error.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

TIME_UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZE_UNITS = {"b": 1, "kb": 1 << 10, "mb": 1 << 20, "gb": 1 << 30}
MAX_PORT = 65_535
MIN_STATUS = 100
MAX_STATUS = 599
NUMBER = re.compile(r"(\d+(?:\.\d+)?)([a-zA-Z%]*)")

ValueParser = Callable[[str], Any]
Number = TypeVar("Number", int, float)


def _parse_quantity(word: str, units: dict[str, int], quantity: str) -> int:
    match = NUMBER.fullmatch(word)
    if match is None:
        raise ValueError(f"not a {quantity}: {word!r}")
    unit = match[2].lower()
    if unit not in units:
        known = ", ".join(units)
        if not unit:
            raise ValueError(f"a {quantity} needs its unit ({known}): {word!r}")
        raise ValueError(f"{match[2]!r} is not a unit of a {quantity} ({known}): {word!r}")
    return int(float(match[1]) * units[unit])


def bounded(
    parse: Callable[[str], Number], minimum: Number, maximum: Number, format_value: Callable[[Number], str] = str
) -> Callable[[str], Number]:
    """A parser of the same values that accepts only those from `minimum` to `maximum`."""

    def parse_bounded(word: str) -> Number:
        value = parse(word)
        if not minimum <= value <= maximum:
            raise ValueError(f"{word} is outside {format_value(minimum)} to {format_value(maximum)}")
        return value

    return parse_bounded


def format_duration(us: int) -> str:
    """Formats a time in microseconds in the largest unit that divides it."""
    for unit, size in reversed(TIME_UNITS.items()):
        if us and us % size == 0:
            return f"{us // size}{unit}"
    return "0s"


def duration(minimum_us: int = 0, maximum_us: int = 24 * TIME_UNITS["h"]) -> ValueParser:
    """A time, in microseconds."""
    return bounded(lambda word: _parse_quantity(word, TIME_UNITS, "time"), minimum_us, maximum_us, format_duration)


def size(minimum: int, maximum: int) -> ValueParser:
    """A size, in bytes."""
    return bounded(
        lambda word: _parse_quantity(word, SIZE_UNITS, "size"), minimum, maximum, lambda size_bytes: f"{size_bytes}b"
    )


def _parse_integer(word: str) -> int:
    if not (word.isascii() and word.isdigit()):
        raise ValueError(f"not a whole number: {word!r}")
    return int(word)


def integer(minimum: int, maximum: int) -> ValueParser:
    """A whole number."""
    return bounded(_parse_integer, minimum, maximum)


def _parse_percentage(word: str) -> float:
    match = NUMBER.fullmatch(word)
    if match is None or match[2] != "%":
        raise ValueError(f"not a percentage, such as 50%: {word!r}")
    return float(match[1]) / 100


def percentage(minimum: float = 0.0, maximum: float = 1.0) -> ValueParser:
    """A fraction of 1, written in percent."""
    return bounded(_parse_percentage, minimum, maximum, lambda value: f"{value * 100:g}%")


def boolean(word: str) -> bool:
    """True for yes, False for no."""
    if word not in ("yes", "no"):
        raise ValueError(f"yes or no expected, not {word!r}")
    return word == "yes"


def one_of(*choices: str) -> ValueParser:
    """One of the words in `choices`."""

    def parse(word: str) -> str:
        if word not in choices:
            raise ValueError(f"{word!r} is none of {', '.join(choices)}")
        return word

    return parse


def text(minimum: int = 0, maximum: int = 1024) -> ValueParser:
    """Text of `minimum` to `maximum` characters."""

    def parse(word: str) -> str:
        if not minimum <= len(word) <= maximum:
            raise ValueError(f"{minimum} to {maximum} characters expected, not {len(word)}")
        return word

    return parse


def address(word: str) -> tuple[str, int]:
    """HOST:PORT, the host an IP address."""
    host, _, port = word.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = _parse_integer(port)
    except ValueError:
        number = -1
    if not 0 <= number <= MAX_PORT:
        raise ValueError(f"no HOST:PORT with a numeric host: {word!r}")
    return host, number


def loopback_address(word: str) -> tuple[str, int]:
    """HOST:PORT with a loopback address."""
    host, port = address(word)
    if not ipaddress.ip_address(host).is_loopback:
        raise ValueError(f"a loopback address is required, not {word!r}: every client of this listener may give orders")
    return host, port


def status_range(word: str) -> tuple[int, int]:
    """An HTTP status or a range of them, as 204 or 200-299."""
    first, dash, last = word.partition("-")
    lowest = _parse_integer(first)
    highest = _parse_integer(last if dash else first)
    if not MIN_STATUS <= lowest <= highest <= MAX_STATUS:
        raise ValueError(f"not an HTTP status or a range of them: {word!r}")
    return lowest, highest


@dataclass(frozen=True, slots=True)
class DirectiveSpec:
    """The values that a directive takes: one, or with `multiple` several, each parsed by `parse`."""

    parse: ValueParser
    multiple: bool = False
    required: bool = False
