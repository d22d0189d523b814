"""Starts the attempts that the router decides on, and finishes each exactly once, however its request ends."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from rookbend.core import retry_safety
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.model import Answer, Attempt, AttemptResult, Endpoint, FinalOutcome
from rookbend.core.open_request import EndReason, OpenRequest, OpenRequestTable
from rookbend.core.ports import Backend
from rookbend.core.rejection import rejection, retry_after_us
from rookbend.core.router_driver import RouterDriver
from rookbend.core.send_guard import WithholdReason
from rookbend.core.timers import AttemptKey, TimerKind, TimerQueue
from rookbend.interface import (
    NEVER_EXECUTED,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    Fetch,
    FetchCached,
    Settings,
)

COUNTER_NAMES: dict[AttemptStatus, str] = {
    status: status.name.lower() for status in AttemptStatus if status is not AttemptStatus.CANCELLED
}


class AttemptRunner:
    """Starts, cancels and finishes attempts; `backend` must be set before the first one.

    `on_attempt(attempt, result)` is called when an attempt starts, with None, and when it ends, with its result.
    `on_attempt_end(server, status)` is called only when an attempt ends.
    """

    backend: Backend

    def __init__(
        self,
        settings: Settings,
        requests: OpenRequestTable,
        endpoints: Mapping[int, Endpoint],
        driver: RouterDriver,
        timers: TimerQueue,
        clock: Clock,
        counters: Counters,
        log: Callable[..., None],
    ) -> None:
        self.settings = settings
        self.oldest_copy_us = 0  # copies that left the origin before this time are not accepted; 0: no limit
        self.on_attempt: Callable[[Attempt, AttemptResult | None], None] | None = None
        self.on_attempt_end: Callable[[int, AttemptStatus], None] | None = None
        self._requests = requests
        self._endpoints = endpoints
        self._driver = driver
        self._timers = timers
        self._clock = clock
        self._counters = counters
        self._log = log

    def start(self, action: FetchCached | Fetch) -> None:
        """Starts the attempt that the router decided on, or ends it as MOOT if it is not permitted."""
        now_us = self._driver.now_us
        open_request = self._requests.by_id.get(action.request)
        if open_request is None:
            return self._finish_unsent(action, 0, is_final=True)
        number = open_request.attempt_count
        open_request.attempt_count += 1
        endpoint = self._endpoints.get(action.server)
        if endpoint is None or not self._may_start(open_request, number, endpoint, now_us):
            return self._finish_unsent(action, number, is_final=False)
        deadline_us = open_request.deadline_us
        due_us = min(now_us + action.timeout_us, deadline_us) if action.timeout_us else deadline_us
        attempt = Attempt(open_request.request, open_request.id, number, action.server, 0, now_us, due_us)
        if type(action) is Fetch:
            self._set_fill_options(attempt, action, now_us)
        if open_request.may_have_run:
            attempt.retry_deadline_us = retry_safety.retry_deadline_us(open_request, self.settings)
        # After an attempt was lost to a connection reset, the next one uses a new connection. Writes do not use
        # new connections in general: when they did, each director held dozens of idle connections to the origin,
        # and its connection table, shared by the fleet, refused nine writes in ten (docs/design/fleet.md).
        attempt.new_connection = open_request.had_reset
        open_request.current_attempt = attempt
        self._counters.attempts += 1
        if number:
            self._log_retry(open_request, attempt, endpoint)
        if self.on_attempt is not None:
            self.on_attempt(attempt, None)
        if due_us < deadline_us:
            self._timers.schedule(due_us, TimerKind.ATTEMPT_TIMEOUT, AttemptKey(attempt.id, number))
        if not open_request.is_idempotent:
            self._requests.recent_ids.write_starts(attempt.request.request_id, attempt.request.traffic_class)
        self.backend.send(attempt, endpoint)

    def _log_retry(self, open_request: OpenRequest, attempt: Attempt, endpoint: Endpoint) -> None:
        previous = open_request.last_status
        source = self._endpoints.get(attempt.source)
        self._log(
            "attempt_retried",
            request=attempt.request.request_id,
            attempt=attempt.number,
            member=endpoint.name,
            source=source.name if source is not None else "",
            after=previous.name.lower() if previous is not None else "",
        )

    def _may_start(self, open_request: OpenRequest, number: int, endpoint: Endpoint, now_us: int) -> bool:
        """Permits one attempt at a time, a limited number of them, none after the deadline and no unsafe retry."""
        settings = self.settings
        if open_request.current_attempt is not None or open_request.deadline_us <= now_us:
            return False
        if number >= open_request.max_attempts or number >= settings.max_attempts:
            return False
        if not open_request.may_have_run:
            return True
        return retry_safety.may_retry(open_request, endpoint.member, settings, now_us)

    def _set_fill_options(self, attempt: Attempt, action: Fetch, now_us: int) -> None:
        attempt.source = 0 if action.source == action.server else action.source
        attempt.retention_rank = action.retention_rank
        attempt.max_age_us = action.max_age_us
        attempt.join_fill = action.join_fill
        attempt.only_if_cached = action.only_if_cached
        attempt.refresh_in_background = action.refresh_in_background
        attempt.parent_no_store = action.parent_no_store
        if self.oldest_copy_us:
            # Covers purges that were issued while this director could not receive them.
            oldest_age_us = max(1, now_us - self.oldest_copy_us)
            attempt.max_age_us = min(attempt.max_age_us or oldest_age_us, oldest_age_us)

    def _finish_unsent(self, action: FetchCached | Fetch, number: int, is_final: bool) -> None:
        self._counters.moot += 1
        self._driver.enqueue(AttemptFinished(action.request, number, action.server, AttemptStatus.MOOT, 0, is_final))

    def cancel(self, action: CancelAttempt) -> None:
        """Aborts an attempt that the router no longer needs, if it is the one in flight."""
        open_request = self._requests.by_id.get(action.request)
        attempt = open_request.current_attempt if open_request is not None else None
        if attempt is not None and attempt.number == action.attempt:
            self.backend.abort(attempt)
            self.finished(attempt, AttemptResult(AttemptStatus.CANCELLED))

    def abandon(self, open_request: OpenRequest) -> None:
        """Aborts the attempt in flight of a closed request."""
        attempt = open_request.current_attempt
        open_request.current_attempt = None
        if attempt is not None and not attempt.is_finished:
            self.backend.abort(attempt)
            self.finished(attempt, AttemptResult(AttemptStatus.CANCELLED))

    def withdraw(self, open_request: OpenRequest, attempt: Attempt) -> None:
        """Aborts the attempt in flight of a request that is about to be answered; the caller calls `finished`."""
        open_request.current_attempt = None
        if self.backend.abort(attempt) not in NEVER_EXECUTED:
            retry_safety.note_possible_run(open_request, attempt, self._endpoints.get(attempt.server))

    def withhold(self, attempt: Attempt, reason: WithholdReason) -> None:
        """Ends an attempt of which nothing was written, since it may not be sent any more."""
        self._counters.withheld += 1
        self._counters.increment(f"withheld_{reason.value}")
        if not attempt.is_finished:
            endpoint = self._endpoints.get(attempt.server)
            member = endpoint.name if endpoint is not None else ""
            self._log("attempt_withheld", request=attempt.request.request_id, member=member, reason=reason.value)
        self.finished(attempt, AttemptResult(AttemptStatus.MOOT))

    def expire(self, attempt: Attempt) -> None:
        """Ends an attempt that has timed out."""
        self.finished(attempt, AttemptResult(self.backend.abort(attempt)))

    def finished(self, attempt: Attempt, result: AttemptResult) -> None:
        """Handles the end of an attempt. Only the first call for an attempt has an effect."""
        if attempt.is_finished:
            return
        attempt.is_finished = True
        self._timers.note_obsolete()
        status = result.status
        counter_name = COUNTER_NAMES.get(status)
        if counter_name is not None:
            self._counters.increment(counter_name)
        open_request = self._requests.by_id.get(attempt.id)
        is_final = open_request is None
        if open_request is not None and open_request.current_attempt is attempt:
            open_request.current_attempt = None
            is_final = self._answer_if_last(open_request, attempt, result)
        self._driver.post(
            AttemptFinished(
                attempt.id,
                attempt.number,
                attempt.server,
                status,
                self._clock.now() - attempt.sent_us,
                is_final,
                result.detail,
                result.fill_queue_us,
                result.load_report,
            )
        )
        if self.on_attempt_end is not None:
            self.on_attempt_end(attempt.server, status)
        if self.on_attempt is not None:
            self.on_attempt(attempt, result)

    def _answer_if_last(self, open_request: OpenRequest, attempt: Attempt, result: AttemptResult) -> bool:
        """Answers the request if no further attempt may follow this one; returns whether it was answered."""
        status = result.status
        open_request.last_status = status
        if status is AttemptStatus.OK:
            answer = Answer(FinalOutcome.SERVED, result.body, result.unchanged, 0, attempt.server)
            self._requests.answer(open_request, answer)
            return True
        if status not in NEVER_EXECUTED:
            retry_safety.note_possible_run(open_request, attempt, self._endpoints.get(attempt.server))
        if status is AttemptStatus.RESET:
            open_request.had_reset = True
        if not open_request.client_half_closed:
            return False
        self._counters.clients_left += 1
        answer = rejection(open_request, retry_after_us(self.settings))
        self._requests.answer(open_request, answer, EndReason.CLIENT_LEFT)
        return True
