"""The operators' settings from their text. Every error is worded `FILE:LINE: fault`."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

from rookbend.settings.consistency import check_section, check_sections
from rookbend.settings.reader import Directive, Place, Section, SettingsError, read
from rookbend.settings.schema import SECTIONS, SectionSchema
from rookbend.settings.sections import Check, Settings
from rookbend.settings.values import Form

SETTINGS_VARIABLE = "NODE_SETTINGS"


def parse(text: str, file: str) -> Settings:
    """The settings in a file's text. Raises `SettingsError` on the first thing that is wrong."""
    fields: dict[str, Any] = {}
    first_places: dict[tuple[str, str], Place] = {}
    checks: list[Check] = []
    for section in read(text, file):
        schema = _schema_of(section)
        first = first_places.setdefault((section.kind, section.name), section.place)
        if first is not section.place:
            raise SettingsError(section.place, f"{section.title} stands twice, first in line {first.line}")
        struct = _build(section, schema)
        if isinstance(struct, Check):
            checks.append(struct)
        else:
            fields[section.kind.replace("-", "_")] = struct
    settings = Settings(**fields, checks=tuple(checks))
    check_sections(settings)
    return settings


def load(environ: Mapping[str, str], default: Path) -> Settings:
    """The settings in the file that `NODE_SETTINGS` names, else in the default file; all off where there is none.

    Raises:
        SettingsError: the file can't be read, or something in it is wrong.
    """
    named = environ.get(SETTINGS_VARIABLE)
    path = Path(named) if named else default
    if not named and not path.exists():
        return Settings()
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(Place(str(path), 0), f"can't be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise SettingsError(Place(str(path), 0), "is no text in UTF-8") from None
    return parse(text, str(path) if named else default.name)


def _schema_of(section: Section) -> SectionSchema:
    schema = SECTIONS.get(section.kind)
    if schema is None:
        raise SettingsError(section.place, f"no section {section.title}" + _suggestion(section.kind, SECTIONS))
    if bool(section.name) != schema.named:
        raise SettingsError(section.place, f"[{section.kind}] takes " + ("a name" if schema.named else "no name"))
    return schema


def _build(section: Section, schema: SectionSchema) -> object:
    """The section's struct, its directives checked against each other."""
    fields: dict[str, Any] = {}
    places: dict[str, Place] = {}
    for directive in section.directives:
        form = schema.directives.get(directive.name)
        if form is None:
            text = f"{section.title} knows no {directive.name}" + _suggestion(directive.name, schema.directives)
            raise SettingsError(directive.place, text)
        if directive.name in places:
            first_line = places[directive.name].line
            raise SettingsError(directive.place, f"{directive.name} stands twice, first in line {first_line}")
        places[directive.name] = directive.place
        fields[schema.field_of(directive.name)] = _value(directive, form)
    for name, form in schema.directives.items():
        if form.required and name not in places:
            raise SettingsError(section.place, f"{section.title} needs {name}")
    if schema.named:
        fields["name"] = section.name
    if "place" in schema.struct.__struct_fields__:
        fields["place"] = section.place
    struct = schema.struct(**fields)
    check_section(struct, section.place, places)
    return struct


def _value(directive: Directive, form: Form) -> object:
    if not form.many and len(directive.values) != 1:
        raise SettingsError(directive.place, f"{directive.name} takes one value, not {len(directive.values)}")
    if not directive.values:
        raise SettingsError(directive.place, f"{directive.name} needs a value")
    try:
        values = [form.read(word) for word in directive.values]
    except ValueError as error:
        raise SettingsError(directive.place, f"{directive.name}: {error}") from None
    return tuple(values) if form.many else values[0]


def _suggestion(name: str, known: Iterable[str]) -> str:
    import difflib  # only where something is wrong

    matches = difflib.get_close_matches(name, known, 1)
    return f"; {matches[0]} may be meant" if matches else ""
