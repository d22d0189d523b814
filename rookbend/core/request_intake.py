"""Accepts requests: opens each and passes it to the router, or answers it at once."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.deadlines import DeadlineEnforcer
from rookbend.core.held_requests import HeldRequests
from rookbend.core.model import Answer, FinalOutcome, Request
from rookbend.core.open_request import OpenRequest, OpenRequestTable
from rookbend.core.rejection import retry_after_us
from rookbend.core.router_driver import RouterDriver
from rookbend.core.timers import TimerKind, TimerQueue
from rookbend.interface import Idempotency, RequestArrived, Settings


class RequestIntake:
    """A request fails at once if its deadline has passed, or if another one under its id is open or may have run:
    members identify requests by their ids alone. A write is rejected if its id could not be remembered.

    `held` has the requests that wait until the membership has caught up with the coordinator.
    """

    def __init__(
        self,
        settings: Settings,
        requests: OpenRequestTable,
        held: HeldRequests,
        timers: TimerQueue,
        deadlines: DeadlineEnforcer,
        driver: RouterDriver,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.settings = settings
        self._requests = requests
        self._timers = timers
        self._deadlines = deadlines
        self._driver = driver
        self._clock = clock
        self._counters = counters
        self._held = held

    def submit(self, request: Request, reply: Callable[[Answer], None]) -> OpenRequest | None:
        """Accepts a request; `reply` is called exactly once, unless the request is cancelled first.

        Returns None if the request is answered at once.
        """
        self._counters.requests += 1
        self._counters.retries += request.is_retry
        finish_all_at_us = self._deadlines.finish_all_at_us
        if finish_all_at_us:
            request.deadline_us = min(request.deadline_us, finish_all_at_us)
        traffic_class = self.settings.classes[request.traffic_class]
        is_idempotent = traffic_class.idempotency is Idempotency.IDEMPOTENT and not traffic_class.is_write
        outcome = self._immediate_outcome(request, is_idempotent)
        if outcome is not None:
            self._counters.count_answer(request.class_name, outcome)
            pause_us = retry_after_us(self.settings) if outcome is FinalOutcome.REJECTED else 0
            reply(Answer(outcome, retry_after_us=pause_us))
            return None
        open_request = self._requests.add(request, reply, is_idempotent, self.settings.max_attempts)
        self._timers.schedule(request.deadline_us, TimerKind.REQUEST_DEADLINE, open_request.id)
        if self._held.is_holding:
            self._held.hold(open_request)
        else:
            self.pass_on(open_request)
        return open_request

    def pass_on(self, open_request: OpenRequest) -> None:
        """Passes a request to the router."""
        request = open_request.request
        traffic_class = self.settings.classes[request.traffic_class]
        self._driver.post(
            RequestArrived(
                open_request.id,
                request.traffic_class,
                request.object_id,
                open_request.deadline_us,
                0.0,
                request.group,
                request.part,
                0,
                request.is_retry,
                traffic_class.is_write,
            )
        )

    def _immediate_outcome(self, request: Request, is_idempotent: bool) -> FinalOutcome | None:
        """The outcome of a request that is not passed to the router; None if it is."""
        requests = self._requests
        if request.deadline_us <= self._clock.now() or request.request_id in requests.request_ids:
            return FinalOutcome.FAILED
        if not is_idempotent and requests.recent_ids.receive_ids is not None:
            requests.recent_ids.receive_ids()
        if requests.recent_ids.contains(request.request_id):
            requests.note_repeated()
            return FinalOutcome.FAILED
        if not is_idempotent and not requests.recent_ids.has_capacity_for_write():
            return FinalOutcome.REJECTED
        return None
