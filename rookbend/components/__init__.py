"""The optional components of a director: which the operators' settings enable, and in which order they are built.

What is off is not imported: each builder imports its component's modules itself. A new component is one entry of
`OPTIONAL`. What later components need of an earlier one, it leaves in `context.built`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rookbend.net.component import Component, ComponentContext
from rookbend.settings import Settings


@dataclass(frozen=True, slots=True)
class OptionalComponent:
    """Whether the settings enable a component, and what builds it."""

    is_enabled: Callable[[Settings], bool]
    build: Callable[[ComponentContext], list[Component]]


def _build_state(context: ComponentContext) -> list[Component]:
    from rookbend.net.state import StateComponent

    state = StateComponent(context)
    context.built["state"] = state
    return [state]


def _build_dns(context: ComponentContext) -> list[Component]:
    from rookbend.components.dns import build_dns

    return [build_dns(context)]


def _build_health(context: ComponentContext) -> list[Component]:
    from rookbend.components.health import HealthComponent

    health = HealthComponent(context)
    context.built["health"] = health
    return [health]


def _build_recovery(context: ComponentContext) -> list[Component]:
    from rookbend.net.recovery import RecoveryComponent

    recovery = RecoveryComponent(context)
    context.built["recovery"] = recovery
    return [recovery]


def _build_ownership(context: ComponentContext) -> list[Component]:
    from rookbend.net.leases import LeaseComponent

    ownership = LeaseComponent(context)
    context.built["leases"] = ownership
    return [ownership]


def _build_own_status(context: ComponentContext) -> list[Component]:
    from rookbend.components.own_status import build_own_status

    return build_own_status(context)


def _build_admin(context: ComponentContext) -> list[Component]:
    from rookbend.components.admin import build_admin

    return [build_admin(context)]


def _build_operations(context: ComponentContext) -> list[Component]:
    from rookbend.net.operations import OperationsComponent

    operations = OperationsComponent(context)
    context.built["operations"] = operations
    if operations.upgrade is not None:
        context.built["upgrade"] = operations.upgrade
    return [operations]


def _has_own_status(settings: Settings) -> bool:
    return any((settings.agent_server, settings.http_server, settings.grpc_server))


OPTIONAL = (
    # First: the components that persist something read it as they are built.
    OptionalComponent(lambda settings: settings.state is not None, _build_state),
    OptionalComponent(lambda settings: settings.dns is not None, _build_dns),
    OptionalComponent(lambda settings: settings.health is not None, _build_health),
    # After health, whose place in front of the engine it takes.
    OptionalComponent(lambda settings: settings.recovery is not None, _build_recovery),
    # After recovery, whose exchange with the peers it uses.
    OptionalComponent(lambda settings: settings.ownership is not None, _build_ownership),
    OptionalComponent(_has_own_status, _build_own_status),
    OptionalComponent(lambda settings: settings.admin is not None, _build_admin),
)


def build_components(context: ComponentContext) -> list[Component]:
    """Builds what the operators' settings enable, and the operator endpoint where the configuration has one."""
    components: list[Component] = []
    for optional in OPTIONAL:
        if optional.is_enabled(context.operators):
            components += optional.build(context)
    # The operator endpoint is the platform's: its address is in the configuration.
    if context.config.operator:
        components += _build_operations(context)
    return components
