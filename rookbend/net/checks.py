"""The driver of checks: connects, moves an exchange's bytes, and hands what it came to to the desk.

Whatever a member does, a check ends by its deadline, holds one descriptor, and keeps `most_bytes` at most.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import trio

from rookbend.core.check_result import AgentReport, CheckOutcome
from rookbend.core.clock import Clock
from rookbend.health.check_schedule import cadence_of, policies_of
from rookbend.health.events import AgentReported, CheckCompleted
from rookbend.health.service import HealthService
from rookbend.net.connector import open_socket
from rookbend.net.scheduling import Runner
from rookbend.scheduling.scheduler import Plan
from rookbend.settings import Check

CHECK, WATCH = "check", "watch"  # kinds of background work
RECEIVE = 16 << 10


Result = tuple[CheckOutcome, str] | AgentReport


class WatchUnsupportedError(Exception):
    """The server has no Watch."""


def exchange_for(check: Check, address: tuple[str, int], watch: bool):
    """The state machine that speaks this check's protocol, or None for a plain connect. Each protocol is
    imported only where a check needs it."""
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


def preface(check: Check, sock: socket.socket) -> bytes:
    if check.proxy == "no":
        return b""
    from rookbend.protocol.proxy import local_header, proxy_header

    return local_header() if check.proxy == "local" else proxy_header(sock.getsockname()[:2], sock.getpeername()[:2])


def kind_of(check: Check) -> str:
    """A Watch lasts, and would hold a place among the checks for good: it has a budget of its own."""
    return WATCH if check.type == "grpc-watch" else CHECK


class CheckDriver:
    """Keeps a job in the plan for each check of each member, and runs them."""

    def __init__(self, health: HealthService, runner: Runner, clock: Clock, checks: tuple[Check, ...]):
        self.health, self.runner, self.clock = health, runner, clock
        self.plan: Plan = runner.plan
        self.checks = {c.name: c for c in checks}
        self.made = 0
        self.no_watch: set[tuple] = set()  # keys of servers without a Watch; dropped with the member
        # Whose a member's checks are, where not all are our own: (whether to make one, the rest after it).
        self.rests: Callable[[int, int], tuple[bool, int]] = lambda server, interval_us: (True, 0)
        self.on_result: Callable[[int], None] = lambda server: None
        runner.work[CHECK] = runner.work[WATCH] = self._run
        health.on_members = self.members_changed

    # Which checks there are

    def members_changed(self, added: list[int], removed: list[int]) -> None:
        now = self.clock.now()
        for server in removed:
            for check in self.checks.values():
                self._drop(server, check)
        for server in added:
            for policy in policies_of(self.health.registry.members.get(server)):
                # Spread over an interval: a thousand members that come in one event are not asked at once.
                key = kind_of(self.checks[policy.name]), server, policy.name
                self._put(key, now + self.plan.spread(key, policy.interval_us))
        if added or removed:
            self.runner.wake()

    def replace(self, checks: tuple[Check, ...]) -> None:
        """New settings, which the board has heard of already. What is out of a check that is no more ends
        by itself, unheard."""
        old, self.checks = self.checks, {c.name: c for c in checks}
        for name, check in old.items():
            if self.checks.get(name) == check:
                self.checks[name] = check  # unchanged: what is out of it still counts
                continue
            for server in self.health.registry.members:
                self._drop(server, check)
        self.members_changed(list(self.health.registry.members), [])

    def _drop(self, server: int, check: Check) -> None:
        key = kind_of(check), server, check.name
        self.plan.drop(key)
        self.no_watch.discard(key)

    def _put(self, key: tuple, due_us: int) -> None:
        cadence = cadence_of(self.health.registry.members.get(key[1]), key[2])
        if cadence is not None:
            self.plan.put(key, due_us, cadence[1], key[0])

    # A check

    async def _run(self, key: tuple) -> None:
        kind, server, name = key
        check, row, registry = self.checks.get(name), self.health.registry.members.get(server), self.health.registry
        if check is None or row is None:
            return
        ours, least_us = self.rests(server, check.interval_us)
        if not ours:
            return self._put(key, self.clock.now() + least_us)
        host, port = row.endpoint.address
        began, number = self.clock.now(), registry.begin_check()
        watch = kind == WATCH and key not in self.no_watch
        self.made += 1

        def heard(result: Result) -> None:
            if isinstance(result, AgentReport):
                self.health.feed(AgentReported(server, name, number, result))
            else:
                self.health.feed(CheckCompleted(server, name, number, *result))
            self.on_result(server)

        def rest_us() -> int:
            cadence, row = cadence_of(registry.members.get(server), name), registry.members.get(server)
            if cadence is None or self.checks.get(name) is not check or row.endpoint.address != (host, port):
                return 0  # the check or the member is no more, or is elsewhere
            return cadence[0]

        address = host, check.port or port
        exchange = exchange_for(check, address, watch)
        try:
            heard(await self._ask(check, exchange, address, began, heard, rest_us))
        except WatchUnsupportedError:
            self.no_watch.add(key)  # the server has no Watch: from now on its Check is called
        if self.checks.get(name) is check:
            rest = max(rest_us() or check.interval_us, least_us)
            # A twentieth either way: checks that began together don't stay together.
            self._put(
                key, max(self.clock.now(), began + rest - rest // 20 + self.plan.spread((key, number), rest // 10))
            )

    async def _ask(
        self,
        check: Check,
        exchange,
        address: tuple[str, int],
        began_us: int,
        heard: Callable[[Result], None],
        rest_us: Callable[[], int],
    ) -> Result:
        """One check, by its deadline. A Watch tells of changes by `heard`; how it ends is its result."""
        sock = None
        try:
            with trio.CancelScope() as scope:
                scope.deadline = self.clock.monotonic_at(began_us + check.answer_by_us)
                sock = await open_socket(address)
                if exchange is None:
                    return CheckOutcome.PASSED, ""
                await send(sock, preface(check, sock) + exchange.start())
                if getattr(exchange, "watch", False):
                    return await self._watch(check, exchange, sock, scope, heard, rest_us)
                while exchange.result is None:
                    await move(sock, exchange)
                return exchange.result
        except ConnectionRefusedError:
            return CheckOutcome.REFUSED, "connection refused"
        except OSError as error:
            return CheckOutcome.BROKEN, error.strerror or type(error).__name__
        finally:
            if sock is not None:
                sock.close()
        return CheckOutcome.SILENT, "no connection" if sock is None else "no whole answer"

    async def _watch(
        self,
        check: Check,
        exchange,
        sock: socket.socket,
        scope: trio.CancelScope,
        heard: Callable[[Result], None],
        rest_us: Callable[[], int],
    ) -> Result:
        """Follows a Watch to its end. Between two pings it may say nothing; a ping that nobody answers by
        the deadline ends it. Guards against a stream that ends without a word: nothing else would show it.
        With each answer the status told last counts once more, as it holds until another is told."""
        status: Result | None = None
        while not exchange.ended:
            await move(sock, exchange)
            if exchange.result is not None and not exchange.ended:
                status, exchange.result = exchange.result, None
            if status is None or not exchange.pong_received or exchange.ended:
                continue
            heard(status)
            rest = rest_us()
            if not rest:
                return status
            scope.deadline = float("inf")
            with trio.move_on_at(self.clock.monotonic_at(self.clock.now() + rest)):
                while not exchange.ended and exchange.result is None:
                    await move(sock, exchange)
            if exchange.result is not None and not exchange.ended:
                status, exchange.result = exchange.result, None
                heard(status)  # a change counts at once, not with the next ping
            scope.deadline = self.clock.monotonic_at(self.clock.now() + check.answer_by_us)
            if not exchange.ended:
                await send(sock, exchange.ping())
        if exchange.watch_unimplemented:
            raise WatchUnsupportedError
        return exchange.result


async def move(sock: socket.socket, exchange) -> None:
    """The next bytes, and what is to be sent for them. A reset is an OSError, not an end: what came before
    it may be half a line, with another meaning than the whole."""
    await trio.lowlevel.wait_readable(sock)
    data = sock.recv(RECEIVE)
    out = exchange.feed(data)
    if out and data:
        await send(sock, out)


async def send(sock: socket.socket, data: bytes) -> None:
    view = memoryview(data)
    while view:
        try:
            view = view[sock.send(view) :]
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
