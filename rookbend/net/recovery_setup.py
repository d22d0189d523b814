"""The inputs of recovery's state machine: its configuration from the settings, and the rows stored on disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rookbend.net.component import ComponentContext
from rookbend.recovery.config import RecoveryConfig, TrafficClassCost
from rookbend.recovery.startup_stages import StartupPlan
from rookbend.recovery.state_validity import PersistedRow

if TYPE_CHECKING:
    from rookbend.net.state import StateComponent

MULTIPART_CLASS_COST = 4.0  # relative to other classes, since objects that come in parts are large
DEFAULT_PURGE_PROPAGATION_US = 6_000_000


def recovery_config(context: ComponentContext) -> RecoveryConfig:
    """The state machine's configuration, from the settings."""
    operators = context.operators
    recovery_settings = operators.recovery
    assert recovery_settings is not None, "recovery is built only if the settings enable it"
    router = context.engine.settings
    classes = tuple(
        TrafficClassCost(c.is_write, c.priority_weight, MULTIPART_CLASS_COST if c.has_parts else 1.0)
        for c in router.classes
    )
    return RecoveryConfig(
        number=router.router_index,
        director_count=router.router_count,
        fleet=operators.state.fleet if operators.state is not None else recovery_settings.fleet,
        seed=int(context.config.seed, 16),
        classes=classes,
        zone=router.zone,
        parent_kind=router.parent_kind,
        origin_kind=router.origin_kind,
        purge_propagation_us=router.purge_propagation_us or DEFAULT_PURGE_PROPAGATION_US,
        plan=StartupPlan(recovery_settings.ready_share, recovery_settings.ready_by_us, recovery_settings.full_by_us),
        initial_origin_rate=recovery_settings.first_rate,
        full_origin_rate=recovery_settings.full_rate,
        gossip_enabled=recovery_settings.peers,
    )


def persisted_rows(state: StateComponent | None) -> tuple[PersistedRow, ...]:
    """All rows stored on disk; none without a disk."""
    if state is None:
        return ()
    return tuple(
        PersistedRow(kind, key, row.value, row.stored_us)
        for kind, rows in state.ledger.rows.items()
        for key, row in rows.items()
    )
