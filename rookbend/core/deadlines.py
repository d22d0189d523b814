"""Runs the timers, and ensures that every request is answered by its deadline."""

from __future__ import annotations

from rookbend.core.attempts import AttemptRunner
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.held_requests import HeldRequests
from rookbend.core.model import Answer, FinalOutcome
from rookbend.core.open_request import EndReason, OpenRequest, OpenRequestTable
from rookbend.core.router_driver import RouterDriver
from rookbend.core.timers import Timer, TimerKind, TimerQueue
from rookbend.interface import RequestCancelled, TimerFired


class DeadlineEnforcer:
    """Runs due timers. `finish_all_at_us` is the time by which every request must be answered; 0: no such time."""

    def __init__(
        self,
        timers: TimerQueue,
        requests: OpenRequestTable,
        held: HeldRequests,
        attempts: AttemptRunner,
        driver: RouterDriver,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.finish_all_at_us = 0
        self._timers = timers
        self._requests = requests
        self._held = held
        self._attempts = attempts
        self._driver = driver
        self._clock = clock
        self._counters = counters
        timers.is_needed = self._is_needed

    def run_due(self) -> int:
        """Runs every timer that is due; returns when the next one is due, or 0 if there is none."""
        now_us = self._clock.now()
        for timer in self._timers.pop_due(now_us):
            kind = timer.kind
            subject = timer.subject
            if kind is TimerKind.ROUTER:
                self._driver.post(TimerFired(subject))
            elif kind is TimerKind.ATTEMPT_TIMEOUT:
                attempt = self._requests.attempt_in_flight(subject)
                if attempt is not None:
                    self._attempts.expire(attempt)
            elif kind is TimerKind.HELD_REQUEST:
                self._held.expire(subject)
            else:
                open_request = self._requests.by_id.get(subject)
                if open_request is not None and open_request.deadline_us <= now_us:
                    self._expire(open_request)
        return self._timers.next_due_us

    def _is_needed(self, timer: Timer) -> bool:
        if timer.kind is TimerKind.ATTEMPT_TIMEOUT:
            return self._requests.attempt_in_flight(timer.subject) is not None
        if timer.kind is TimerKind.ROUTER:
            return self._driver.router.needs_timer(timer.subject)
        if timer.kind is TimerKind.HELD_REQUEST:
            return self._held.is_held(timer.subject)
        return timer.subject in self._requests.by_id

    def finish_all_by(self, at_us: int) -> None:
        """Limits the deadline of every request, open or future, to `at_us`."""
        self.finish_all_at_us = at_us
        for open_request in list(self._requests.by_id.values()):
            if open_request.deadline_us > at_us:
                open_request.deadline_us = at_us
                self._timers.schedule(at_us, TimerKind.REQUEST_DEADLINE, open_request.id)
        self._held.deadlines_changed()

    def _expire(self, open_request: OpenRequest) -> None:
        """Fails a request that the router has not ended by its deadline."""
        if open_request.current_attempt is not None:
            self._attempts.expire(open_request.current_attempt)
        if self._requests.by_id.get(open_request.id) is open_request:
            self._counters.late_guard += 1
            self._requests.answer(open_request, Answer(FinalOutcome.FAILED), EndReason.DEADLINE)
            self._driver.post(RequestCancelled(open_request.id))
