"""Reload on SIGHUP: reads the configuration and the operators' settings again and applies both, or neither.

Nothing is awaited during a reload, so no request sees a partial one.
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

# Keys of the configuration that need a restart, since running objects are built from them.
RESTART_ONLY_KEYS = ("name", "listen", "operator", "limits", "peer_listen", "peers", "peers_all")
# Lists of the platform's settings that need a restart: coordinator events are translated by the names in them.
RESTART_ONLY_LISTS = ("zones", "kinds")
# Sections of the operators' settings that a reload changes.
RELOADABLE_SECTIONS = ("health", "checks")
# Options of other sections that a reload changes if the section is enabled before and after it.
RELOADABLE_OPTIONS = {"ownership": ("voters",)}

ReadConfig = Callable[[Config], tuple[Config, Settings]]


def coordinator_address(config: Config) -> tuple[str, int] | None:
    """The coordinator's host and port; None where the configuration names no coordinator."""
    return split_address(config.coordinator) if config.coordinator else None


@dataclass(slots=True)
class ReloadContext:
    """The objects that a reload changes. `config` and `operators` are the values in force."""

    config: Config
    operators: Settings
    engine: Engine
    watch: Watch
    components: Sequence[Component]
    counters: Counters
    log: Callable[..., None]
    apply_connection_limits: Callable[[int, int], None]  # streams per connection, idle time in microseconds
    has_health: bool


class Reload:
    """Carries out reloads; see the module."""

    def __init__(self, context: ReloadContext, read_config: ReadConfig) -> None:
        """`read_config` takes the configuration in force and returns what the files contain now.

        It raises ConfigError or SettingsError.
        """
        self._context = context
        self._read_config = read_config

    def __call__(self) -> None:
        """Applies the files as they are now, or logs why they are rejected."""
        context = self._context
        old = context.config
        try:
            new, operators = self._read_config(old)
        except (ConfigError, SettingsError) as error:
            context.counters.reloads_failed += 1
            context.log("reload_failed", "error", reason=str(error))
            return
        context.counters.reloads_ok += 1
        not_applied = [name for name in RESTART_ONLY_KEYS if getattr(new, name) != getattr(old, name)]
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
        """Returns the names of the settings that have changed, and of those that need a restart."""
        engine = self._context.engine
        not_applied = [
            name for name in RESTART_ONLY_LISTS if getattr(old.settings, name) != getattr(new.settings, name)
        ]
        for name in RESTART_ONLY_LISTS:
            setattr(new.settings, name, getattr(old.settings, name))
        requested = new.router_settings()
        not_applied += reload_validation.restart_required(engine.settings, requested)
        settings = reload_validation.merge_settings(engine.settings, requested)
        changed = reload_validation.effective_changes(engine.settings, settings)
        if changed:
            engine.apply_settings(settings)
        self._context.apply_connection_limits(new.settings.limits.max_streams, new.settings.limits.idle_close_us)
        return changed, not_applied

    def _apply_operators_settings(self, operators: Settings) -> list[str]:
        """Returns the sections that need a restart. A reload can change [health], but not enable or disable it."""
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
                applied[name] = _with_reloadable_options(before, after, name)
        context.operators = msgspec.structs.replace(context.operators, **applied)
        return not_applied


def _with_reloadable_options(section: msgspec.Struct, other: msgspec.Struct, name: str) -> msgspec.Struct:
    """The section with its reloadable options set to those of `other`."""
    return msgspec.structs.replace(section, **{option: getattr(other, option) for option in RELOADABLE_OPTIONS[name]})


def _needs_restart(name: str, before: Any, after: Any) -> bool:
    """Whether a section has changed in more than its reloadable options."""
    if name in RELOADABLE_OPTIONS and before is not None and after is not None:
        return bool(_with_reloadable_options(before, after, name) != after)
    return bool(before != after)
