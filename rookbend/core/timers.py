"""Timers of attempts, of requests and of the module, in one heap."""

from __future__ import annotations

import heapq

from rookbend import interface as api
from rookbend.core.model import Answer, AttemptResult, FinalOutcome
from rookbend.core.open_request import OpenRequest

ATTEMPT, REQUEST, ROUTER = range(3)  # what a timer is for


class Timers:
    """The part of `Engine` that acts when it is time; `on_timer_change(due)` hears of an earlier one."""

    def _set_timer(self, due: int, kind: int, what) -> None:
        self._timer_number += 1
        heapq.heappush(self._timers, (due, self._timer_number, kind, what))
        if due < self._armed or not self._armed:
            self._armed = due
            self.on_timer_change(due)

    def run_due(self) -> int:
        """Runs every timer that is due; returns when the next one is, or 0."""
        timers, now = self._timers, self.clock.now()
        while timers and timers[0][0] <= now:
            _, _, kind, what = heapq.heappop(timers)
            if kind == ROUTER:
                self._post(api.TimerFired(what))
            elif kind == ATTEMPT:
                if not what.is_finished:
                    self.finished(what, AttemptResult(self.backend.undo(what)))
            elif what.id in self._open and what.deadline <= now:
                self._deadline(what)
        self._armed = timers[0][0] if timers else 0
        return self._armed

    def _deadline(self, open_request: OpenRequest) -> None:
        """The deadline guard: guards against a module that still holds the request when its time is over."""
        if open_request.flight is not None:
            self.finished(open_request.flight, AttemptResult(self.backend.undo(open_request.flight)))
        if self._open.get(open_request.id) is open_request:
            self.counters.late_guard += 1
            self._answer(open_request, Answer(FinalOutcome.FAILED))
            self._post(api.RequestCancelled(open_request.id))
