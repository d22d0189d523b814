"""Requests as they come: classes by name, what is taken, cancelled, settled."""

from __future__ import annotations

from collections.abc import Callable

from rookbend import interface as api
from rookbend.core.model import Answer, AttemptResult, FinalOutcome, Request
from rookbend.core.open_request import OpenRequest
from rookbend.core.timers import REQUEST
from rookbend.interface import AttemptStatus, Idempotency

VANISHED_US = 1_500_000  # a request that was on its way as its class vanished is taken for so long


class Intake:
    """The part of `Engine` that fronts call."""

    @property
    def retry_after_us(self) -> int:
        """For how long a refused client is to stay away; 0 where the settings allow no such word."""
        return self.settings.max_retry_after_us if self.settings.allows_retry_after else 0

    def class_index(self, name: str) -> int | None:
        """The class of a new request; None where the settings know none of that name."""
        index = self.classes.get(name)
        if index is None and (row := self._vanished.get(name)) is not None and row[1] > self.clock.now():
            index = row[0]
        return index

    def apply_settings(self, settings: api.Settings) -> None:
        """Other settings, between two events: requests under way keep their class as it was when they came.

        `settings.classes` begins with the classes known before, each in its place; those that are `gone`
        have vanished: what is on its way is still taken, nothing else.
        """
        now = self.clock.now()
        for name, index in self.classes.items():
            if settings.classes[index].is_retired:
                self._vanished[name] = index, now + VANISHED_US
        self.classes = {c.name: i for i, c in enumerate(settings.classes) if not c.is_retired}
        self.settings = settings
        self._post(api.SettingsChanged(settings))

    @property
    def open_requests(self) -> int:
        """How many requests are owed their answer."""
        return len(self._open)

    def submit(self, request: Request, reply: Callable[[Answer], None]) -> OpenRequest | None:
        """Takes a request; `reply` is called exactly once, unless the request is cancelled first."""
        now = self.clock.now()
        self.counters.requests += 1
        self.counters.retries += request.is_retry
        if self._settle_at:
            request.deadline_us = min(request.deadline_us, self._settle_at)
        if request.deadline_us <= now or request.request_id in self._request_ids:
            # An id in use names another request: members could not tell the two apart.
            self.counters.ended(request.class_name, FinalOutcome.FAILED)
            reply(Answer(FinalOutcome.FAILED))
            return None
        self._request_ids.add(request.request_id)
        ident = self._last_id = self._last_id % 0xFFFFFFFF + 1
        cls = self.settings.classes[request.traffic_class]
        open_request = self._open[ident] = OpenRequest(
            ident,
            request,
            reply,
            cls.is_write or cls.idempotency is not Idempotency.IDEMPOTENT,
            self.settings.max_attempts,
        )
        self._set_timer(request.deadline_us, REQUEST, open_request)
        self._post(
            api.RequestArrived(
                ident,
                request.traffic_class,
                request.object_id,
                request.deadline_us,
                0.0,
                request.group,
                request.part,
                0,
                request.is_retry,
                cls.is_write,
            )
        )
        return open_request

    def cancel(self, open_request: OpenRequest | None) -> None:
        """The client has gone: nobody waits for an answer, and none is given."""
        if open_request is None or self._open.pop(open_request.id, None) is None:
            return
        self._request_ids.discard(open_request.request.request_id)
        self.counters.cancelled += 1
        self._post(api.RequestCancelled(open_request.id))
        self._call_off(open_request)

    def client_half_closed(self, open_request: OpenRequest | None) -> None:
        """The client has closed its sending side, and may be gone for good: no attempt begins for it.

        An attempt that is out may still bring the answer. Anything else ends now.
        """
        if open_request is None or open_request.id not in self._open:
            return
        open_request.client_left = True
        attempt = open_request.flight
        if attempt is not None and self.backend.is_out(attempt):
            return
        open_request.flight = None
        if attempt is not None and self.backend.undo(attempt) not in api.NEVER_EXECUTED:
            self._may_have_run(open_request, attempt)
        self.counters.clients_left += 1
        self._answer(open_request, self._no_further_attempt(open_request))
        self._post(api.RequestCancelled(open_request.id))
        if attempt is not None:
            self.finished(attempt, AttemptResult(AttemptStatus.CANCELLED))

    def _no_further_attempt(self, open_request: OpenRequest) -> Answer:
        """The answer where no other attempt may follow. A refusal tells that another try does no harm."""
        if not open_request.may_be_refused:
            return Answer(FinalOutcome.FAILED)
        return Answer(FinalOutcome.REJECTED, retry_after_us=self.retry_after_us)

    def finish_all_by(self, at_us: int) -> None:
        """No request, open or to come, is answered later than this."""
        self._settle_at = at_us
        for open_request in list(self._open.values()):
            if open_request.deadline > at_us:
                open_request.deadline = at_us
                self._set_timer(at_us, REQUEST, open_request)
