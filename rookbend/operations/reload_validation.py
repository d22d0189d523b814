"""Settings that change while a director serves: whether a file is whole, and what of it takes effect.

A reload is all or nothing. A file is whole if it can be read as the types say, if its values can be meant
(config.check), and if it names every key that the start's did: a key with a default of ours, left out by a
file that was cut or written by half, would else change what the director does without a word.

The decision module is not built anew: it is told the new settings and keeps what it has learned (who holds
what, who fails, what was sent to cold members). Its classes keep their numbers: one that vanishes stays in
its place as gone, one that comes is added behind, so a request under way is never looked up under another.
"""

from __future__ import annotations

from dataclasses import fields, replace

from rookbend.interface import Settings

Shape = dict[str, "Shape"] | None

# What members, rows and peers are known by: other values would need the list to be read anew.
AT_START = "zone", "router_index", "parent_kind", "origin_kind", "list_is_pushed"
OPEN = frozenset({"known"})  # events, worded as they come


def shape(value) -> Shape:
    """The keys of a decoded file; of a list of objects, those that all of them have (under "*")."""
    if isinstance(value, dict):
        return {key: None if key in OPEN else shape(v) for key, v in value.items()}
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        shapes = [shape(v) for v in value]
        return {"*": {key: s for key, s in shapes[0].items() if all(key in other for other in shapes)}}
    return None


def missing(wanted: Shape, value, path: str = "") -> str:
    """The path of the first key that the value lacks, or nothing."""
    if not wanted:
        return ""
    if "*" in wanted:
        rows = value if isinstance(value, list) else []
        return next((m for i, row in enumerate(rows) if (m := missing(wanted["*"], row, f"{path}[{i}]"))), "")
    for key, below in wanted.items():
        where = f"{path}.{key}" if path else key
        if not isinstance(value, dict) or key not in value:
            return where
        if found := missing(below, value[key], where):
            return found
    return ""


def merged(old: Settings, new: Settings) -> Settings:
    """The new settings as they take effect: classes in their places, and what holds from the start."""
    coming = {c.name: c for c in new.classes}
    classes = [coming.pop(c.name, None) or replace(c, gone=True) for c in old.classes]
    kept = {name: getattr(old, name) for name in AT_START}
    return replace(new, classes=(*classes, *coming.values()), **kept)


def waiting(old: Settings, new: Settings) -> list[str]:
    """What differs and takes effect at the next start only."""
    return [name for name in AT_START if getattr(old, name) != getattr(new, name)]


def effective(old: Settings, new: Settings) -> list[str]:
    """What differs and takes effect, for the log: names of settings, and of classes with a sign."""
    names = [f.name for f in fields(new) if f.name != "classes" and getattr(old, f.name) != getattr(new, f.name)]
    before = {c.name: c for c in old.classes if not c.gone}
    after = {c.name: c for c in new.classes if not c.gone}
    names += [f"+{name}" for name in after if name not in before]
    names += [f"-{name}" for name in before if name not in after]
    return names + [f"~{name}" for name in after if name in before and after[name] != before[name]]
