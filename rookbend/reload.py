"""SIGHUP: configuration and operators' settings are read again, and applied whole or rejected whole.

Nothing is awaited here, so no request sees a part of a reload.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from rookbend.config import Config, ConfigError
from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.net.component import Component
from rookbend.net.watch import Watch
from rookbend.operations import reload_validation
from rookbend.protocol.coordinator_stream import split_address
from rookbend.settings import Settings, SettingsError

# Of the configuration, what a reload does not change since it is built into what runs.
FIXED_AT_START = ("name", "listen", "operator", "limits", "peer_listen", "peers", "peers_all")
# Of the platform's settings, what is fixed at the start: the names that events of the coordinator are translated by.
FIXED_NAME_LISTS = ("zones", "kinds")
# Of the operators' settings, what a reload changes.
RELOADABLE_SECTIONS = ("health", "checks")
# Of other sections, the options that a reload changes where the section is on before and after.
RELOADABLE_OPTIONS = {"ownership": ("voters",)}

ReadConfig = Callable[[Config], tuple[Config, Settings]]


def coordinator_address(config: Config) -> tuple[str, int] | None:
    """Host and port of the coordinator; None where the configuration has none."""
    return split_address(config.coordinator) if config.coordinator else None


@dataclass(slots=True)
class ReloadContext:
    """What a reload changes. `config` and `operators` are those in force."""

    config: Config
    operators: Settings
    engine: Engine
    watch: Watch
    components: Sequence[Component]
    counters: Counters
    log: Callable[..., None]
    apply_connection_limits: Callable[[int, int], None]  # streams a connection at most, idle time in microseconds
    has_health: bool


class Reload:
    """Reads the files again; see the module."""

    def __init__(self, context: ReloadContext, read: ReadConfig) -> None:
        """`read(config in force)` returns what the files say now. Raises ConfigError or SettingsError."""
        self._context = context
        self._read = read

    def __call__(self) -> None:
        """Applies what the files say now, or logs why they are rejected."""
        context = self._context
        old = context.config
        try:
            new, operators = self._read(old)
        except (ConfigError, SettingsError) as error:
            context.counters.reloads_failed += 1
            context.log("reload_failed", "error", reason=str(error))
            return
        context.counters.reloads_ok += 1
        not_applied = [name for name in FIXED_AT_START if getattr(new, name) != getattr(old, name)]
        changed, fixed_settings = self._apply_platform_settings(old, new)
        not_applied += fixed_settings
        context.config = msgspec.structs.replace(old, coordinator=new.coordinator, settings=new.settings, keys=new.keys)
        if new.coordinator != old.coordinator:
            context.watch.change_coordinator(coordinator_address(new))
        not_applied += self._apply_operators_settings(operators)
        context.log(
            "reloaded",
            coordinator=new.coordinator or "none",
            changed=",".join(changed) or "nothing",
            restart_for=",".join(not_applied) or "nothing",
        )

    def _apply_platform_settings(self, old: Config, new: Config) -> tuple[list[str], list[str]]:
        """Returns the names of what has changed, and of what needs a restart."""
        engine = self._context.engine
        not_applied = [name for name in FIXED_NAME_LISTS if getattr(old.settings, name) != getattr(new.settings, name)]
        for name in FIXED_NAME_LISTS:
            setattr(new.settings, name, getattr(old.settings, name))
        wanted = new.router_settings()
        not_applied += reload_validation.restart_required(engine.settings, wanted)
        settings = reload_validation.merge_settings(engine.settings, wanted)
        changed = reload_validation.effective_changes(engine.settings, settings)
        if changed:
            engine.apply_settings(settings)
        self._context.apply_connection_limits(new.settings.limits.max_streams, new.settings.limits.idle_close_us)
        return changed, not_applied

    def _apply_operators_settings(self, operators: Settings) -> list[str]:
        """Returns the sections that need a restart. Health can be changed, but not turned on or off."""
        context = self._context
        can_reload = context.has_health and operators.health is not None
        not_applied = [
            f"[{name.replace('_', '-')}]"
            for name in Settings.__struct_fields__
            if _needs_restart(name, getattr(context.operators, name), getattr(operators, name))
            and not (name in RELOADABLE_SECTIONS and can_reload)
        ]
        for component in context.components:
            component.reload(operators)
        applied: dict[str, Any] = {name: getattr(operators, name) for name in RELOADABLE_SECTIONS if can_reload}
        for name in RELOADABLE_OPTIONS:
            before, after = getattr(context.operators, name), getattr(operators, name)
            if before is not None and after is not None:
                applied[name] = _with_options_of(before, after, name)
        context.operators = msgspec.structs.replace(context.operators, **applied)
        return not_applied


def _with_options_of(section: msgspec.Struct, other: msgspec.Struct, name: str) -> msgspec.Struct:
    """The section with the other's values of the options that a reload changes."""
    return msgspec.structs.replace(section, **{option: getattr(other, option) for option in RELOADABLE_OPTIONS[name]})


def _needs_restart(name: str, before: Any, after: Any) -> bool:
    """Whether a section has changed in more than what a reload changes."""
    if name in RELOADABLE_OPTIONS and before is not None and after is not None:
        return bool(_with_options_of(before, after, name) != after)
    return bool(before != after)
