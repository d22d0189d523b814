"""The director's configuration: `NODE_*` and the JSON file it names, as typed values."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path

import msgspec

from rookbend import interface as api
from rookbend import settings
from rookbend.operations import reload_validation
from rookbend.platform_settings import DirectorSettings, Lane, Limits, to_router_settings
from rookbend.protocol.coordinator_stream import Known, split_address
from rookbend.settings import Settings
from rookbend.simulator_settings import EFFECTS


class ConfigError(Exception):
    """One line on what is wrong."""


class Config(msgspec.Struct):
    name: str
    listen: str
    settings: DirectorSettings
    coordinator: str = ""
    operator: str = ""  # where the operators' door listens; empty: there is none
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    flow_bytes_per_s: float = 0.0
    link_bytes_per_s: float = 0.0
    known: Known = msgspec.field(default_factory=Known)
    keys: object = None  # those that the file has, set by `load`: see operations/reload_validation.py

    def router_settings(self) -> api.Settings:
        return to_router_settings(self.settings)


ROOT = Path(__file__).parent.parent
# A checkout has the file under deploy/, a plain installation under its prefix.
SETTINGS_FILE = (
    ROOT / "deploy" if (ROOT / "pyproject.toml").exists() else Path(sys.prefix) / "etc" / "rookbend"
) / "rookbend.conf"


def load_all(environ: Mapping[str, str], before: Config | None = None) -> tuple[Config, Settings]:
    """The configuration, and the operators' settings as far as it permits them. Raises ConfigError or
    SettingsError."""
    config = load(environ, before)
    operators = settings.load(environ, SETTINGS_FILE)
    talk = config.settings.limits.may_tell and bool(config.peer_listen and config.peers)
    settings.check_permits(operators, config.settings.limits.probes, talk, len(config.peers))
    return config, operators


def load(environ: Mapping[str, str], before: Config | None = None) -> Config:
    """The configuration that `NODE_CONFIG` names; `NODE_NAME`, `NODE_LISTEN` and `NODE_OPERATOR` override
    the file. With one from `before`, at a reload, the file has to have every key that the earlier one had."""
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        text = Path(path).read_bytes()
        config = msgspec.json.decode(text, type=Config)
    except OSError as error:
        raise ConfigError(f"NODE_CONFIG can't be read: {path}: {error.strerror}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigError(f"NODE_CONFIG is not usable: {path}: {error}") from None
    raw = msgspec.json.decode(text)
    if before is not None and (lacks := reload_validation.missing(before.keys, raw)):
        raise ConfigError(f"NODE_CONFIG lacks {lacks}: {path}")
    config.keys = reload_validation.shape(raw)
    config.name = environ.get("NODE_NAME", config.name)
    config.listen = environ.get("NODE_LISTEN", config.listen)
    config.operator = environ.get("NODE_OPERATOR", config.operator)
    try:
        check(config)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    return config


def check_addresses(addresses) -> None:
    """Each is HOST:PORT, or empty."""
    for what, address in addresses:
        if not address:
            continue
        try:
            host, port = split_address(address)
        except ValueError:
            host, port = "", -1
        if not host or not 0 <= port <= 65535:
            raise ConfigError(f"{what} is no HOST:PORT: {address!r}")


def check(config: Config) -> None:
    if not config.listen:
        raise ConfigError("no address to listen on")
    check_addresses(
        (
            *(
                (name, getattr(config, name))
                for name in ("listen", "operator", "coordinator", "peer_listen", "peers_all")
            ),
            *(("peers", p) for p in config.peers),
        )
    )
    try:
        int(config.seed, 16)
    except ValueError:
        raise ConfigError(f"seed is no hexadecimal number: {config.seed!r}") from None
    check_settings(config.settings)
    if config.limits.sockets < 64 or config.limits.memory_mb < 32:
        raise ConfigError("the limits are too low to serve with")


def check_class(lane: Lane, where: str, taken: list[str]) -> None:
    """One class of the settings; `taken` are the names before it."""
    if not lane.name or lane.name in taken:
        raise ConfigError(f"{where}.name is empty or taken: {lane.name!r}")
    if lane.effect not in EFFECTS:
        raise ConfigError(f"{where}.effect is unknown: {lane.effect!r}")
    for what, value in (("aimUs", lane.aim_us), ("hardLimitUs", lane.hard_limit_us)):
        if value <= 0:
            raise ConfigError(f"{where}.{what} is not over 0: {value}")
    for what, value in (
        ("gain", lane.gain),
        ("aimStretch", lane.aim_stretch),
        ("repeatWindowUs", lane.repeat_window_us),
    ):
        if value < 0:
            raise ConfigError(f"{where}.{what} is below 0: {value}")


def check_settings(s: DirectorSettings) -> None:
    """Values that can't be meant, by their path in the file."""
    if not s.lanes:
        raise ConfigError("settings.lanes names no class")
    for i, lane in enumerate(s.lanes):
        check_class(lane, f"settings.lanes[{i}]", [other.name for other in s.lanes[:i]])
    for what, value in (
        ("maxAttempts", s.limits.max_attempts),
        ("maxOpen", s.limits.max_open),
        ("maxStreams", s.limits.max_streams),
        ("idleCloseUs", s.limits.idle_close_us),
        ("connectTimeoutUs", s.limits.connect_timeout_us),
    ):
        if value <= 0:
            raise ConfigError(f"settings.limits.{what} is not over 0: {value}")
    for name in ("class_fresh_us", "grace_for_us", "class_stale_worth", "goes_through", "in_pieces"):
        values = getattr(s.family_info, name)
        if values and len(values) != len(s.lanes):
            raise ConfigError(f"settings.familyInfo has {len(values)} of {name} for {len(s.lanes)} classes")
