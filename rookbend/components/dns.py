"""The DNS front and its server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rookbend.fronts.dns import DnsFront
from rookbend.net.component import Component, ComponentContext
from rookbend.net.dns_resolver import ResolverClient
from rookbend.net.dns_server import DnsServer

if TYPE_CHECKING:
    from rookbend.recovery.issued_names import IssuedNames


def build_dns(context: ComponentContext) -> Component:
    """Builds the server and stores it in `context.built` as "dns"."""
    settings = context.operators.dns
    assert settings is not None
    seed = int(context.config.seed, 16)
    resolver = ResolverClient(context, settings.resolver, seed)
    front = DnsFront(
        context.engine,
        resolver,
        settings.zone,
        settings.box_name,
        settings.budget_us,
        seed,
        issued_names=_issued_names(context),
    )
    server = DnsServer(context, front, resolver, settings.listen)
    context.built["dns"] = server
    return server


def _issued_names(context: ComponentContext) -> IssuedNames | None:
    """The store of names that the DNS front issues for writes; None where no state is kept on disk."""
    state: Any = context.built.get("state")
    if state is None:
        return None
    from rookbend.recovery.issued_names import KIND, IssuedNames

    names = IssuedNames(
        context.clock.now(),
        lambda request_id, value, by_us, done: state.put_by(KIND, request_id, value, by_us, done),
        lambda request_id: state.drop(KIND, request_id),
        {request_id: (row.value, row.stored_us) for request_id, row in state.ledger.all(KIND).items()},
    )
    context.gauges.append(lambda: {"dns_names_not_kept": names.not_durable, "dns_names_unreadable": names.unreadable})
    return names
