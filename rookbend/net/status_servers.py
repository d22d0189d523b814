"""The servers that report this director's status to balancers in front of it: agent check, HTTP and gRPC."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from rookbend.core.inactivity import ConnectionActivity
from rookbend.health.own_status import OwnStatus
from rookbend.net.bounded_server import BoundedServer
from rookbend.net.buffered_socket import BufferedSocket
from rookbend.net.component import ComponentContext
from rookbend.net.http_server import INACTIVITY_LIMITS, serve_http
from rookbend.protocol import http_health
from rookbend.protocol.agent_check import encode_line
from rookbend.protocol.http_server import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from rookbend.protocol.grpc_health_server import GrpcHealthServer

CurrentStatus = Callable[[], OwnStatus]


def agent_server(context: ComponentContext, address: tuple[str, int], current_status: CurrentStatus) -> BoundedServer:
    """A server that sends the agent line to each client and closes the connection."""

    async def serve_client(channel: BufferedSocket) -> None:
        status = current_status()
        channel.write(encode_line(status.admin, status.up, status.weight, status.max_connections, status.reason))

    return BoundedServer(context, "agent-server", address, serve_client)


def http_server(context: ComponentContext, address: tuple[str, int], current_status: CurrentStatus) -> BoundedServer:
    """A server that answers health requests over HTTP."""

    def handle(request: HttpRequest) -> HttpResponse:
        status = current_status()
        return http_health.answer(request, status.accepts_requests, status.state)

    async def serve_client(channel: BufferedSocket) -> None:
        await serve_http(channel, handle, context.clock, server.exchange)

    server = BoundedServer(context, "http-server", address, serve_client)
    return server


class GrpcServer(BoundedServer):
    """A server of the gRPC health service; clients of Watch stay connected and are notified of each change at once."""

    def __init__(self, context: ComponentContext, address: tuple[str, int], current_status: CurrentStatus):
        super().__init__(context, "grpc-server", address, self._serve_grpc)
        self._current_status = current_status
        self._connections: dict[BufferedSocket, GrpcHealthServer] = {}

    def changed(self) -> None:
        """Notifies the clients of Watch if the status has changed; called whenever it may have changed."""
        for channel, grpc in self._connections.items():
            channel.write(grpc.changed())

    async def _serve_grpc(self, channel: BufferedSocket) -> None:
        # Imported here because it needs optional packages.
        from rookbend.protocol.grpc_health_messages import ServingStatus
        from rookbend.protocol.grpc_health_server import GrpcHealthServer

        def serving_status() -> ServingStatus:
            return ServingStatus.SERVING if self._current_status().accepts_requests else ServingStatus.NOT_SERVING

        grpc = GrpcHealthServer(serving_status)
        self._connections[channel] = grpc
        try:
            channel.write(grpc.start())
            await self._exchange(channel, grpc)
        finally:
            del self._connections[channel]

    async def _exchange(self, channel: BufferedSocket, grpc: GrpcHealthServer) -> None:
        """Serves calls until the connection ends, or until it is inactive for too long with no Watch open."""
        activity = ConnectionActivity(INACTIVITY_LIMITS, self.clock.now())
        while not grpc.ended:
            with trio.CancelScope() as scope:
                deadline_us = activity.deadline_us(grpc.watched)
                if deadline_us is not None:
                    scope.deadline = self.clock.monotonic_at(deadline_us)
                reply = grpc.feed(await channel.receive())
                activity.received(self.clock.now(), has_completed=bool(reply), is_partial=not reply)
                channel.write(reply)
            if scope.cancelled_caught:
                return
