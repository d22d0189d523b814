"""The lifecycle of a request, from its arrival to its final answer.

A read waits for a fill of its object that is in flight, or leads one at the cache and the parent that the object
hashes to. A write goes to the origin.
"""

from __future__ import annotations

from collections.abc import Iterable

from rookbend.interface import Action, AttemptFinished, AttemptStatus, Fail
from rookbend.routing.admission import AdmissionControl
from rookbend.routing.cached_copies import CachedCopies
from rookbend.routing.fill_concurrency import FillConcurrencyLimit
from rookbend.routing.fill_queue import FillQueue, latest_start_us
from rookbend.routing.purge_log import PurgeLog
from rookbend.routing.read_sending import ReadSender
from rookbend.routing.request_collapsing import RequestCollapser, max_wait_us
from rookbend.routing.request_state import Attempt, CollapsedFill, Request
from rookbend.routing.retry_policy import Denial, NextStep, RetryPolicy
from rookbend.routing.timers import TimerTable
from rookbend.routing.write_sending import WriteSender

ROUND_UP_US = 1


class RequestLifecycle:
    """Advances requests from step to step. `now_us` and `actions` belong to the event that is being handled."""

    def __init__(
        self,
        open_requests: dict[int, Request],
        admission: AdmissionControl,
        collapser: RequestCollapser,
        copies: CachedCopies,
        purges: PurgeLog,
        reads: ReadSender,
        writes: WriteSender,
        retry_policy: RetryPolicy,
        fill_queue: FillQueue,
        fill_limit: FillConcurrencyLimit,
        timers: TimerTable,
    ) -> None:
        self.open_requests = open_requests
        self.admission = admission
        self.collapser = collapser
        self.copies = copies
        self.purges = purges
        self.reads = reads
        self.writes = writes
        self.retry_policy = retry_policy
        self.fill_queue = fill_queue
        self.fill_limit = fill_limit
        self.timers = timers
        self.now_us = 0
        self.actions: list[Action] = []

    def start(self, request: Request) -> None:
        """Open a request that has arrived."""
        self.open_requests[request.id] = request
        if not self.admission.admits(request.class_index):
            self.reject(request)
        elif request.is_write:
            self.send_write(request)
        else:
            self.join_or_lead(request)

    def join_or_lead(self, request: Request) -> None:
        """Wait for a fill of the object that is in flight, or lead one; neither where a copy is known."""
        purged_us = self.purges.latest(request.object_id, request.group, self.now_us)
        fill = self.collapser.fills.get(request.key)
        if fill is None:
            if self.copies.location(request, purged_us, self.now_us) is not None:
                self.send(request)  # a server holds a copy, so no fill is needed
            else:
                self.lead(request)
        elif purged_us is not None and fill.started_us <= purged_us:
            self.collapser.discard(request.key)  # it may deliver the purged copy: no request may wait for it
            self.lead(request, fill.waiters)
        else:
            self._wait(request, fill)

    def _wait(self, request: Request, fill: CollapsedFill) -> None:
        self.collapser.wait(request, fill)
        wait_us = max_wait_us(request, self.now_us)
        if wait_us > 0:
            self.actions.append(self.timers.start(wait_us, request))
        else:
            self._stop_waiting(request, fill)

    def _stop_waiting(self, request: Request, fill: CollapsedFill) -> None:
        """Send a waiter to the cache of its fill, to join the fill there."""
        self.detach(request)
        self.send(request, fill.server, fill.source)

    def lead(self, request: Request, waiters: Iterable[Request] = ()) -> None:
        """Lead a fill. Where the table is full, the request is sent without waiters and may join at the cache."""
        self.collapser.start(request, waiters, self.now_us)
        self.send(request)

    def send(self, request: Request, server: int | None = None, source: int | None = None) -> None:
        """Send a read, to `server` and to fill from `source` where these are given and can take it, or reject it."""
        if not self._send_or_queue(request, server, source):
            self.reject(request)

    def _send_or_queue(self, request: Request, server: int | None = None, source: int | None = None) -> bool:
        """Send a read or let it wait for fill capacity; returns False where it has to be rejected."""
        denial = self.reads.send(request, server, source, self.now_us, self.actions)
        if denial is None:
            return True
        if denial is Denial.NO_FILL_CAPACITY and self.fill_queue.admits(request, self.now_us):
            self._queue(request)
            return True
        return False

    def _queue(self, request: Request) -> None:
        """Wait until a fill may start, as long as the request can be on time."""
        self.fill_queue.add(request)
        wait_us = latest_start_us(request) - self.now_us + ROUND_UP_US
        self.actions.append(self.timers.start(wait_us, request))

    def send_write(self, request: Request) -> None:
        """Send a write, or answer it where no attempt can be made."""
        if self.writes.send(request, self.now_us, self.actions) is not None:
            self.reject(request)

    def start_queued_fill(self) -> bool:
        """Send the request of the highest priority in the fill queue; False where none can be on time."""
        request = self.fill_queue.take_best(self.now_us)
        if request is None:
            return False
        self.send(request)
        return True

    def timer_fired(self, request: Request, token: int) -> None:
        """Handle a request's timer: its wait for a fill, its wait for fill capacity or a write's backoff is over."""
        if request.id not in self.open_requests or request.attempt is not None or request.timer_token != token:
            return
        if request.collapsed_fill is not None and not request.is_leader:
            self._stop_waiting(request, request.collapsed_fill)
        elif self.fill_queue.has(request):
            self.reject(request)
        elif request.is_write:
            self.send_write(request)

    def attempt_finished(self, attempt: Attempt, event: AttemptFinished) -> None:
        """Take the step that follows the end of an attempt, then start a queued fill where there is capacity."""
        request = attempt.request
        if request.id in self.open_requests and (request.attempt is None or event.final):
            self._apply_step(self.retry_policy.next_step(request, attempt, event, self.now_us), request, attempt)
        has_capacity = self.fill_limit.has_capacity(self.now_us)
        if has_capacity and event.status is not AttemptStatus.FULL:  # a rejected fill frees no capacity
            self.start_queued_fill()

    def _apply_step(self, step: NextStep, request: Request, attempt: Attempt) -> None:
        if step is NextStep.SERVED:
            self._close(request)
            self._release_waiters(request, attempt)
        elif step is NextStep.FAILED:
            self._close(request)
            self.promote_waiter(request)
        elif step is NextStep.BACK_OFF:
            self.actions.append(self.timers.start(self.retry_policy.write_backoff_us(request), request))
        elif step is NextStep.REJECT:
            self.reject(request)
        elif step is NextStep.FAIL:
            self.fail(request)
        elif step is NextStep.RETRY_WRITE:
            self.send_write(request)
        elif step is NextStep.FILL_AFTER_MISS:
            request.cache_missed = True
            self.send(request, attempt.server)
        elif step is NextStep.HAND_OVER_AND_RETRY:
            self.promote_waiter(request)
            self.join_or_lead(request)
        else:
            self.send(request)

    def _release_waiters(self, leader: Request, attempt: Attempt) -> None:
        """Send the waiters of a served leader to the same cache and source, where they may join a fill."""
        fill = self.collapser.end(leader)
        for waiter in fill.waiters if fill is not None else ():
            waiter.collapsed_fill = None
            self.send(waiter, attempt.server, attempt.source)

    def promote_waiter(self, leader: Request) -> None:
        """Let the oldest waiter lead in place of a leader that was not served; it selects its own cache and source.

        Waiters that can't be sent are rejected here, one after the other: `reject` would call this method again for
        each of them, and a fill may have more waiters than the call stack has room for.
        """
        successor = self.collapser.hand_over(leader, self.now_us)
        while successor is not None and not self._send_or_queue(successor):
            self._answer_rejected(successor)
            successor = self.collapser.hand_over(successor, self.now_us)

    def detach(self, request: Request) -> None:
        """Remove a request from the fill queue and from the fill that it leads or waits for."""
        self.fill_queue.discard(request)
        if request.is_leader:
            self.promote_waiter(request)
        else:
            self.collapser.stop_waiting(request)

    def cancel(self, request_id: int) -> None:
        """Drop a request that its client no longer waits for."""
        request = self.open_requests.get(request_id)
        if request is not None:
            self._close(request)
            self.detach(request)

    def _close(self, request: Request) -> None:
        self.open_requests.pop(request.id, None)
        self.timers.discard(request)

    def fail(self, request: Request) -> None:
        """Answer a request as failed, where a repeat by the client would fail too."""
        self._close(request)
        self.actions.append(Fail(request.id))
        self.detach(request)

    def reject(self, request: Request) -> None:
        """Give a request its final answer at once, where no attempt can be made."""
        self._answer_rejected(request)
        self.detach(request)

    def _answer_rejected(self, request: Request) -> None:
        self._close(request)
        self.actions.append(self.admission.final_answer(request))
