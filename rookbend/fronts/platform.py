"""The platform's front: a client's frames to requests of the core, answers to frames. No socket here."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.core.engine import Engine
from rookbend.core.model import Answer, FinalOutcome, Request
from rookbend.core.open_request import OpenRequest
from rookbend.protocol import client_frames as frames
from rookbend.protocol.coordinator_stream import object_number

STREAMS = 32  # open requests on one connection
LONGEST_WRITE = 48_000
LONGEST_WORD = 256  # of a client's field that goes on to members as it is
DEADLINE_MARGIN_US = 10_000  # kept back of the budget, for the way to the client
SILENT_US = 2_000_000  # a client that has asked nothing by then is let go
FRAME_US = 2_000_000  # and one whose frame, once begun, is not whole
IDLE_US = 6_000_000  # or that has had nothing open for so long: usual clients close after 4 s
REFUSED_PAUSED_MOST = 1000  # refusals to a client that takes no answers before it is dropped
OVERRUN_US = 250_000  # a loop this late takes nothing new until it has caught up
CODES = {FinalOutcome.SERVED: frames.SERVED, FinalOutcome.REJECTED: frames.REFUSED, FinalOutcome.FAILED: frames.FAILED}
UNCHANGED = frames.write_fields({"valid": "1"})
HEX = frozenset("0123456789abcdefABCDEF")


class MalformedRequestError(ValueError):
    """A request whose fields can't be used."""


def _hex16(value: str) -> str:
    if len(value) != 16 or not HEX.issuperset(value):
        raise MalformedRequestError("no 16 hex digits")
    return value


def _word(value: str) -> str:
    """A value that can stand in a member's line as it is."""
    if not (value.isascii() and value.isprintable()) or len(value) > LONGEST_WORD or set(value) & set(" ,="):
        raise MalformedRequestError("no single word")
    return value


def _number(value: str, most: int) -> int:
    if not (value.isascii() and value.isdigit()) or int(value) > most:
        raise MalformedRequestError("no number within its bounds")
    return int(value)


