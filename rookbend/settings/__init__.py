"""The operators' settings.

`reader` splits the text into sections and directives, `values` parses the values, `schema` lists the directives of each
section, `sections` has the structs that sections become, `consistency` checks directives against each other, and
`parser` does all of these.
"""

from rookbend.settings.consistency import check_platform_permits
from rookbend.settings.parser import load, parse
from rookbend.settings.reader import SettingsError, SourceLocation
from rookbend.settings.sections import Check, Settings

__all__ = ["Check", "SettingsError", "SourceLocation", "Settings", "check_platform_permits", "load", "parse"]
