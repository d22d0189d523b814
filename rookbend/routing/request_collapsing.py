"""Requests for one object collapse into one fill: the first leads, the others wait for it."""

from __future__ import annotations

from collections.abc import Iterable

from rookbend.interface import Settings
from rookbend.routing.request_state import CollapsedFill, ObjectKey, Request

TABLE_REQUESTS_RATIO = 0.5  # fills that may collapse requests, in the requests that a router may hold
EXIT_TRANSFER_RATIO = 1.5  # a waiter leaves when this many of its transfer times are left to its objective


class RequestCollapser:
    """The fills under way that requests may wait for, by object and part."""

    def __init__(self, settings: Settings) -> None:
        self.fills: dict[ObjectKey, CollapsedFill] = {}
        self.max_fills = max(1, int(TABLE_REQUESTS_RATIO * settings.max_requests_in_flight))

    def start(self, leader: Request, waiters: Iterable[Request], now_us: int) -> bool:
        """Make a request the leader of a fill; False where the table is full and it goes without waiters."""
        if len(self.fills) >= self.max_fills:
            return False
        fill = CollapsedFill(leader, now_us)
        self.fills[leader.key] = fill
        leader.collapsed_fill = fill
        leader.is_leader = True
        for waiter in waiters:
            self.wait(waiter, fill)
        return True

    def wait(self, request: Request, fill: CollapsedFill) -> None:
        """Add a waiter."""
        request.collapsed_fill = fill
        fill.waiters.append(request)

    def discard(self, key: ObjectKey) -> None:
        """Let no more requests wait for a fill; its leader goes on."""
        self.fills.pop(key)

    def stop_waiting(self, request: Request) -> None:
        """Take a waiter away from its fill."""
        fill = request.collapsed_fill
        if fill is not None and request in fill.waiters:
            fill.waiters.remove(request)
        request.collapsed_fill = None

    def end(self, leader: Request) -> CollapsedFill | None:
        """End a leader's fill; returns it, unless another took its place in the table."""
        fill = leader.collapsed_fill
        leader.collapsed_fill = None
        leader.is_leader = False
        if fill is None or fill.leader is not leader or self.fills.get(leader.key) is not fill:
            return None
        return self.fills.pop(leader.key)


def max_wait_us(request: Request, now_us: int) -> float:
    """How long a request may wait for another's fill and still meet its own objective; not above 0: not at all."""
    return request.objective_deadline_us - EXIT_TRANSFER_RATIO * request.expected_transfer_us - now_us
