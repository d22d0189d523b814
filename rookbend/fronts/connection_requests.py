"""The open requests of one client connection: those submitted to the engine, and those queued until they may be."""

from __future__ import annotations

import itertools
import sys
from collections.abc import Callable

from rookbend.core.engine import Engine
from rookbend.core.input_budget import InputBudget
from rookbend.core.model import Answer, FinalOutcome, Request
from rookbend.core.open_request import OpenRequest
from rookbend.fronts.refusal_reason import RefusalReason, record_refusal


class ConnectionRequests:
    """`open` has the open requests by stream; `write_answer(stream, answer)` sends the final answer of one."""

    def __init__(self, engine: Engine, budget: InputBudget, write_answer: Callable[[int, Answer], None]) -> None:
        self.open: dict[int, OpenRequest | None] = {}  # None where the engine has no request for the stream
        self._engine = engine
        self._budget = budget
        self._write_answer = write_answer
        self._queued: dict[int, Request] = {}
        self._queued_since_us = 0  # the first of them
        self._body_bytes: dict[int, int] = {}  # of open requests, by stream, where there is a body

    @property
    def queued_bytes(self) -> int:
        """Bytes of the bodies of the queued requests."""
        return sum(len(request.body) for request in self._queued.values())

    def add(self, stream: int, request: Request) -> bool:
        """Opens a request and queues it; returns False if there is no memory for its body."""
        size = len(request.body)
        if size:
            if not self._budget.reserve_body(size):
                return False
            self._body_bytes[stream] = size
        self.open[stream] = None
        if not self._queued:
            self._queued_since_us = self._engine.clock.now()
        self._queued[stream] = request
        return True

    @property
    def has_queued(self) -> bool:
        """Whether requests are queued."""
        return bool(self._queued)

    def submit_queued(self, limit: int = sys.maxsize) -> None:
        """Submits at most `limit` of the queued requests to the engine, with their original deadlines."""
        for stream in list(itertools.islice(self._queued, limit)):
            # One that is answered at once may end others of this connection.
            if (request := self._queued.pop(stream, None)) is not None:
                self._submit(stream, request)

    def reject_delayed(self, queued_before_us: int) -> None:
        """Rejects the queued requests if the first was queued before this time."""
        if self._queued and self._queued_since_us < queued_before_us:
            self._reject_queued(RefusalReason.UNREAD_INPUT)

    def _submit(self, stream: int, request: Request) -> None:
        open_request = self._engine.submit(request, lambda answer: self._answer(stream, answer))
        if stream in self.open:  # not answered within the call
            self.open[stream] = open_request

    def _answer(self, stream: int, answer: Answer) -> None:
        del self.open[stream]
        self._release_body(stream)
        self._write_answer(stream, answer)

    def _release_body(self, stream: int) -> None:
        if size := self._body_bytes.pop(stream, 0):
            self._budget.release_body(size)

    def client_closed(self) -> None:
        """Rejects the queued requests; of the others, no new attempt starts."""
        self._reject_queued(RefusalReason.CLIENT_LEFT)
        for open_request in list(self.open.values()):
            self._engine.client_half_closed(open_request)

    def _reject_queued(self, reason: RefusalReason) -> None:
        engine = self._engine
        queued, self._queued = self._queued, {}
        for stream, request in queued.items():
            record_refusal(engine, reason, request.request_id)
            engine.counters.count_answer(request.class_name, FinalOutcome.REJECTED)
            self._answer(stream, Answer(FinalOutcome.REJECTED, retry_after_us=engine.retry_after_us))

    def cancel(self, stream: int) -> None:
        """Ends a request without an answer."""
        self._queued.pop(stream, None)
        self._release_body(stream)
        self._engine.cancel(self.open.pop(stream, None))

    def close(self) -> None:
        """Ends all requests without an answer, since the connection has ended."""
        for stream in list(self.open):
            self.cancel(stream)
        self._write_answer = _ignore_answer  # a reference cycle with the session would outlive the connection


def _ignore_answer(stream: int, answer: Answer) -> None:
    """Takes the place of `write_answer` once the connection has ended."""
