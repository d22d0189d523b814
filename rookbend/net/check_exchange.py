"""One run of a health check: connects, exchanges bytes in the check's protocol, and reports the result.

Whatever a member does, a run ends by its deadline, uses one descriptor, and buffers at most the check's `most_bytes`.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol, cast

import trio

from rookbend.core.check_result import AgentReport, CheckOutcome, CheckResult
from rookbend.core.clock import Clock
from rookbend.net.connector import open_socket
from rookbend.settings import Check

RECEIVE_BYTES = 16 << 10

CheckReport = AgentReport | CheckResult


class CheckExchange(Protocol):
    """The client side of a health protocol, without I/O."""

    @property
    def result(self) -> CheckReport | None:
        """The result of the exchange, or None until it is known."""

    def start(self) -> bytes:
        """Returns the first bytes to send."""

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes, empty at the end of the connection; returns the bytes to send."""


class WatchExchange(Protocol):
    """An exchange that reports each change; the caller that takes a `result` resets it to None."""

    result: CheckResult | None
    ended: bool
    pong_received: bool
    watch_unimplemented: bool

    def feed(self, data: bytes) -> bytes:
        """As in `CheckExchange`."""

    def ping(self) -> bytes:
        """Returns the bytes of a ping, which a live server answers."""


class WatchUnsupportedError(Exception):
    """The server does not implement Watch."""


def exchange_for(check: Check, address: tuple[str, int], watch: bool) -> CheckExchange | None:
    """The exchange for a check's protocol, or None if the check only connects."""
    # Each protocol is imported only if a check uses it.
    host = check.host or "{}:{}".format(*address)
    if check.type == "agent":
        from rookbend.protocol.agent_check import AgentCheckClient

        return AgentCheckClient(check.send, check.most_bytes)
    if check.type == "http":
        from rookbend.protocol.http_check import HttpCheckClient

        return HttpCheckClient(check.method, check.path, host, check.expect_status, check.expect_body, check.most_bytes)
    if check.type in ("grpc", "grpc-watch"):
        from rookbend.protocol.grpc_health_client import GrpcHealthClient

        return GrpcHealthClient(host, check.service, watch)
    return None


def proxy_preface(check: Check, sock: socket.socket) -> bytes:
    """The PROXY protocol header that the check's settings ask for; empty if they ask for none."""
    if check.proxy == "no":
        return b""
    from rookbend.protocol.proxy import local_header, proxy_header

    if check.proxy == "local":
        return local_header()
    return proxy_header(sock.getsockname()[:2], sock.getpeername()[:2])


class CheckRun:
    """One run of a check of one member."""

    def __init__(
        self,
        check: Check,
        address: tuple[str, int],
        clock: Clock,
        watch: bool,
        report: Callable[[CheckReport], None],
        interval_us: Callable[[], int],
    ):
        """`report` is called with each status of a Watch; `interval_us` returns the time between two pings of a
        Watch, or 0 once the check or the member was removed or changed."""
        self._check = check
        self._address = address
        self._clock = clock
        self._report = report
        self._interval_us = interval_us
        self._exchange = exchange_for(check, address, watch)

    async def run(self, started_us: int) -> CheckReport:
        """Returns the result of the check, or how a Watch ended; the deadline counts from `started_us`.

        Raises:
            WatchUnsupportedError: the server does not implement Watch.
        """
        sock = None
        try:
            with trio.CancelScope() as scope:
                scope.deadline = self._clock.monotonic_at(started_us + self._check.answer_by_us)
                sock = await open_socket(self._address)
                return await self._exchange_on(sock, scope)
        except ConnectionRefusedError:
            return CheckResult(CheckOutcome.REFUSED, "connection refused")
        except OSError as error:
            return CheckResult(CheckOutcome.BROKEN, error.strerror or type(error).__name__)
        finally:
            if sock is not None:
                sock.close()
        return CheckResult(CheckOutcome.SILENT, "no connection" if sock is None else "no complete answer")

    async def _exchange_on(self, sock: socket.socket, scope: trio.CancelScope) -> CheckReport:
        exchange = self._exchange
        if exchange is None:
            return CheckResult(CheckOutcome.PASSED, "")
        await _send(sock, proxy_preface(self._check, sock) + exchange.start())
        if getattr(exchange, "watch", False):
            return await self._follow(cast(WatchExchange, exchange), sock, scope)
        while exchange.result is None:
            await _receive(sock, exchange)
        return exchange.result

    async def _follow(self, exchange: WatchExchange, sock: socket.socket, scope: trio.CancelScope) -> CheckReport:
        """Follows a Watch to its end.

        Between two pings a Watch may be silent. A ping that is not answered by the deadline ends it, since nothing
        else reveals a dead connection. With each answer the latest status is reported again.
        """
        status: CheckResult | None = None
        while not exchange.ended:
            await _receive(sock, exchange)
            status = _take_status(exchange) or status
            if status is None or not exchange.pong_received or exchange.ended:
                continue
            self._report(status)
            interval_us = self._interval_us()
            if not interval_us:
                return status
            scope.deadline = float("inf")
            await self._wait_for_change(exchange, sock, interval_us)
            changed = _take_status(exchange)
            if changed is not None:
                status = changed
                self._report(status)  # at once, without waiting for the next ping
            scope.deadline = self._clock.monotonic_at(self._clock.now() + self._check.answer_by_us)
            if not exchange.ended:
                await _send(sock, exchange.ping())
        if exchange.watch_unimplemented:
            raise WatchUnsupportedError
        assert exchange.result is not None  # an exchange that has ended has a result
        return exchange.result

    async def _wait_for_change(self, exchange: WatchExchange, sock: socket.socket, interval_us: int) -> None:
        with trio.move_on_at(self._clock.monotonic_at(self._clock.now() + interval_us)):
            while not exchange.ended and exchange.result is None:
                await _receive(sock, exchange)


def _take_status(exchange: WatchExchange) -> CheckResult | None:
    """The status received since the last call; the result of a Watch that has ended is not taken."""
    if exchange.ended:
        return None
    status = exchange.result
    exchange.result = None
    return status


async def _receive(sock: socket.socket, exchange: CheckExchange | WatchExchange) -> None:
    """Feeds the next received bytes to the exchange and sends its reply."""
    await trio.lowlevel.wait_readable(sock)
    # A reset raises OSError and does not count as the end of the stream: the bytes before it may be a part of a line,
    # which would have another meaning.
    data = sock.recv(RECEIVE_BYTES)
    reply = exchange.feed(data)
    if reply and data:
        await _send(sock, reply)


async def _send(sock: socket.socket, data: bytes) -> None:
    view = memoryview(data)
    while view:
        try:
            view = view[sock.send(view) :]
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
