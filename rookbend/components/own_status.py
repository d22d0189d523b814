"""The director's own health and weight, served to the balancers in front by agent line, HTTP or gRPC."""

from __future__ import annotations

from rookbend.health.own_status import OwnStatus, own_status
from rookbend.health.spare_capacity import SpareCapacity
from rookbend.net.capacity_sampler import CapacitySampler
from rookbend.net.component import Component, ComponentContext
from rookbend.net.status_servers import GrpcServer, agent_server, http_server


def build_own_status(context: ComponentContext) -> list[Component]:
    """Builds the sampler and the enabled servers, and stores the servers in `context.built` as "balancer"."""
    settings = context.operators
    spare_capacity = SpareCapacity(settings.headroom.step, settings.headroom.rise_us, settings.headroom.least)
    context.gauges.append(lambda: {"headroom_percent": spare_capacity.weight})

    def current_status() -> OwnStatus:
        return own_status(context.phase(), spare_capacity, context.max_clients)

    sampler = CapacitySampler(spare_capacity, context.sample, context.clock)
    servers: list[Component] = []
    if settings.agent_server is not None:
        servers.append(agent_server(context, settings.agent_server.listen, current_status))
    if settings.http_server is not None:
        servers.append(http_server(context, settings.http_server.listen, current_status))
    if settings.grpc_server is not None:
        grpc_server = GrpcServer(context, settings.grpc_server.listen, current_status)
        sampler.on_change.append(grpc_server.changed)
        servers.append(grpc_server)
    context.built["balancer"] = servers
    return [sampler, *servers]
