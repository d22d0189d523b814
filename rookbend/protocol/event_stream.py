"""Server-sent events over HTTP, as the platform's coordinator streams them (docs of the platform)."""

from __future__ import annotations

from dataclasses import dataclass

import h11
import msgspec

from rookbend.core.decimal_text import is_decimal
from rookbend.protocol.coordinator_stream import StreamError, Update

MAX_EVENT_BYTES = 4 << 20
DATA_FIELD = b"data:"
ID_FIELD = b"id:"

_update_decoder = msgspec.json.Decoder(Update)


@dataclass(slots=True)
class StreamEnd:
    """The coordinator has ended the stream."""


@dataclass(slots=True)
class UnreadableEvent:
    """An event whose data can't be parsed; later events still can. `index` is 0 if the event has no number."""

    index: int
    reason: str


StreamItem = Update | UnreadableEvent | StreamEnd


class EventStream:
    """One HTTP request for the stream, without I/O: encodes the request and parses the response into updates."""

    def __init__(self, host: str, path: str, last_index: int) -> None:
        """`last_index` is the number of the last known event: the stream starts after it."""
        self.has_begun = False  # the response's head was received, with status 200
        self.has_body = False  # and an event, a comment or a part of one behind it
        self._http = h11.Connection(h11.CLIENT)
        self._request = h11.Request(
            method="GET",
            target=path,
            headers=[("Host", host), ("Accept", "text/event-stream"), ("Last-Event-ID", str(last_index))],
        )
        self._line_buffer = b""
        self._event_data: list[bytes] = []  # data of the incomplete event
        self._event_index = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._line_buffer or self._event_data)

    def start(self) -> bytes:
        """The request's bytes."""
        return (self._http.send(self._request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> list[StreamItem]:
        """Returns the items that are now complete. Empty `data` means the end of the connection.

        Raises StreamError if the response is not a stream of events.
        """
        try:
            self._http.receive_data(data)
            items: list[StreamItem] = []
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return items
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise StreamError(f"coordinator answered with HTTP status {event.status_code}")
                    self.has_begun = True
                if isinstance(event, h11.Data):
                    items += self._read_events(bytes(event.data))
                elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                    return [*items, StreamEnd()]
        except h11.RemoteProtocolError as error:
            raise StreamError(f"invalid HTTP response: {error}") from None

    def _read_events(self, data: bytes) -> list[StreamItem]:
        self.has_body = True
        self._line_buffer += data
        if len(self._line_buffer) > MAX_EVENT_BYTES:
            raise StreamError(f"event longer than {MAX_EVENT_BYTES} bytes")
        lines = self._line_buffer.replace(b"\r\n", b"\n").split(b"\n")
        self._line_buffer = lines.pop()
        items: list[StreamItem] = []
        for line in lines:
            if line.startswith(DATA_FIELD):
                self._event_data.append(line[len(DATA_FIELD) :].removeprefix(b" "))
            elif line.startswith(ID_FIELD) and is_decimal(line[len(ID_FIELD) :].strip()):
                self._event_index = int(line[len(ID_FIELD) :])
            elif not line and self._event_data:
                items.append(self._end_event())
        return items

    def _end_event(self) -> Update | UnreadableEvent:
        text, self._event_data = b"\n".join(self._event_data), []
        index, self._event_index = self._event_index, 0
        try:
            update = _update_decoder.decode(text)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return UnreadableEvent(index, str(error))
        update.index = update.index or index
        return update
