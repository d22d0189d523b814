"""Reload of the settings of a running director: whether a file is complete, and which changes take effect.

A reload is all or nothing. A file is accepted if it can be decoded to the types of the settings, if its values are
valid (config.check), and if it has every key that the file read at the start had. Without the last check, a truncated
file that lacks a key with a default would change the director's behaviour without an error.

The router is not rebuilt: it gets the new settings and keeps its state (which cache holds which object, which server
fails, what was sent to warming members). Classes keep their numbers: one that is no longer named stays in its place as
retired, and a new one is appended, so that the number of a request in flight never refers to another class.
"""

from __future__ import annotations

from dataclasses import fields, replace

from rookbend.interface import Settings

KeyStructure = dict[str, "KeyStructure"] | None

# These identify members and peers: a change would require the membership to be read again.
RESTART_ONLY_FIELDS = "zone", "router_index", "parent_kind", "origin_kind", "membership_is_pushed"
FREE_FORM_KEYS = frozenset({"known"})  # holds events of the coordinator, whose keys are not checked
# The names that the log has always used for changed settings, where they differ from the names of the fields.
LOGGED_NAMES = {
    "home_parents": "home_hub",
    "supports_joined_fills": "joins",
    "answer_detail": "detail",
    "allows_direct_to_source": "direct",
    "purge_propagation_us": "purge_takes_us",
    "cold_capacity_ratio": "cold_share",
    "overload_multiple": "fall_multiple",
    "overload_window_us": "fall_us",
    "parent_cold_capacity_ratio": "parent_cold_share",
    "parent_overload_multiple": "parent_fall_multiple",
    "membership_poll_interval_us": "ask_within_us",
    "membership_is_pushed": "list_is_pushed",
    "allows_hedged_requests": "second_copies",
    "allows_cancellation": "cancelling",
    "allows_probes": "probes",
    "allows_peer_messages": "peers",
    "allows_retry_after": "retry_after",
    "max_requests_in_flight": "max_open",
    "load_report_fields": "report_fields",
    "clock_tick_us": "tick_us",
}


def key_structure(value: object) -> KeyStructure:
    """The nested keys of a decoded file; for a list of objects the keys that all of them have, under "*"."""
    if isinstance(value, dict):
        return {key: None if key in FREE_FORM_KEYS else key_structure(v) for key, v in value.items()}
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        first, *others = value
        common = [key for key in first if all(key in other for other in others)]
        return {"*": {key: None if key in FREE_FORM_KEYS else key_structure(first[key]) for key in common}}
    return None


def first_missing_key(required: KeyStructure, value: object, path: str = "") -> str:
    """The path of the first required key that the value lacks, or ""."""
    if not required:
        return ""
    if "*" in required:
        rows = value if isinstance(value, list) else []
        found = (first_missing_key(required["*"], row, f"{path}[{i}]") for i, row in enumerate(rows))
        return next(filter(None, found), "")
    for key, nested in required.items():
        key_path = f"{path}.{key}" if path else key
        if not isinstance(value, dict) or key not in value:
            return key_path
        if missing_path := first_missing_key(nested, value[key], key_path):
            return missing_path
    return ""


def merge_settings(old: Settings, new: Settings) -> Settings:
    """The new settings as they take effect: with classes in their places, and with `RESTART_ONLY_FIELDS` unchanged."""
    added = {c.name: c for c in new.classes}
    classes = [added.pop(c.name) if c.name in added else replace(c, is_retired=True) for c in old.classes]
    unchanged = {name: getattr(old, name) for name in RESTART_ONLY_FIELDS}
    return replace(new, classes=(*classes, *added.values()), **unchanged)


def restart_required(old: Settings, new: Settings) -> list[str]:
    """Names of the settings that differ but take effect only at the next start."""
    names = [name for name in RESTART_ONLY_FIELDS if getattr(old, name) != getattr(new, name)]
    return [LOGGED_NAMES.get(name, name) for name in names]


def effective_changes(old: Settings, new: Settings) -> list[str]:
    """Names, for the log, of the settings and classes whose changes take effect. Classes are marked + (added),
    - (removed) or ~ (changed)."""
    names = [f.name for f in fields(new) if f.name != "classes" and getattr(old, f.name) != getattr(new, f.name)]
    names = [LOGGED_NAMES.get(name, name) for name in names]
    before = {c.name: c for c in old.classes if not c.is_retired}
    after = {c.name: c for c in new.classes if not c.is_retired}
    names += [f"+{name}" for name in after if name not in before]
    names += [f"-{name}" for name in before if name not in after]
    return names + [f"~{name}" for name in after if name in before and after[name] != before[name]]
