"""The operators' settings.

`reader` splits the line-based language into sections and directives, `values` are its kinds of values, `schema` is
what may be set, `sections` what becomes of it; `consistency` checks directives against each other, `parser` does
all of it.
"""

from rookbend.settings.consistency import check_platform_permits
from rookbend.settings.parser import load, parse
from rookbend.settings.reader import SettingsError, SourceLocation
from rookbend.settings.sections import Check, Settings

__all__ = ["Check", "SettingsError", "SourceLocation", "Settings", "check_platform_permits", "load", "parse"]
