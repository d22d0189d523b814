"""The text format of a fault timeline, which has the syntax of the operators' settings.

    [failure cache-dies]
        kind    kill
        part    c3 c4                   the targets: names, *, or a percentage, which the seed selects
        at      5s
        for     12s                     the default, 0s, means that the fault never ends
        seed    7

`fault_timeline` describes the kinds and their further directives.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from rookbend.settings import values as v
from rookbend.settings.reader import Directive, Section, SettingsError, read_sections
from rookbend.settings.values import DirectiveSpec
from rookbend.testing.fault_timeline import KINDS, Fault

SECTION_KIND = "failure"
# Directives that apply only to some kinds.
KIND_DIRECTIVES = "share", "by", "says", "reset", "back"
FIELDS_BY_DIRECTIVE = {"part": "targets", "at": "at_us", "for": "duration_us", "by": "by_us"}  # others keep their name
MAX_TIME_US = v.TIME_UNITS["h"]
FORMS = {
    "kind": DirectiveSpec(v.one_of(*KINDS), required=True),
    "part": DirectiveSpec(v.text(1, 255), multiple=True),
    "at": DirectiveSpec(v.duration(0, MAX_TIME_US), required=True),
    "for": DirectiveSpec(v.duration(0, MAX_TIME_US)),
    "seed": DirectiveSpec(v.integer(0, 2**63)),
    "share": DirectiveSpec(v.percentage()),
    "by": DirectiveSpec(v.duration(1_000, MAX_TIME_US)),
    "says": DirectiveSpec(v.text(1)),
    "reset": DirectiveSpec(v.boolean),
    "back": DirectiveSpec(v.boolean),
}


def parse_faults(text: str, file: str) -> tuple[Fault, ...]:
    """Parses the text of a file. Raises `SettingsError` with a message in the wording of the settings parser."""
    faults: dict[str, Fault] = {}
    for section in read_sections(text, file):
        if section.kind != SECTION_KIND or not section.name:
            raise SettingsError(section.location, f"{section.header} is no [failure NAME]")
        if section.name in faults:
            first_line = faults[section.name].place.line
            raise SettingsError(section.location, f"{section.header} stands twice, first in line {first_line}")
        faults[section.name] = _parse_section(section)
    return tuple(faults.values())


def _parse_section(section: Section) -> Fault:
    directives = _directives_by_name(section)
    fields: dict[str, Any] = {"name": section.name, "place": section.location}
    for name, spec in FORMS.items():
        if name in directives:
            fields[FIELDS_BY_DIRECTIVE.get(name, name)] = _parse_directive(directives[name], spec)
        elif spec.required:
            raise SettingsError(section.location, f"{section.header} needs {name}")
    _check_kind_directives(section, fields["kind"], directives)
    return Fault(**fields)


def _directives_by_name(section: Section) -> dict[str, Directive]:
    directives: dict[str, Directive] = {}
    for directive in section.directives:
        if directive.name not in FORMS:
            raise SettingsError(directive.location, f"a failure knows no {directive.name}")
        if directive.name in directives:
            raise SettingsError(directive.location, f"{directive.name} stands twice")
        directives[directive.name] = directive
    return directives


def _parse_directive(directive: Directive, spec: DirectiveSpec) -> Any:
    if not directive.values or (len(directive.values) > 1 and not spec.multiple):
        raise SettingsError(directive.location, f"{directive.name} takes {'values' if spec.multiple else 'one value'}")
    try:
        values = tuple(spec.parse(word) for word in directive.values)
    except ValueError as error:
        raise SettingsError(directive.location, f"{directive.name}: {error}") from None
    return values if spec.multiple else values[0]


def _check_kind_directives(section: Section, kind_name: str, directives: dict[str, Directive]) -> None:
    kind = KINDS[kind_name]
    for name in KIND_DIRECTIVES:
        if name == kind.required and name not in directives:
            raise SettingsError(section.location, f"{kind_name} needs {name}")
        if name in directives and name not in (kind.required, kind.optional):
            raise SettingsError(directives[name].location, f"{name} means nothing to {kind_name}")


def format_faults(faults: Iterable[Fault]) -> str:
    """Returns text that `parse_faults` parses to the same faults; a run prints it so that it can be repeated."""
    lines = []
    for fault in faults:
        lines.append(f"[{SECTION_KIND} {fault.name}]")
        lines += [f"    {name:8}{value}" for name, value in _directives_of(fault)]
    return "\n".join(lines) + "\n"


def _directives_of(fault: Fault) -> list[tuple[str, str]]:
    directives = [
        ("kind", fault.kind),
        ("part", " ".join(fault.targets)),
        ("at", f"{fault.at_us}us"),
        ("for", f"{fault.duration_us}us"),
        ("seed", str(fault.seed)),
    ]
    if fault.share:
        directives.append(("share", f"{fault.share * 100:g}%"))
    if fault.by_us:
        directives.append(("by", f"{fault.by_us}us"))
    if fault.says:
        directives.append(("says", _quote(fault.says)))
    if fault.reset:
        directives.append(("reset", "yes"))
    if fault.back:
        directives.append(("back", "yes"))
    return directives


def _quote(text: str) -> str:
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
