"""The director's configuration: `NODE_*` environment variables and the JSON file that `NODE_CONFIG` names."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from rookbend import interface as api
from rookbend import settings
from rookbend.operations import reload_validation
from rookbend.platform_settings import (
    CachingConfig,
    PlatformSettings,
    ProcessLimits,
    RouterLimitsConfig,
    TrafficClassConfig,
    to_router_settings,
)
from rookbend.protocol.coordinator_stream import KnownEvents, split_address
from rookbend.settings import Settings
from rookbend.simulator_settings import IDEMPOTENCY_BY_EFFECT

MIN_SOCKETS = 64
MIN_MEMORY_MB = 32
MAX_PORT = 65535

ROOT = Path(__file__).parent.parent
# A checkout has the file under deploy/, an installed package under `sys.prefix`.
SETTINGS_FILE = (
    ROOT / "deploy" if (ROOT / "pyproject.toml").exists() else Path(sys.prefix) / "etc" / "rookbend"
) / "rookbend.conf"


class ConfigError(Exception):
    """The configuration can't be used. The message is one line that names the file, the key and the value."""


class Config(msgspec.Struct):
    """The configuration of one director. Addresses are HOST:PORT, or empty where there is none."""

    name: str
    listen: str
    settings: PlatformSettings
    coordinator: str = ""
    operator: str = ""  # address of the operator endpoint
    seed: str = "0"  # hexadecimal
    limits: ProcessLimits = msgspec.field(default_factory=ProcessLimits)
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    flow_bytes_per_s: float = 0.0
    link_bytes_per_s: float = 0.0
    known: KnownEvents = msgspec.field(default_factory=KnownEvents)
    keys: Any = None  # the keys of the file, set by `load`; see operations/reload_validation.py

    def router_settings(self) -> api.Settings:
        """The platform's settings as the router takes them."""
        return to_router_settings(self.settings)


def load_all(environ: Mapping[str, str], previous: Config | None = None) -> tuple[Config, Settings]:
    """Loads the configuration and the operators' settings, and checks that the platform permits them.

    Raises ConfigError or SettingsError.
    """
    config = load(environ, previous)
    operators = settings.load(environ, SETTINGS_FILE)
    limits = config.settings.limits
    has_peers = limits.allows_peer_messages and bool(config.peer_listen and config.peers)
    settings.check_platform_permits(operators, limits.allows_probes, has_peers, len(config.peers))
    return config, operators


def load(environ: Mapping[str, str], previous: Config | None = None) -> Config:
    """Loads the configuration file that `NODE_CONFIG` names.

    `NODE_NAME`, `NODE_LISTEN` and `NODE_OPERATOR` override the file. At a reload `previous` is the configuration in
    force, and the file must have every key that the previous file had. Raises ConfigError.
    """
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
    if previous is not None and (missing_key := reload_validation.first_missing_key(previous.keys, raw)):
        raise ConfigError(f"NODE_CONFIG lacks the key {missing_key}: {path}")
    config.keys = reload_validation.key_structure(raw)
    config.name = environ.get("NODE_NAME", config.name)
    config.listen = environ.get("NODE_LISTEN", config.listen)
    config.operator = environ.get("NODE_OPERATOR", config.operator)
    try:
        check(config)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    return config


def check(config: Config) -> None:
    """Raises ConfigError for values that can't be used."""
    if not config.listen:
        raise ConfigError("listen is empty: HOST:PORT expected")
    for name in ("listen", "operator", "coordinator", "peer_listen", "peers_all"):
        _check_address(name, getattr(config, name))
    for peer in config.peers:
        _check_address("peers", peer)
    try:
        int(config.seed, 16)
    except ValueError:
        raise ConfigError(f"seed is not a hexadecimal number: {config.seed!r}") from None
    _check_settings(config.settings)
    if config.limits.sockets < MIN_SOCKETS or config.limits.memory_mb < MIN_MEMORY_MB:
        raise ConfigError(f"limits are too low: at least {MIN_SOCKETS} sockets and {MIN_MEMORY_MB} MB are needed")


def _check_address(name: str, address: str) -> None:
    """Raises ConfigError unless the address is HOST:PORT or empty."""
    if not address:
        return
    try:
        host, port = split_address(address)
    except ValueError:
        host, port = "", -1
    if not host or not 0 <= port <= MAX_PORT:
        raise ConfigError(f"{name} is not HOST:PORT: {address!r}")


def _check_settings(platform: PlatformSettings) -> None:
    """Checks the platform's settings. Errors name values by their path in the file."""
    if not platform.classes:
        raise ConfigError("settings.lanes is empty: at least one traffic class is needed")
    for index, traffic_class in enumerate(platform.classes):
        earlier_names = [earlier.name for earlier in platform.classes[:index]]
        _check_class(traffic_class, f"settings.lanes[{index}]", earlier_names)
    _check_limits(platform.limits)
    _check_lists_by_class(platform.caching, len(platform.classes))


def _check_class(traffic_class: TrafficClassConfig, path: str, earlier_names: Sequence[str]) -> None:
    if not traffic_class.name or traffic_class.name in earlier_names:
        raise ConfigError(f"{path}.name is empty or a duplicate: {traffic_class.name!r}")
    if traffic_class.idempotency not in IDEMPOTENCY_BY_EFFECT:
        raise ConfigError(f"{path}.effect is unknown: {traffic_class.idempotency!r}")
    _check_positive(
        path,
        (
            ("aimUs", traffic_class.latency_objective_us),
            ("hardLimitUs", traffic_class.deadline_us),
        ),
    )
    for key, value in (
        ("gain", traffic_class.priority_weight),
        ("aimStretch", traffic_class.latency_objective_stretch),
        ("repeatWindowUs", traffic_class.idempotency_key_window_us),
    ):
        if value < 0:
            raise ConfigError(f"{path}.{key} is negative: {value}")


def _check_limits(limits: RouterLimitsConfig) -> None:
    _check_positive(
        "settings.limits",
        (
            ("maxAttempts", limits.max_attempts),
            ("maxOpen", limits.max_requests_in_flight),
            ("maxStreams", limits.max_streams),
            ("idleCloseUs", limits.idle_close_us),
            ("connectTimeoutUs", limits.connect_timeout_us),
        ),
    )


def _check_positive(path: str, values: Iterable[tuple[str, int]]) -> None:
    for key, value in values:
        if value <= 0:
            raise ConfigError(f"{path}.{key} is not positive: {value}")


def _check_lists_by_class(caching: CachingConfig, class_count: int) -> None:
    lists: tuple[tuple[str, Sequence[object]], ...] = (
        ("class_fresh_us", caching.freshness_lifetime_us_by_class),
        ("grace_for_us", caching.stale_grace_us_by_class),
        ("class_stale_worth", caching.stale_priority_weight_by_class),
        ("goes_through", caching.is_write_by_class),
        ("in_pieces", caching.has_parts_by_class),
    )
    for name, values in lists:
        if values and len(values) != class_count:
            raise ConfigError(
                f"settings.familyInfo has {len(values)} values of {name} for {class_count} traffic classes"
            )
