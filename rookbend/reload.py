"""SIGHUP: configuration and operators' settings are read again, taken whole or turned down whole.

Between two turns of the loop: nothing is awaited in here, so no request sees a part of it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from rookbend.config import Config, ConfigError
from rookbend.operations import reload_validation
from rookbend.protocol.coordinator_stream import split_address
from rookbend.settings import Settings, SettingsError

if TYPE_CHECKING:
    from rookbend.service import Service

# What a reload does not change: it is built into what runs, or of this start alone (`known`, `seed`).
AT_START = "name", "listen", "operator", "limits", "peer_listen", "peers", "peers_all"
# Of the platform's settings: what names are translated by.
NAMES = "zones", "kinds"
# Of the operators' settings, what it does change.
RELOADED = "health", "checks"


def coordinator_address(config: Config) -> tuple[str, int] | None:
    return split_address(config.coordinator) if config.coordinator else None


class Reload:
    def __init__(self, service: Service, read: Callable[[Config], tuple[Config, Settings]]):
        """`read(before)` gives what the files say now. Raises ConfigError or SettingsError."""
        self.service, self.read = service, read

    def __call__(self) -> None:
        s = self.service
        try:
            new, operators = self.read(s.config)
        except (ConfigError, SettingsError) as error:
            s.counters.reloads_failed += 1
            return s.log("reload_failed", "error", reason=str(error))
        s.counters.reloads_ok += 1
        old = s.config
        later = [name for name in AT_START if getattr(new, name) != getattr(old, name)]
        changed, waits = self._platform(old, new)
        later += waits
        s.config = msgspec.structs.replace(old, coordinator=new.coordinator, settings=new.settings, keys=new.keys)
        if new.coordinator != old.coordinator:
            s.watch.move(coordinator_address(new))
        later += self._operators(operators)
        s.log(
            "reloaded",
            coordinator=new.coordinator or "none",
            changed=",".join(changed) or "nothing",
            restart_for=",".join(later) or "nothing",
        )

    def _platform(self, old: Config, new: Config) -> tuple[list[str], list[str]]:
        s, engine = self.service, self.service.engine
        waits = [name for name in NAMES if getattr(old.settings, name) != getattr(new.settings, name)]
        for name in NAMES:
            setattr(new.settings, name, getattr(old.settings, name))
        told = new.router_settings()
        waits += reload_validation.waiting(engine.settings, told)
        settings = reload_validation.merged(engine.settings, told)
        changed = reload_validation.effective(engine.settings, settings)
        if changed:
            engine.apply_settings(settings)
        if s.pool is not None:
            s.pool.adopt(new.settings.limits.max_streams, new.settings.limits.idle_close_us)
        return changed, waits

    def _operators(self, operators: Settings) -> list[str]:
        s = self.service
        both = s.health is not None and operators.health is not None
        later = [
            f"[{name.replace('_', '-')}]"
            for name in Settings.__struct_fields__
            if getattr(operators, name) != getattr(s.operators, name) and not (name in RELOADED and both)
        ]
        for part in s.parts:
            part.reload(operators)
        if both:
            kept = {name: getattr(operators, name) for name in RELOADED}
            s.operators = msgspec.structs.replace(s.operators, **kept)
        return later
