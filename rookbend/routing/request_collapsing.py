"""Request collapsing: requests for one object share a fill, which the first leads and the others wait for."""

from __future__ import annotations

from collections.abc import Iterable

from rookbend.interface import Settings
from rookbend.routing.request_state import CollapsedFill, ObjectKey, Request

TABLE_REQUESTS_RATIO = 0.5  # size of the table, relative to max_requests_in_flight
EXIT_TRANSFER_RATIO = 1.5  # a waiter stops waiting this many transfer times before its objective


class RequestCollapser:
    """The fills in flight that requests may wait for, by object and part."""

    def __init__(self, settings: Settings) -> None:
        self.fills: dict[ObjectKey, CollapsedFill] = {}
        self.max_fills = max(1, int(TABLE_REQUESTS_RATIO * settings.max_requests_in_flight))

    def start(self, leader: Request, waiters: Iterable[Request], now_us: int) -> bool:
        """Make a request the leader of a fill; False where the table is full, so that the fill has no waiters."""
        if len(self.fills) >= self.max_fills:
            return False
        fill = CollapsedFill(leader, now_us)
        self._set_leader(fill, leader)
        for waiter in waiters:
            self.wait(waiter, fill)
        return True

    def _set_leader(self, fill: CollapsedFill, leader: Request) -> None:
        self.fills[leader.key] = fill
        leader.collapsed_fill = fill
        leader.is_leader = True

    def wait(self, request: Request, fill: CollapsedFill) -> None:
        """Make a request a waiter of a fill."""
        request.collapsed_fill = fill
        fill.waiters[request] = None

    def discard(self, key: ObjectKey) -> None:
        """Remove a fill from the table, so that no more requests wait for it; its leader continues."""
        self.fills.pop(key)

    def stop_waiting(self, request: Request) -> None:
        """Remove a waiter from its fill."""
        fill = request.collapsed_fill
        if fill is not None:
            fill.waiters.pop(request, None)
        request.collapsed_fill = None

    def end(self, leader: Request) -> CollapsedFill | None:
        """End a leader's fill; returns it, or None where the table no longer holds it."""
        fill = leader.collapsed_fill
        leader.collapsed_fill = None
        leader.is_leader = False
        if fill is None or fill.leader is not leader or self.fills.get(leader.key) is not fill:
            return None
        return self.fills.pop(leader.key)

    def hand_over(self, leader: Request, now_us: int) -> Request | None:
        """Make the oldest waiter the leader in place of `leader`; returns it, or None where the fill has no waiter."""
        fill = self.end(leader)
        if fill is None or not fill.waiters:
            return None
        successor, _ = fill.waiters.popitem(last=False)
        fill.restart(successor, now_us)
        self._set_leader(fill, successor)
        return successor


def max_wait_us(request: Request, now_us: int) -> float:
    """Longest wait in microseconds for another request's fill that meets the own objective; 0 or below: none."""
    return request.objective_deadline_us - EXIT_TRANSFER_RATIO * request.expected_transfer_us - now_us
