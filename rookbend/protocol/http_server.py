"""The server side of one HTTP/1.1 connection (RFC 9112), with h11."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import h11

MAX_HEAD_BYTES = 8 << 10
MAX_BODY_BYTES = 64 << 10
METHOD_NOT_ALLOWED = 405
CONTENT_TOO_LARGE = 413


@dataclass(slots=True)
class HttpRequest:
    """A complete request; header names are in lower case, `path` is without the query."""

    method: str
    path: str
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    query: str = ""


class HttpResponse(NamedTuple):
    """A response, without the headers that every response has."""

    status: int
    body: bytes
    content_type: str = "text/plain"


class HttpServerConnection:
    """Parses requests, one at a time: the next is parsed once `respond` was called.

    `ended` is set once the connection can't be used further; `error_response` must be sent before it is closed.
    """

    def __init__(self) -> None:
        self.ended = False
        self.error_response = b""
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: HttpRequest | None = None

    @property
    def has_partial(self) -> bool:
        """Whether a request was received in part, and `feed` has not returned it yet."""
        is_receiving = self._http.their_state is h11.SEND_BODY
        return is_receiving or bool(self._http.trailing_data[0])

    def feed(self, data: bytes) -> HttpRequest | None:
        """Takes received bytes, empty at the end of the connection; returns a request once it is complete."""
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)
            return None
        return self.next_request()

    def next_request(self) -> HttpRequest | None:
        """Returns the next complete request in the bytes received, if there is one."""
        try:
            return self._parse_request()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)
            return None

    def _parse_request(self) -> HttpRequest | None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._request = _request_of(event)
                if self._request.method == "CONNECT":  # a 2xx response to it would open a tunnel
                    self._reject(METHOD_NOT_ALLOWED)
                    return None
            elif isinstance(event, h11.Data):
                assert self._request is not None
                self._request.body += bytes(event.data)
                if len(self._request.body) > MAX_BODY_BYTES:
                    self._reject(CONTENT_TOO_LARGE)
                    return None
            elif isinstance(event, h11.EndOfMessage):
                return self._request
            elif event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            elif isinstance(event, h11.ConnectionClosed):
                self.ended = True
                return None

    def _reject(self, status: int) -> None:
        self.ended = True
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.error_response = self.respond(status, b"bad request\n")

    def respond(self, status: int, body: bytes, content_type: str = "text/plain", close: bool = False) -> bytes:
        """Returns the response to the latest request; `close` announces that it is the last one."""
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body))), ("Cache-Control", "no-store")]
        if close:
            headers.append(("Connection", "close"))
        data = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        if self._request is None or self._request.method != "HEAD":
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        if self._http.our_state is h11.MUST_CLOSE:
            self.ended = True
        elif not self.ended:
            self._http.start_next_cycle()
            self._request = None  # a rejection of later bytes is not a response to it
        return data


def _request_of(event: h11.Request) -> HttpRequest:
    path, _, query = event.target.decode("ascii", "replace").partition("?")
    return HttpRequest(event.method.decode("ascii"), path, dict(event.headers), query=query)
