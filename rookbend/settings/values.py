"""The kinds of values that a directive takes, with the unit where one is required.

Each reader turns one word into a value, or raises `ValueError` with what is wrong with it.
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


def _quantity(word: str, units: dict[str, int], quantity: str) -> int:
    match = NUMBER.fullmatch(word)
    if match is None:
        raise ValueError(f"no {quantity}: {word!r}")
    unit = match[2].lower()
    if unit not in units:
        known = ", ".join(units)
        if not unit:
            raise ValueError(f"a {quantity} needs its unit ({known}): {word!r}")
        raise ValueError(f"{match[2]!r} is no unit of a {quantity} ({known}): {word!r}")
    return int(float(match[1]) * units[unit])


def bounded(
    read: Callable[[str], Number], least: Number, most: Number, show: Callable[[Number], str] = str
) -> Callable[[str], Number]:
    """A reader of the same values that accepts only those from `least` to `most`."""

    def within(word: str) -> Number:
        value = read(word)
        if not least <= value <= most:
            raise ValueError(f"{word} is outside {show(least)} to {show(most)}")
        return value

    return within


def format_duration(us: int) -> str:
    """A time in the largest unit that divides it."""
    for unit, size in reversed(TIME_UNITS.items()):
        if us and us % size == 0:
            return f"{us // size}{unit}"
    return "0s"


def duration(least_us: int = 0, most_us: int = 24 * TIME_UNITS["h"]) -> ValueParser:
    """A time, in microseconds."""
    return bounded(lambda word: _quantity(word, TIME_UNITS, "time"), least_us, most_us, format_duration)


def size(least: int, most: int) -> ValueParser:
    """A size, in bytes."""
    return bounded(lambda word: _quantity(word, SIZE_UNITS, "size"), least, most, lambda size_bytes: f"{size_bytes}b")


def _integer(word: str) -> int:
    if not (word.isascii() and word.isdigit()):
        raise ValueError(f"no whole number: {word!r}")
    return int(word)


def integer(least: int, most: int) -> ValueParser:
    """A whole number."""
    return bounded(_integer, least, most)


def _percentage(word: str) -> float:
    match = NUMBER.fullmatch(word)
    if match is None or match[2] != "%":
        raise ValueError(f"a share is written in percent, as 50%: {word!r}")
    return float(match[1]) / 100


def percentage(least: float = 0.0, most: float = 1.0) -> ValueParser:
    """A share of 1, written in percent."""
    return bounded(_percentage, least, most, lambda value: f"{value * 100:g}%")


def boolean(word: str) -> bool:
    """A switch."""
    if word not in ("yes", "no"):
        raise ValueError(f"yes or no, not {word!r}")
    return word == "yes"


def one_of(*choices: str) -> ValueParser:
    """One of some words."""

    def read(word: str) -> str:
        if word not in choices:
            raise ValueError(f"{word!r} is none of {', '.join(choices)}")
        return word

    return read


def text(least: int = 0, most: int = 1024) -> ValueParser:
    """Text of so many characters."""

    def read(word: str) -> str:
        if not least <= len(word) <= most:
            raise ValueError(f"{least} to {most} characters, not {len(word)}")
        return word

    return read


def address(word: str) -> tuple[str, int]:
    """HOST:PORT, the host an IP address."""
    host, _, port = word.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = _integer(port)
    except ValueError:
        number = -1
    if not 0 <= number <= MAX_PORT:
        raise ValueError(f"no HOST:PORT with a numeric host: {word!r}")
    return host, number


def loopback_address(word: str) -> tuple[str, int]:
    """HOST:PORT on the loopback."""
    host, port = address(word)
    if not ipaddress.ip_address(host).is_loopback:
        raise ValueError(f"only an address of the loopback, not {word!r}: whoever reaches it may give orders")
    return host, port


def status_range(word: str) -> tuple[int, int]:
    """An HTTP status or a range of them, as 204 or 200-299."""
    first, dash, last = word.partition("-")
    lowest = _integer(first)
    highest = _integer(last if dash else first)
    if not MIN_STATUS <= lowest <= highest <= MAX_STATUS:
        raise ValueError(f"no HTTP status or range of them: {word!r}")
    return lowest, highest


@dataclass(frozen=True, slots=True)
class DirectiveSpec:
    """What a directive takes: one value, or with `multiple` several, each read alike."""

    parse: ValueParser
    multiple: bool = False
    required: bool = False
