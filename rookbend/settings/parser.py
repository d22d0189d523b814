"""Parses the operators' settings. Every error has the form `FILE:LINE: error`."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

from rookbend.settings.consistency import check_section, check_sections
from rookbend.settings.reader import Directive, Section, SettingsError, SourceLocation, read_sections
from rookbend.settings.schema import SECTIONS, SectionSchema
from rookbend.settings.sections import Check, Settings
from rookbend.settings.values import DirectiveSpec

SETTINGS_VARIABLE = "NODE_SETTINGS"


def parse(text: str, file: str) -> Settings:
    """Parses the settings in a file's text. Raises `SettingsError` at the first error."""
    fields: dict[str, Any] = {}
    first_locations: dict[tuple[str, str], SourceLocation] = {}
    checks: list[Check] = []
    for section in read_sections(text, file):
        schema = _schema_of(section)
        first = first_locations.setdefault((section.kind, section.name), section.location)
        if first is not section.location:
            raise SettingsError(section.location, f"{section.header} is defined twice, first in line {first.line}")
        struct = _build(section, schema)
        if isinstance(struct, Check):
            checks.append(struct)
        else:
            fields[section.kind.replace("-", "_")] = struct
    settings = Settings(**fields, checks=tuple(checks))
    check_sections(settings)
    return settings


def load(environ: Mapping[str, str], default: Path) -> Settings:
    """Loads the settings from the file that `NODE_SETTINGS` names, else from the default file.

    Without a default file every optional component is disabled.

    Raises:
        SettingsError: the file can't be read, or has an error.
    """
    named = environ.get(SETTINGS_VARIABLE)
    path = Path(named) if named else default
    if not named and not path.exists():
        return Settings()
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(SourceLocation(str(path), 0), f"can't be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise SettingsError(SourceLocation(str(path), 0), "is not UTF-8 text") from None
    return parse(text, str(path) if named else default.name)


def _schema_of(section: Section) -> SectionSchema:
    schema = SECTIONS.get(section.kind)
    if schema is None:
        raise SettingsError(section.location, f"unknown section {section.header}" + _suggestion(section.kind, SECTIONS))
    if bool(section.name) != schema.named:
        raise SettingsError(section.location, f"[{section.kind}] takes " + ("a name" if schema.named else "no name"))
    return schema


def _build(section: Section, schema: SectionSchema) -> object:
    """Builds the section's struct and checks its directives against each other."""
    fields: dict[str, Any] = {}
    locations: dict[str, SourceLocation] = {}
    for directive in section.directives:
        spec = schema.directives.get(directive.name)
        if spec is None:
            text = f"{section.header} has no directive {directive.name}" + _suggestion(
                directive.name, schema.directives
            )
            raise SettingsError(directive.location, text)
        if directive.name in locations:
            first_line = locations[directive.name].line
            raise SettingsError(directive.location, f"{directive.name} is set twice, first in line {first_line}")
        locations[directive.name] = directive.location
        fields[schema.field_of(directive.name)] = _value(directive, spec)
    for name, spec in schema.directives.items():
        if spec.required and name not in locations:
            raise SettingsError(section.location, f"{section.header} needs {name}")
    if schema.named:
        fields["name"] = section.name
    if "location" in schema.struct.__struct_fields__:
        fields["location"] = section.location
    struct = schema.struct(**fields)
    check_section(struct, section.location, locations)
    return struct


def _value(directive: Directive, spec: DirectiveSpec) -> object:
    if not spec.multiple and len(directive.values) != 1:
        raise SettingsError(directive.location, f"{directive.name} takes one value, not {len(directive.values)}")
    if not directive.values:
        raise SettingsError(directive.location, f"{directive.name} needs a value")
    try:
        values = [spec.parse(word) for word in directive.values]
    except ValueError as error:
        raise SettingsError(directive.location, f"{directive.name}: {error}") from None
    return tuple(values) if spec.multiple else values[0]


def _suggestion(name: str, known: Iterable[str]) -> str:
    import difflib  # here, since only error messages need it

    matches = difflib.get_close_matches(name, known, 1)
    return f"; did you mean {matches[0]}?" if matches else ""