class PlatformFront:
    """What all client connections share: the engine, the classes, whether the director is ready."""

    def __init__(self, engine: Engine, is_ready: Callable[[], bool], is_closing: Callable[[], bool]):
        self.engine, self.is_ready, self.is_closing = engine, is_ready, is_closing

    def read_request(self, frame: frames.RequestFrame) -> Request:
        """The request in a frame. Raises MalformedRequestError or KeyError on fields that can't be used."""
        f, now = frame.fields, self.engine.clock.now()
        if f is None:
            raise MalformedRequestError("the fields can't be read")
        name = f["method"]
        index = self.engine.class_index(name)
        if index is None:
            raise MalformedRequestError(f"no class {name}")
        budget = _number(f["budget"], 3_600_000) * 1000
        known = f.get("known", "")
        if known and not (known.isascii() and known.isalnum()):
            known = ""  # not a bare tag: the copy is sent whole
        if len(frame.body) > (LONGEST_WRITE if self.engine.settings.classes[index].is_write else 0):
            raise MalformedRequestError("the body is too long")
        # The request may have waited unread for a turn of the loop, and its client counts that too.
        margin = min(DEADLINE_MARGIN_US + self.engine.lag_us, budget // 4)
        return Request(
            _hex16(f["rid"]),
            index,
            name,
            _hex16(f["obj"]),
            object_number(f["obj"]),
            now + budget - margin,
            _number(f.get("chunk", "0"), 0xFFFFFF),
            _number(f.get("tag", "0"), 255),
            f.get("again") == "1",
            known,
            frame.body,
            _word(f.get("token", "")),
        )


class PlatformSession:
    """One client connection: fed its bytes, writes answers by `write`."""

    def __init__(self, front: PlatformFront, write: Callable[[bytes], None]):
        self.front, self.write = front, write
        self.parser = frames.FrameParser()
        self.open_streams: dict[int, OpenRequest | None] = {}  # None where the engine has no request of it
        self.paused = False  # the client takes no answers: what it asks for waits, its cancels do not
        self.left = False  # the client has closed its side: nothing new begins for it
        self._held: dict[int, Request] = {}  # what waits while paused, by stream
        self._refused_paused = 0
        self.asked = False  # whether a whole frame has come
        self.begun_us = 0  # when the frame that is not whole began, or 0
        self.quiet_us = front.engine.clock.now()  # when it was last heard or answered

    @property
    def due_us(self) -> int | None:
        """When the connection is let go if nothing more happens. Guards the descriptors and the memory
        against clients that say nothing, stop in mid-frame or never leave."""
        if self.begun_us:
            return self.begun_us + FRAME_US
        if self.open_streams:
            return None
        return self.quiet_us + (IDLE_US if self.asked else SILENT_US)

    @property
    def held_bytes(self) -> int:
        """Bytes of the requests that wait while the client takes no answers."""
        return sum(len(request.body) for request in self._held.values())

    def feed(self, data: bytes) -> bool:
        """Takes what came; False when the connection can't go on."""
        broken = False
        self.quiet_us = now = self.front.engine.clock.now()
        try:
            events = self.parser.feed(data)
        except frames.FrameError as error:
            events, broken = error.events, True
        if events:
            self.asked, self.begun_us = True, 0
        if self.parser.begun:
            self.begun_us = self.begun_us or now
        for event in events:
            kind = type(event)
            if kind is frames.RequestFrame:
                if event.stream in self.open_streams:
                    broken = True  # two requests on one stream: no answer could be told from the other
                    break
                self._request(event)
            elif kind is frames.CancelFrame:
                self._held.pop(event.stream, None)
                self.front.engine.cancel(self.open_streams.pop(event.stream, None))
            else:
                code = frames.SERVED if self.front.is_ready() else frames.NOT_READY
                self.write(frames.write_answer(event.stream, code, kind=frames.READY))
        if self._refused_paused > REFUSED_PAUSED_MOST:
            return False  # it only asks and never reads: refusals would pile up without end
        if broken:
            self.reject()
        return not broken

    def reject(self) -> None:
        """Tells of an error that belongs to no request; the connection ends behind it."""
        self.front.engine.counters.malformed += 1
        self.write(frames.write_answer(0, frames.FAILED))

    def _request(self, frame: frames.RequestFrame) -> None:
        stream, engine = frame.stream, self.front.engine
        # Guards against a spiral: a loop that falls behind would answer everything too late, and every
        # client would ask again. A refusal costs a tenth of a request, and does no harm.
        late = engine.lag_us > OVERRUN_US
        if len(self.open_streams) >= STREAMS or late or self.left or self.front.is_closing():
            engine.counters.requests += 1
            self._refused_paused += self.paused
            self._count(frame, FinalOutcome.REJECTED)
            return self._write(stream, Answer(FinalOutcome.REJECTED, retry_after_us=engine.retry_after_us))
        try:
            request = self.front.read_request(frame)
        except (KeyError, ValueError):
            engine.counters.malformed += 1
            self._count(frame, FinalOutcome.FAILED)
            return self.write(frames.write_answer(stream, frames.FAILED))
        self.open_streams[stream] = None
        if self.paused:
            self._held[stream] = request
        else:
            self._submit(stream, request)

    def _submit(self, stream: int, request: Request) -> None:
        open_request = self.front.engine.submit(request, lambda answer: self._answer(stream, answer))
        if stream in self.open_streams:  # not answered within the call
            self.open_streams[stream] = open_request

    def resume(self) -> None:
        """The client has taken its answers: what waited for that goes on, by the deadline it came with."""
        self.paused, self._refused_paused = False, 0
        held, self._held = self._held, {}
        for stream, request in held.items():
            self._submit(stream, request)

    def client_left(self) -> None:
        """The client has closed its side, maybe only its sending side. Nothing begins for it any more: what
        waits is refused, and only what is out at a member may still be answered."""
        self.left = True
        engine = self.front.engine
        held, self._held = self._held, {}
        for stream, request in held.items():
            engine.counters.requests += 1
            engine.counters.ended(request.class_name, FinalOutcome.REJECTED)
            self._answer(stream, Answer(FinalOutcome.REJECTED, retry_after_us=engine.retry_after_us))
        for open_request in list(self.open_streams.values()):
            engine.client_half_closed(open_request)

    def _count(self, frame: frames.RequestFrame, verdict: FinalOutcome) -> None:
        """An answer that the engine never hears of. One of no known class is nobody's figure: clients could
        make up names without end."""
        name = (frame.fields or {}).get("method", "")
        if self.front.engine.class_index(name) is not None:
            self.front.engine.counters.ended(name, verdict)

    def _answer(self, stream: int, answer: Answer) -> None:
        del self.open_streams[stream]
        self.quiet_us = self.front.engine.clock.now()
        self._write(stream, answer)

    def _write(self, stream: int, answer: Answer) -> None:
        fields = frames.NO_FIELDS
        if answer.unchanged:
            fields = UNCHANGED
        elif answer.retry_after_us:
            fields = frames.write_fields({"backoff": str(answer.retry_after_us // 1000)})
        self.write(frames.write_answer(stream, CODES[answer.outcome], fields, len(answer.body)))
        if answer.body:
            self.write(answer.body)

    def say_closing(self) -> None:
        """Tells the client to send no new request on this connection."""
        self.write(frames.write_closing())

    def gone(self) -> None:
        """The connection has broken: nobody waits any more."""
        self._held.clear()
        for stream in list(self.open_streams):
            self.front.engine.cancel(self.open_streams.pop(stream, None))
