"""Checks directives of the operators' settings against each other, other sections and the platform's settings."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from rookbend.settings.reader import SettingsError, SourceLocation
from rookbend.settings.sections import Check, Dns, Health, Ownership, Recovery, Settings
from rookbend.settings.values import format_duration

CHECK_TYPES_BY_DIRECTIVE = {
    "send": ("agent",),
    "method": ("http",),
    "path": ("http",),
    "host": ("http",),
    "expect-status": ("http",),
    "expect-body": ("http",),
    "service": ("grpc", "grpc-watch"),
}
FIRST_PRINTABLE = 33
LAST_PRINTABLE = 126
MIN_STALE_INTERVALS = 2
MIN_LEASE_ROUND_TRIPS = 3


class Conflict(NamedTuple):
    """A directive that conflicts with others, and how."""

    directive: str
    text: str


def check_section(section: object, section_location: SourceLocation, locations: dict[str, SourceLocation]) -> None:
    """Checks a section's directives against each other; `locations` has those of the directives in the file.

    Raises:
        SettingsError: the first conflict.
    """
    for conflict in _conflicts(section, locations):
        location = locations.get(conflict.directive, section_location)
        raise SettingsError(location, f"{conflict.directive}: {conflict.text}")


def _conflicts(section: object, locations: dict[str, SourceLocation]) -> Iterator[Conflict]:
    if isinstance(section, Check):
        yield from _check_conflicts(section, locations)
    elif isinstance(section, Health):
        yield from _health_conflicts(section)
    elif isinstance(section, Recovery):
        yield from _recovery_conflicts(section)
    elif isinstance(section, Ownership):
        yield from _ownership_conflicts(section)
    elif isinstance(section, Dns) and "{id}" not in section.box_name:
        yield Conflict("box-name", "needs {id}, which stands for a member's name in the membership")


def _check_conflicts(check: Check, locations: dict[str, SourceLocation]) -> Iterator[Conflict]:
    for name, types in CHECK_TYPES_BY_DIRECTIVE.items():
        if name in locations and check.type not in types:
            yield Conflict(name, f"only for checks of type {' or '.join(types)}, not {check.type}")
    if check.type == "tcp" and not check.port and "port" in locations:
        yield Conflict("port", "0 stands for the port in the membership, which is the default")
    yield from _check_time_conflicts(check)
    for name, value in (("path", check.path), ("host", check.host)):
        # These values are written into requests, where a space or a line break would split one request into two.
        if not all(FIRST_PRINTABLE <= ord(char) <= LAST_PRINTABLE for char in value):
            yield Conflict(name, "only printable ASCII without spaces is allowed")


def _check_time_conflicts(check: Check) -> Iterator[Conflict]:
    if check.answer_by_us > check.interval_us:
        answer_by = format_duration(check.answer_by_us)
        interval = format_duration(check.interval_us)
        yield Conflict("answer-by", f"{answer_by} is longer than the interval of {interval}: checks would overlap")
    if check.fast_us > check.interval_us:
        yield Conflict("fast", f"{format_duration(check.fast_us)} is longer than the interval")
    if check.stale_us < MIN_STALE_INTERVALS * check.interval_us:
        stale = format_duration(check.stale_us)
        yield Conflict("stale", f"{stale} is less than two intervals: a single late answer would make the result stale")


def _health_conflicts(health: Health) -> Iterator[Conflict]:
    if health.hold_us > health.hold_most_us:
        yield Conflict("hold", f"{format_duration(health.hold_us)} is longer than hold-most")


def _recovery_conflicts(recovery: Recovery) -> Iterator[Conflict]:
    if recovery.full_rate < recovery.first_rate:
        yield Conflict("full-rate", f"{recovery.full_rate} is less than first-rate, {recovery.first_rate}")
    if recovery.full_by_us < recovery.ready_by_us:
        yield Conflict("full-by", f"{format_duration(recovery.full_by_us)} is shorter than ready-by")


def _ownership_conflicts(ownership: Ownership) -> Iterator[Conflict]:
    voters = len(set(ownership.voters))
    if ownership.voters and voters % 2 == 0:
        yield Conflict("voters", f"{voters} is an even number: one voter less tolerates as many failures")
    uncertainty_us = ownership.round_trip_us + ownership.drift * ownership.lease_us
    if ownership.lease_us < MIN_LEASE_ROUND_TRIPS * uncertainty_us:
        yield Conflict(
            "lease",
            f"{format_duration(ownership.lease_us)} is less than three times the round trip of "
            f"{format_duration(ownership.round_trip_us)} and the drift of {ownership.drift:.0%}",
        )
    if ownership.report_ledger is not None and ownership.report_file:
        yield Conflict("report-file", "not together with report-ledger")


def check_sections(settings: Settings) -> None:
    """Checks which sections need others. Raises `SettingsError`."""
    if settings.ownership is not None and (settings.recovery is None or not settings.recovery.peers):
        raise SettingsError(settings.ownership.location, "[ownership] needs [recovery] with peers")
    if settings.checks and settings.health is None:
        raise SettingsError(settings.checks[0].location, "a check needs the section [health]")


def check_platform_permits(settings: Settings, probes: bool, peers: bool = False, directors: int = 0) -> None:
    """Checks that the platform's settings permit what the operators' settings enable. Raises `SettingsError`.

    `probes` and `peers` are whether the platform permits probes of members and datagrams between directors;
    `directors` is the number of directors. Where the platform forbids probes, no check can be enabled by mistake.
    """
    if settings.checks and not probes:
        check = settings.checks[0]
        raise SettingsError(
            check.location, f"[check {check.name}] probes members, which the platform's settings forbid"
        )
    if settings.recovery is not None and settings.recovery.peers and not peers:
        text = (
            "[recovery] exchanges datagrams with other directors, which the platform's settings don't permit or don't "
            "list; `peers no` turns that off"
        )
        raise SettingsError(settings.recovery.location, text)
    ownership = settings.ownership
    if ownership is not None and any(voter >= directors for voter in ownership.voters):
        text = f"[ownership] voters: {max(ownership.voters)} is not an index in peers, whose number is {directors}"
        raise SettingsError(ownership.location, text)
