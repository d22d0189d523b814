"""The drivers towards a balancer in front: agent-check, HTTP and gRPC health, and the measuring of ourselves
that they rest on."""

from __future__ import annotations

from collections.abc import Callable

import trio

from rookbend.core.clock import Clock
from rookbend.health.own_status import OwnStatus
from rookbend.health.spare_capacity import Sample, SpareCapacity
from rookbend.net.buffered_socket import BufferedSocket, WriteScheduler
from rookbend.net.component import Component
from rookbend.net.http_server import IDLE_US, SmallServer, serve_http
from rookbend.protocol import health as http_health
from rookbend.protocol.agent_check import encode_line

MEASURE_US = 250_000


class Measuring(Component):
    """Takes a sample of ourselves every `MEASURE_US`, and tells who follows us when it matters."""

    def __init__(self, headroom: SpareCapacity, sample: Callable[[], Sample], clock: Clock):
        self.headroom, self.sample, self.clock = headroom, sample, clock
        self.on_change: list[Callable[[], None]] = []

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._run)

    async def _run(self) -> None:
        while True:
            before = self.headroom.up, self.headroom.weight
            self.headroom.measure(self.clock.now(), self.sample())
            if (self.headroom.up, self.headroom.weight) != before:
                self.tell()
            await trio.sleep_until(self.clock.monotonic_at(self.clock.now() + MEASURE_US))

    def tell(self) -> None:
        for told in self.on_change:
            told()

    def drain(self, by_us: int) -> None:
        self.tell()


def agent_server(
    address: tuple[str, int], clock: Clock, outbox: WriteScheduler, standing: Callable[[], OwnStatus]
) -> SmallServer:
    """Says one line to each who connects, and closes."""

    async def client(channel: BufferedSocket) -> None:
        s = standing()
        channel.write(encode_line(s.admin, s.up, s.weight, s.most_connections, s.reason))

    return SmallServer(address, clock, outbox, client)


def http_server(
    address: tuple[str, int], clock: Clock, outbox: WriteScheduler, standing: Callable[[], OwnStatus]
) -> SmallServer:
    def handle(request) -> tuple[int, bytes, str]:
        s = standing()
        return (*http_health.answer(request, s.taking, s.state), "text/plain")

    async def client(channel: BufferedSocket) -> None:
        await serve_http(channel, handle)

    return SmallServer(address, clock, outbox, client)


class GrpcServer(SmallServer):
    """Check and Watch. Watchers stay, and hear of each change at once."""

    def __init__(
        self, address: tuple[str, int], clock: Clock, outbox: WriteScheduler, standing: Callable[[], OwnStatus]
    ):
        super().__init__(address, clock, outbox, self._grpc, lasting=True)
        self.standing = standing
        self.open_now: dict[BufferedSocket, object] = {}

    async def _grpc(self, channel: BufferedSocket) -> None:
        from rookbend.protocol.grpc_health_messages import ServingStatus
        from rookbend.protocol.grpc_health_server import GrpcHealthServer

        grpc = GrpcHealthServer(lambda: ServingStatus.SERVING if self.standing().taking else ServingStatus.NOT_SERVING)
        self.open_now[channel] = grpc
        try:
            channel.write(grpc.start())
            while not grpc.ended:
                with trio.CancelScope() as scope:
                    if not grpc.watched:  # one that watches stays for as long as it likes
                        scope.deadline = self.clock.monotonic_at(self.clock.now() + IDLE_US)
                    channel.write(grpc.feed(await channel.receive()))
                if scope.cancelled_caught:
                    return
        finally:
            del self.open_now[channel]

    def changed(self) -> None:
        for channel, grpc in self.open_now.items():
            channel.write(grpc.changed())
