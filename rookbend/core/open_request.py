"""Requests that have no final answer yet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from rookbend.core.counters import Counters
from rookbend.core.model import Answer, Attempt, FinalOutcome, Request
from rookbend.core.recent_request_ids import RecentRequestIds
from rookbend.core.timers import AttemptKey
from rookbend.interface import AttemptStatus, Member

MAX_REQUEST_NUMBER = 0xFFFFFFFF  # numbering restarts at 1 after this


class EndReason(Enum):
    """What ended a request that was not served: the `reason` of a `request_unserved` event."""

    DECISION = "decision"  # of the router
    DEADLINE = "deadline"  # the router had not ended it by then
    CLIENT_LEFT = "client_left"
    CATCHING_UP = "catching_up"  # held until the membership had caught up with the coordinator, for too long


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without a final answer. If it is not `is_idempotent`, `retry_safety` limits its retries."""

    id: int
    request: Request
    reply: Callable[[Answer], None]
    deadline_us: int
    is_idempotent: bool
    max_attempts: int
    attempt_count: int = 0
    current_attempt: Attempt | None = None  # the attempt in flight
    last_status: AttemptStatus | None = None  # how the latest attempt ended
    may_have_run: bool = False
    first_run_us: int = 0  # when the first attempt that may have run was decided
    first_run_member: Member | None = None  # the member that this attempt went to
    had_reset: bool = False  # an attempt was lost to a reset connection
    client_half_closed: bool = False  # the client may have disconnected: no further attempt starts

    @property
    def may_be_rejected(self) -> bool:
        """Whether the client may be told that a retry does no harm.

        False for a request that is not idempotent and may have run or has an attempt in flight.
        """
        return self.is_idempotent or not (self.may_have_run or self.current_attempt is not None)


class OpenRequestTable:
    """The open requests by their number at the router. Each gets at most one answer.

    `on_closed()` is called when a request has ended; `recent_ids` gets its id if it must not come again.
    """

    __slots__ = ("_counters", "_log", "_on_closed", "by_id", "last_id", "recent_ids", "request_ids")

    def __init__(
        self,
        counters: Counters,
        recent_ids: RecentRequestIds,
        on_closed: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self.recent_ids = recent_ids
        self.by_id: dict[int, OpenRequest] = {}
        self.request_ids: set[str] = set()  # the clients' ids of the open requests
        self.last_id = 0
        self._counters = counters
        self._on_closed = on_closed
        self._log = log

    def attempt_in_flight(self, key: AttemptKey) -> Attempt | None:
        """The attempt in flight with this key; None if it has ended."""
        open_request = self.by_id.get(key.request)
        attempt = open_request.current_attempt if open_request is not None else None
        return attempt if attempt is not None and attempt.number == key.number else None

    def add(
        self, request: Request, reply: Callable[[Answer], None], is_idempotent: bool, max_attempts: int
    ) -> OpenRequest:
        """Adds a request under the next number; its client's id must not be in use."""
        self.request_ids.add(request.request_id)
        number = self.last_id % MAX_REQUEST_NUMBER + 1
        self.last_id = number
        open_request = OpenRequest(number, request, reply, request.deadline_us, is_idempotent, max_attempts)
        self.by_id[number] = open_request
        return open_request

    def answer(self, open_request: OpenRequest, answer: Answer, reason: EndReason = EndReason.DECISION) -> None:
        """Closes a request with its final answer; `reason` is logged if it was not served."""
        request = open_request.request
        del self.by_id[open_request.id]
        self.request_ids.discard(request.request_id)
        self._remember_id(open_request, answer.outcome)
        self._on_closed()
        self._counters.count_answer(request.class_name, answer.outcome)
        if answer.outcome is not FinalOutcome.SERVED:
            self._log_unserved(open_request, answer, reason)
        open_request.reply(answer)

    def _log_unserved(self, open_request: OpenRequest, answer: Answer, reason: EndReason) -> None:
        last_status = open_request.last_status
        self._log(
            "request_unserved",
            request=open_request.request.request_id,
            outcome=answer.outcome.value,
            reason=reason.value,
            attempts=open_request.attempt_count,
            after=last_status.name.lower() if last_status is not None else "",
        )

    def remove(self, open_request: OpenRequest) -> bool:
        """Closes a request without an answer; returns False if it was closed before."""
        if self.by_id.pop(open_request.id, None) is None:
            return False
        self.request_ids.discard(open_request.request.request_id)
        self._remember_id(open_request, None)
        self._on_closed()
        return True

    def note_repeated(self) -> None:
        """Counts a request that came again under the id of one that may have run."""
        self._counters.repeated_ids += 1

    def _remember_id(self, open_request: OpenRequest, outcome: FinalOutcome | None) -> None:
        is_out = open_request.current_attempt is not None
        if not (is_out or open_request.may_have_run or outcome is FinalOutcome.SERVED):
            return
        request = open_request.request
        if not open_request.is_idempotent:
            self.recent_ids.add_write(request.request_id, request.traffic_class)
        elif outcome is None:
            self.recent_ids.add_read(request.request_id, open_request.deadline_us)
