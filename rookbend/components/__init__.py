"""The optional components of a director: when each of them is enabled, and the order in which they are built.

Modules of disabled components are not imported: each builder imports the modules of its component itself. A new
component is one entry of `OPTIONAL_COMPONENTS`. A component that later ones use is stored in `context.built`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rookbend.net.component import Component, ComponentContext
from rookbend.settings import Settings


@dataclass(frozen=True, slots=True)
class OptionalComponent:
    """Whether the settings enable a component, and the function that builds it."""

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


OPTIONAL_COMPONENTS = (
    # First: components with persisted state read it when they are built.
    OptionalComponent(lambda settings: settings.state is not None, _build_state),
    OptionalComponent(lambda settings: settings.dns is not None, _build_dns),
    OptionalComponent(lambda settings: settings.health is not None, _build_health),
    # After health: recovery receives membership changes before health and passes them on.
    OptionalComponent(lambda settings: settings.recovery is not None, _build_recovery),
    # After recovery: ownership uses recovery's exchange of messages with the peers.
    OptionalComponent(lambda settings: settings.ownership is not None, _build_ownership),
    OptionalComponent(_has_own_status, _build_own_status),
    OptionalComponent(lambda settings: settings.admin is not None, _build_admin),
)


def build_components(context: ComponentContext) -> list[Component]:
    """Builds the components that the operators' settings enable, and the operator endpoint if it is configured."""
    components: list[Component] = []
    for optional in OPTIONAL_COMPONENTS:
        if optional.is_enabled(context.operators):
            components += optional.build(context)
    # The operator endpoint belongs to the platform: the configuration has its address, not the operators' settings.
    if context.config.operator:
        components += _build_operations(context)
    return components
