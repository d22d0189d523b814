"""Requests that wait until the membership has caught up with the coordinator, see `net/catch_up.py`."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.core.clock import Clock
from rookbend.core.model import Answer, FinalOutcome
from rookbend.core.open_request import EndReason, OpenRequest, OpenRequestTable
from rookbend.core.timers import TimerKind, TimerQueue

MAX_HOLD_RATIO = 0.4  # of the time a request has left; a rejection in its first half costs its client little


class HeldRequests:
    """While `is_holding`, new requests are held; `release` passes on those that are still open, in their order.

    One that is held for `MAX_HOLD_RATIO` of its time is rejected. Bounded by the open requests.
    """

    def __init__(
        self,
        requests: OpenRequestTable,
        timers: TimerQueue,
        clock: Clock,
        arrive: Callable[[OpenRequest], None],
        retry_after_us: Callable[[], int],
    ) -> None:
        """`arrive` passes a request to the router; `retry_after_us` returns the Retry-After of a rejection."""
        self.is_holding = False
        self._requests = requests
        self._timers = timers
        self._clock = clock
        self._arrive = arrive
        self._retry_after_us = retry_after_us
        self._held: dict[int, OpenRequest] = {}

    def hold(self, open_request: OpenRequest) -> None:
        """Holds a request that has just been opened."""
        self._held[open_request.id] = open_request
        self._limit(open_request)

    def deadlines_changed(self) -> None:
        """Handles that the deadlines of open requests have become earlier."""
        for open_request in self._held.values():
            self._limit(open_request)

    def _limit(self, open_request: OpenRequest) -> None:
        now_us = self._clock.now()
        held_until_us = now_us + int(MAX_HOLD_RATIO * (open_request.deadline_us - now_us))
        self._timers.schedule(held_until_us, TimerKind.HELD_REQUEST, open_request.id)

    def release(self) -> int:
        """Ends the holding; returns the number of requests that were passed on."""
        self.is_holding = False
        held, self._held = self._held, {}
        still_open = [request for request in held.values() if self._is_open(request)]
        for open_request in still_open:
            if self._is_open(open_request):  # one may end while another is passed on
                self._arrive(open_request)
        return len(still_open)

    def is_held(self, number: int) -> bool:
        """Whether the request with this number is held."""
        return number in self._held

    def expire(self, number: int) -> None:
        """Rejects a request that has been held for too long; no attempt was made, so a retry does no harm."""
        open_request = self._held.pop(number, None)
        if open_request is not None and self._is_open(open_request):
            answer = Answer(FinalOutcome.REJECTED, retry_after_us=self._retry_after_us())
            self._requests.answer(open_request, answer, EndReason.CATCHING_UP)

    def _is_open(self, open_request: OpenRequest) -> bool:
        return self._requests.by_id.get(open_request.id) is open_request
