"""The admin listener: status tables, operators' orders and metrics, over HTTP on the loopback interface."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rookbend.health.events import OrderReceived
from rookbend.health.model import Order
from rookbend.net.bounded_server import BoundedServer
from rookbend.net.buffered_socket import BufferedSocket
from rookbend.net.component import Component, ComponentContext
from rookbend.net.http_server import serve_http
from rookbend.protocol.admin_api import AdminApi, CommandResult
from rookbend.protocol.order_limits import SCOPE_PREFIX

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
SERVICE_UNAVAILABLE = 503


def build_admin(context: ComponentContext) -> Component:
    """Builds the HTTP server and stores it in `context.built` as "admin"."""
    settings = context.operators.admin
    assert settings is not None
    health = context.built.get("health")
    recovery = context.built.get("recovery")
    ownership = context.built.get("leases")
    api = AdminApi(
        _tables(context),
        MemberOrders(health, recovery, ownership).submit if health is not None else None,
        _metrics(context) if settings.metrics else None,
        recovery.command if recovery is not None else None,
        ownership,
    )

    async def serve_client(channel: BufferedSocket) -> None:
        await serve_http(channel, api.answer, context.clock, server.exchange)

    server = BoundedServer(context, "admin", settings.listen, serve_client)
    context.built["admin"] = server
    return server


class MemberOrders:
    """Carries out operators' orders on members, at this director or in the whole fleet."""

    def __init__(self, health: Any, recovery: Any, ownership: Any) -> None:
        """`recovery` and `ownership` are None where they are disabled."""
        self._health = health
        self._recovery = recovery
        self._ownership = ownership

    async def submit(self, member: str, order: Order, operator: str, fleet: bool) -> CommandResult:
        """Returns the HTTP status and, unless it is 200, the error."""
        if fleet:
            return await self._submit_to_fleet(member, order, operator)
        server = self._health.service.find(member)
        if server is None:
            return CommandResult(NOT_FOUND, f"no member {member}")
        # Persisted first, so that a power loss does not undo an acknowledged order.
        if self._recovery is not None:
            error = await self._recovery.order(member, order.value, operator)
            if error:
                return CommandResult(SERVICE_UNAVAILABLE, f"the order on {member} is {error}")
        self._health.service.feed(OrderReceived(server, order, operator))
        return CommandResult(OK, "")

    async def _submit_to_fleet(self, member: str, order: Order, operator: str) -> CommandResult:
        if self._ownership is None:
            return CommandResult(CONFLICT, "[ownership] is off: orders for the whole fleet need it")
        if member.startswith(SCOPE_PREFIX):
            return CommandResult(BAD_REQUEST, f"`member` begins with {SCOPE_PREFIX}, so it is a scope: pin it instead")
        error = await self._ownership.order(member, order.value, operator)
        if error:
            return CommandResult(SERVICE_UNAVAILABLE, f"the order on {member}: {error}")
        return CommandResult(OK, "")


def _tables(context: ComponentContext) -> dict[str, Callable[[], object]]:
    """The functions that return the status tables, by path."""
    tables: dict[str, Callable[[], object]] = {}
    health = context.built.get("health")
    recovery = context.built.get("recovery")
    ownership = context.built.get("leases")
    if ownership is not None:
        tables["/owners"] = ownership.describe
    if recovery is not None:
        tables["/fleet"] = recovery.fleet
        tables["/recovery"] = recovery.explain
    if health is not None:
        tables["/members"] = lambda: {"director": context.config.name, "members": health.service.table()}
        tables["/background"] = lambda: {
            "jobs": len(health.runner.scheduler.jobs),
            "running": health.runner.scheduler.running,
            "started": health.runner.scheduler.started,
            "overtaken": health.service.registry.overtaken,
        }
    return tables


def _metrics(context: ComponentContext) -> Callable[[], bytes]:
    """The function that renders the metrics. Its module is imported here, since it needs an optional package."""
    from rookbend.net.metrics import MetricsCollector

    def gauges() -> dict[str, float]:
        return {name: value for gauge in context.gauges for name, value in gauge().items()}

    health = context.built.get("health")
    members = health.service.table if health is not None else None
    return MetricsCollector(context.counters, members, gauges).text
