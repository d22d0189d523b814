"""The platform's front: translates a client's frames to requests of the engine, and its answers to frames.

It uses no sockets.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from rookbend.core.engine import Engine
from rookbend.core.inactivity import ConnectionActivity, InactivityLimits
from rookbend.core.input_budget import InputBudget
from rookbend.core.model import Answer, FinalOutcome
from rookbend.fronts.connection_requests import ConnectionRequests
from rookbend.fronts.platform_request import read_request
from rookbend.fronts.refusal_reason import RefusalReason, record_refusal
from rookbend.protocol import client_frames as frames

MAX_OPEN_STREAMS = 32  # open requests on one connection
INACTIVITY_LIMITS = InactivityLimits(
    first_message_us=2_000_000,
    idle_us=6_000_000,  # clients usually close after 4 s
    stall_us=2_000_000,
    message_us=30_000_000,  # the longest request at 2 KiB/s
)
MAX_REPLIES_WHILE_UNREAD = 1000  # to what opens no request, until the connection of a client that reads none is closed
MAX_READING_US = 100_000  # requests are refused that can't be submitted for this long since more keeps arriving
OVERLOAD_LAG_US = 250_000  # above this event loop lag new requests are rejected
STATUS_CODES = {
    FinalOutcome.SERVED: frames.STATUS_OK,
    FinalOutcome.REJECTED: frames.STATUS_UNAVAILABLE,
    FinalOutcome.FAILED: frames.STATUS_FAILED,
}
NOT_MODIFIED = frames.write_fields({frames.NOT_MODIFIED_FIELD: "1"})


class PlatformFront:
    """What all client connections share: the engine, and whether the director is ready or closing."""

    def __init__(
        self,
        engine: Engine,
        is_ready: Callable[[], bool],
        is_closing: Callable[[], bool],
        input_budget: InputBudget,
    ) -> None:
        self.before_request: Callable[[], None] = lambda: None  # called before a request's deadline is computed
        self.engine = engine
        self.input_budget = input_budget
        self.is_ready = is_ready
        self.is_closing = is_closing


class PlatformSession:
    """One client connection: `receive_data` takes the received bytes, `write` sends the answers."""

    def __init__(self, front: PlatformFront, write: Callable[[bytes], None], waited_us: int = 0) -> None:
        """`waited_us` is the time for which the connection, and what had arrived on it, waited to be accepted."""
        now_us = front.engine.clock.now()
        self.front = front
        self.write = write
        self.parser = frames.FrameParser()
        self.requests = ConnectionRequests(front.engine, front.input_budget, self._answer)
        self.is_rejected = False  # invalid bytes were received: open requests are answered, and nothing new is read
        self.has_unread_answers = False  # answers wait in memory until the client reads
        self.paused = False  # very many do: the client's requests are queued, its cancels are not
        self.activity = ConnectionActivity(INACTIVITY_LIMITS, now_us - waited_us)
        self._waited_us = waited_us  # by the bytes that are read now, at most
        self._last_waited_us = waited_us  # by the last of them
        self.received_frames = 0
        self.has_more_frames = False  # received, but not processed yet
        self._client_closed = False  # the client has closed its side: new requests are rejected
        self._replies_while_unread = 0

    @property
    def inactivity_deadline_us(self) -> int | None:
        """When the connection is closed if nothing more is received; None while a request is open.

        Limits the descriptors and memory held by clients that send nothing, stop within a frame or never close.
        """
        return self.activity.deadline_us(bool(self.open_streams))

    @property
    def open_streams(self) -> Collection[int]:
        """The streams of the open requests."""
        return self.requests.open.keys()

    def receive_data(self, data: bytes) -> None:
        """Adds received bytes, for `process_frames`."""
        self.parser.receive_data(data)
        self.has_more_frames = True

    def process_frames(self, limit: int) -> bool:
        """Handles at most `limit` of the received frames; `has_more_frames` tells whether more may be complete.

        Requests are queued: the caller submits them once no more bytes wait to be read, see `ConnectionRequests`.

        Returns False if nothing more can be read from this client. If `is_rejected` is set then, its open requests are
        still answered.
        """
        if self.requests.has_queued and not self.paused:
            self.requests.reject_delayed(self.front.engine.clock.now() - MAX_READING_US)
        is_valid = True
        try:
            received = self.parser.next_frames(limit)
        except frames.FrameError as error:
            received = list(error.frames)
            is_valid = False
        self.has_more_frames = is_valid and len(received) == limit
        self.front.input_budget.set_unfinished(self, 0 if self.has_more_frames else self.parser.buffered_bytes)
        self.activity.received(self.front.engine.clock.now(), bool(received), self.parser.has_partial)
        self.received_frames += len(received)
        for frame in received:
            if isinstance(frame, frames.RequestFrame):
                if frame.stream in self.open_streams:
                    is_valid = False
                    self.requests.cancel(frame.stream)  # else the answers would be indistinguishable
                    break
                is_last = frame is received[-1] and not (self.has_more_frames or self.parser.has_partial)
                self._handle_request(frame, is_last)
            elif isinstance(frame, frames.CancelFrame):
                self.requests.cancel(frame.stream)
            else:
                self._reply(frames.write_readiness(frame.stream, self.front.is_ready()))
        if self._replies_while_unread > MAX_REPLIES_WHILE_UNREAD:
            return False  # the client sends but never reads: its answers would accumulate without bound
        if not is_valid:
            self.reject_connection()
        return is_valid

    def note_wait(self, waited_us: int, last_waited_us: int) -> None:
        """The bytes that can be read now have waited for up to `waited_us`, the last of them for `last_waited_us`."""
        self._waited_us = max(self._waited_us, waited_us)
        self._last_waited_us = max(self._last_waited_us, last_waited_us)

    def all_read(self) -> None:
        """Handles that nothing more can be read now: what arrives from now on has not waited."""
        self._waited_us = self._last_waited_us = 0

    def refuse_unfinished(self) -> None:
        """See `UnfinishedRequest`: the request is refused, and the rest of it is discarded as it arrives."""
        stream = self.parser.discard_incomplete_request()
        if stream in self.open_streams:
            return  # the stream is in use, so the frame would have been invalid
        if stream:
            self._refuse(frames.RequestFrame(stream), RefusalReason.MEMORY)

    def reject_connection(self) -> None:
        """Sends an error that belongs to no request; the connection is closed after the open requests are answered."""
        self.is_rejected = True
        self.front.engine.counters.malformed += 1
        self.write(frames.write_answer(0, frames.STATUS_FAILED))

    def _handle_request(self, frame: frames.RequestFrame, is_last: bool) -> None:
        stream, engine = frame.stream, self.front.engine
        reason = self._refusal_reason()
        if reason is not None:
            return self._refuse(frame, reason)
        self.front.before_request()
        try:
            request = read_request(engine, frame, self._last_waited_us if is_last else self._waited_us)
        except (KeyError, ValueError):
            engine.counters.malformed += 1
            self._count_outcome(frame, FinalOutcome.FAILED)
            return self._reply(frames.write_answer(stream, frames.STATUS_FAILED))
        if not self.requests.add(stream, request):
            return self._refuse(frame, RefusalReason.MEMORY)

    def _refusal_reason(self) -> RefusalReason | None:
        """Why no new request is taken from this client now; None if one is."""
        if len(self.open_streams) >= MAX_OPEN_STREAMS:
            return RefusalReason.TOO_MANY_OPEN
        # Sheds load: an event loop that falls behind would answer every request too late, and every client would
        # retry. A rejection costs a tenth of a request, and does no harm.
        if self.front.engine.lag_us > OVERLOAD_LAG_US:
            return RefusalReason.OVERLOAD
        if self._client_closed:
            return RefusalReason.CLIENT_LEFT
        return RefusalReason.CLOSING if self.front.is_closing() else None

    def _refuse(self, frame: frames.RequestFrame, reason: RefusalReason) -> None:
        engine = self.front.engine
        self._replies_while_unread += self.has_unread_answers
        record_refusal(engine, reason, (frame.fields or {}).get(frames.REQUEST_ID_FIELD, ""))
        self._count_outcome(frame, FinalOutcome.REJECTED)
        self._write_answer(frame.stream, Answer(FinalOutcome.REJECTED, retry_after_us=engine.retry_after_us))

    def resume(self) -> None:
        """Handles that the client has read all answers sent so far: its queued requests may be submitted."""
        self.paused = False
        self._replies_while_unread = 0

    def client_closed(self) -> None:
        """Handles that the client has closed its side, maybe only its sending side.

        No new attempt starts for this client: queued requests are rejected, and only requests in flight at a member
        may still be answered.
        """
        self._client_closed = True
        self.requests.client_closed()

    def _reply(self, data: bytes) -> None:
        """Answers what opens no request."""
        self._replies_while_unread += self.has_unread_answers
        self.write(data)

    def _count_outcome(self, frame: frames.RequestFrame, outcome: FinalOutcome) -> None:
        """Counts an answer to a request that is not passed to the engine. Unknown classes are not counted, since
        clients could make up any number of names."""
        class_name = (frame.fields or {}).get(frames.TRAFFIC_CLASS_FIELD, "")
        if self.front.engine.class_index(class_name) is not None:
            self.front.engine.counters.count_answer(class_name, outcome)

    def _answer(self, stream: int, answer: Answer) -> None:
        self.activity.answered(self.front.engine.clock.now())
        self._write_answer(stream, answer)

    def _write_answer(self, stream: int, answer: Answer) -> None:
        fields = frames.NO_FIELDS
        if answer.unchanged:
            fields = NOT_MODIFIED
        elif answer.retry_after_us:
            fields = frames.write_fields({frames.RETRY_AFTER_MS_FIELD: str(answer.retry_after_us // 1000)})
        self.write(frames.write_answer(stream, STATUS_CODES[answer.outcome], fields, len(answer.body)))
        if answer.body:
            self.write(answer.body)

    def announce_closing(self) -> None:
        """Notifies the client to send no new request on this connection."""
        self.write(frames.write_goaway())

    def connection_lost(self) -> None:
        """Cancels all requests, since the connection has ended."""
        self.front.input_budget.set_unfinished(self, 0)
        self.requests.close()
        self.parser.clear()
