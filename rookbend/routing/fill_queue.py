"""Requests that wait until a fill may start."""

from __future__ import annotations

from rookbend.routing.request_state import Request

FILL_TRANSFER_RATIO = 2.5  # duration of a fill, relative to the request's transfer time
MIN_TRANSFER_US = 1.0


def can_be_on_time(request: Request, now_us: int) -> bool:
    """Whether a fill that starts now meets the request's objective."""
    return now_us + FILL_TRANSFER_RATIO * request.expected_transfer_us <= request.objective_deadline_us


def latest_start_us(request: Request) -> float:
    """Latest start of a fill that meets the request's objective."""
    return request.objective_deadline_us - FILL_TRANSFER_RATIO * request.expected_transfer_us


class FillQueue:
    """Waiting requests, oldest first; `open_requests` holds all requests without a final answer."""

    def __init__(self, open_requests: dict[int, Request]) -> None:
        self.open_requests = open_requests
        self.waiting: dict[Request, None] = {}

    def admits(self, request: Request, now_us: int) -> bool:
        """Whether a request may wait: it is open, has no attempt in flight, and can be on time."""
        return request.id in self.open_requests and request.attempt is None and can_be_on_time(request, now_us)

    def add(self, request: Request) -> None:
        """Let a request wait."""
        self.waiting[request] = None

    def has(self, request: Request) -> bool:
        """Whether a request waits."""
        return request in self.waiting

    def take_best(self, now_us: int) -> Request | None:
        """Remove and return the request with the highest `priority` among those that can be on time."""
        candidates = [request for request in self.waiting if self.admits(request, now_us)]
        if not candidates:
            return None
        best = max(candidates, key=priority)
        self.discard(best)
        return best

    def discard(self, request: Request) -> None:
        """Remove a request if it waits."""
        self.waiting.pop(request, None)


def priority(request: Request) -> float:
    """Priority weight per microsecond of transfer."""
    return request.traffic_class.priority_weight / max(request.expected_transfer_us, MIN_TRANSFER_US)
