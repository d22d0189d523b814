"""Operators' orders for the whole fleet, and operators' commands on scopes."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import trio

from rookbend.leases.actions import CompleteOrder
from rookbend.leases.events import MoveRequested, OrderRequested
from rookbend.leases.leader_tasks import UnknownTaskError, parse_scope
from rookbend.leases.machine import LeaseMachine
from rookbend.leases.order_store import PIN_PREFIX
from rookbend.protocol.order_limits import SCOPE_PREFIX


class PendingOutcome:
    """The outcome of an order; `error` is valid once `completed` is set."""

    def __init__(self) -> None:
        self.completed = trio.Event()
        self.error = ""


class FleetOrders:
    """`now` reads the machine's clock in µs; `feed` passes an event to the machine."""

    def __init__(
        self,
        machine: LeaseMachine,
        now: Callable[[], int],
        feed: Callable[[OrderRequested | MoveRequested], None],
    ):
        self._machine = machine
        self._now = now
        self._feed = feed
        self._ids = itertools.count(1)
        self._pending: dict[int, PendingOutcome] = {}

    async def order(self, target: str, order: str, operator: str) -> str:
        """Requests an order for the whole fleet; returns "" once it is committed, or why it is not."""
        order_id = next(self._ids)
        outcome = PendingOutcome()
        self._pending[order_id] = outcome
        self._feed(OrderRequested(order_id, target, order, operator))
        try:
            await outcome.completed.wait()  # the machine completes each order by a deadline of its own
        finally:
            del self._pending[order_id]
        return outcome.error

    def complete(self, action: CompleteOrder) -> None:
        """Records the outcome of an order."""
        outcome = self._pending.get(action.id)
        if outcome is not None:
            outcome.error = action.error
            outcome.completed.set()

    async def command(self, command: str, scope_name: str, director: int) -> tuple[int, str]:
        """Moves, pins or unpins a scope; returns an HTTP status, and an error or ""."""
        try:
            scope = parse_scope(scope_name)
        except UnknownTaskError:
            return 404, f"no scope {scope_name}"
        if scope not in self._machine.leases.leases:
            return 404, f"{scope_name} is not enabled"
        if command != "unpin" and not 0 <= director < self._machine.config.director_count:
            return 400, f"no director {director}"
        if command == "move":
            return self._move(scope, scope_name, director)
        order = f"{PIN_PREFIX}{director}" if command == "pin" else "unpin"
        error = await self.order(f"{SCOPE_PREFIX}{scope_name}", order, "operator")
        return (503, error) if error else (200, "")

    def _move(self, scope: int, scope_name: str, director: int) -> tuple[int, str]:
        if not self._machine.leases.held_token(self._now(), scope):
            return 409, f"{scope_name} is not held by this director; only its holder can move it"
        self._feed(MoveRequested(scope, director))
        return 200, ""
